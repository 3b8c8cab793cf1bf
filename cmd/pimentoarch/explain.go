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
	ID           string   `arg:"--id" placeholder:"ID" help:"id of a request"`
	Target       string   `arg:"--target" placeholder:"ID" help:"id of a target"`
	StateChanges int      `arg:"--beliefs" default:"8" help:"maximum number of state changes shown before the first line of each log"`
	Files        []string `arg:"positional,required" placeholder:"LOG" help:"logs of any number of entries"`
}

// logLine is one parsed line of a log.
type logLine struct {
	file   string
	ts     string // The timestamp as it is written in the log.
	at     time.Time
	msg    string
	fields []field
}

type field struct{ name, value string }

// value returns the value of the field with the given name, or "" if there is none.
func (l *logLine) value(name string) string {
	for _, f := range l.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// isStateChange reports whether the line is about the state of an entry rather than
// about one request. Lines about a request have the key id.
func (l *logLine) isStateChange() bool { return l.value("id") == "" }

// runExplain prints the log lines about one request or target in the order of time. The
// last state changes before the first such line of each log come before it. runExplain
// returns the exit status.
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
	timeline := cmd.timeline(all)
	if len(timeline) == 0 {
		fmt.Fprintf(stderr, "pimentoarch: no line of %d tells of %s%s\n", len(all), cmd.ID, cmd.Target)
		return exitFailed
	}
	for _, l := range timeline {
		fmt.Fprintln(stdout, l.String())
	}
	return exitOK
}

// readLogs reads the lines of several logs and returns them in the order of time.
func readLogs(names []string) ([]logLine, error) {
	var all []logLine
	for _, name := range names {
		list, err := readLog(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	return all, nil
}

// readLog reads the lines of a log. It skips lines that aren't valid logfmt.
func readLog(name string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var list []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok {
			l.file = name
			list = append(list, l)
		}
	}
	return list, scanner.Err()
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// parseLine parses one line. It returns false if the line isn't valid logfmt or has no
// valid timestamp.
func parseLine(line []byte) (logLine, bool) {
	var l logLine
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			switch key, value := string(d.Key()), string(d.Value()); key {
			case "ts":
				l.ts = value
			case "msg":
				l.msg = value
			default:
				l.fields = append(l.fields, field{key, value})
			}
		}
	}
	var err error
	l.at, err = time.Parse(time.RFC3339Nano, l.ts)
	return l, d.Err() == nil && err == nil
}

// timeline returns the lines about the request or target. The last state changes of an
// entry are inserted before the first such line of its log.
func (cmd *explainCmd) timeline(all []logLine) []logLine {
	var timeline []logLine
	seen := make(map[string]bool)
	for i := range all {
		l := &all[i]
		if !cmd.matches(l) {
			continue
		}
		if !seen[l.file] {
			seen[l.file] = true
			timeline = append(timeline, changesBefore(all[:i], l.file, cmd.StateChanges)...)
		}
		timeline = append(timeline, *l)
	}
	return timeline
}

// matches reports whether the line is about the request or target.
func (cmd *explainCmd) matches(l *logLine) bool {
	if cmd.ID != "" {
		return l.value("id") == cmd.ID
	}
	return l.value("target") == cmd.Target
}

// changesBefore returns the last state changes of the log file among lines, at most limit
// of them, in the order of time.
func changesBefore(lines []logLine, file string, limit int) []logLine {
	var list []logLine
	for i := len(lines) - 1; i >= 0 && len(list) < limit; i-- {
		if lines[i].file == file && lines[i].isStateChange() {
			list = append(list, lines[i])
		}
	}
	slices.Reverse(list)
	return list
}

// String formats the line for the output of explain.
func (l *logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.ts, l.file, l.msg)
	for _, f := range l.fields {
		fmt.Fprintf(&b, " %s=%s", f.name, f.value)
	}
	return b.String()
}
