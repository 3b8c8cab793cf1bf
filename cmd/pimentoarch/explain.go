package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

type explainCmd struct {
	ID      string   `arg:"--id" placeholder:"ID" help:"id of a request"`
	Target  string   `arg:"--target" placeholder:"ID" help:"id of a target"`
	Beliefs int      `arg:"--beliefs" default:"8" help:"the most changes of belief shown before the first line"`
	Files   []string `arg:"positional,required" placeholder:"LOG" help:"logs of any number of entries"`
}

// record is one log line.
type record struct {
	source string
	ts     string
	at     time.Time
	msg    string
	fields []field
}

type field struct{ name, value string }

func (r *record) value(name string) string {
	for _, f := range r.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// belief reports whether the line is about what an entry believes, and not
// about one request.
func (r *record) belief() bool { return r.value("id") == "" }

// runExplain prints the story of one request or target in the order of time,
// with what the entries that had it believed before.
func runExplain(cmd *explainCmd, stdout, stderr io.Writer) int {
	if (cmd.ID == "") == (cmd.Target == "") {
		fmt.Fprintln(stderr, "pimentoarch: explain needs one of --id and --target")
		return exitSettings
	}
	all, err := readLogs(cmd.Files)
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: %v\n", err)
		return exitFailed
	}
	story := cmd.story(all)
	if len(story) == 0 {
		fmt.Fprintf(stderr, "pimentoarch: no line of %d tells of %s%s\n", len(all), cmd.ID, cmd.Target)
		return exitFailed
	}
	for _, r := range story {
		fmt.Fprintln(stdout, r.String())
	}
	return exitOK
}

// readLogs reads the lines of several logs, in the order of time.
func readLogs(names []string) ([]record, error) {
	var all []record
	for _, name := range names {
		list, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b record) int { return a.at.Compare(b.at) })
	return all, nil
}

// readLog reads the lines of a log that are logfmt, and passes over others.
func readLog(name string) ([]record, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var list []record
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if r, ok := parseLine(lines.Bytes()); ok {
			r.source = name
			list = append(list, r)
		}
	}
	return list, lines.Err()
}

// maxLine bounds the length in bytes of a log line.
const maxLine = 1 << 20

// parseLine reads one line, and reports whether it is one of a log.
func parseLine(line []byte) (record, bool) {
	var r record
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			switch key, value := string(d.Key()), string(d.Value()); key {
			case "ts":
				r.ts = value
			case "msg":
				r.msg = value
			default:
				r.fields = append(r.fields, field{key, value})
			}
		}
	}
	var err error
	r.at, err = time.Parse(time.RFC3339Nano, r.ts)
	return r, d.Err() == nil && err == nil
}

// story returns the lines about the subject, and before each first one of a
// log the last changes of what its entry believed.
func (cmd *explainCmd) story(all []record) []record {
	var story []record
	seen := make(map[string]bool)
	for i := range all {
		r := &all[i]
		if !cmd.about(r) {
			continue
		}
		if !seen[r.source] {
			seen[r.source] = true
			story = append(story, beliefsBefore(all[:i], r.source, cmd.Beliefs)...)
		}
		story = append(story, *r)
	}
	return story
}

func (cmd *explainCmd) about(r *record) bool {
	if cmd.ID != "" {
		return r.value("id") == cmd.ID
	}
	return r.value("target") == cmd.Target
}

func beliefsBefore(all []record, source string, most int) []record {
	var list []record
	for i := len(all) - 1; i >= 0 && len(list) < most; i-- {
		if all[i].source == source && all[i].belief() {
			list = append(list, all[i])
		}
	}
	slices.Reverse(list)
	return list
}

// String returns the line for people.
func (r *record) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", r.ts, r.source, r.msg)
	for _, f := range r.fields {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	return b.String()
}
