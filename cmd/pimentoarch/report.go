package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type reportCmd struct {
	Out   string   `arg:"--out" default:"report.html" placeholder:"FILE" help:"the HTML page to write"`
	Files []string `arg:"positional,required" placeholder:"LOG" help:"logs of any number of entries"`
}

const (
	// maxSlots is the maximum number of points of a plot.
	maxSlots = 600
	// maxMillis is the upper bound of recorded durations; longer ones count as this.
	// histogramDigits is their precision in significant digits.
	maxMillis       = 600_000
	histogramDigits = 3
	// msgEnded and msgConfig are the messages of the lines whose fields the report
	// evaluates.
	msgEnded  = "request ended"
	msgConfig = "configuration in force"
)

// report holds the aggregated lines of a set of logs. report.html refers to its fields
// and those of its rows by name.
type report struct {
	Files    []string
	Lines    int
	From, To time.Time
	// Slot is the length of the time interval that one point of a plot covers.
	Slot     time.Duration
	Slots    []slot
	Outcomes []outcomeRow
	Configs  []configRow
}

// slot holds the counts of one time interval.
type slot struct {
	ended        int
	refused      map[string]int          // By reason.
	stateChanges map[string]int          // By message.
	durations    *hdrhistogram.Histogram // Of requests, in milliseconds.
}

// outcomeRow counts the requests that ended with one combination of status, reason and
// ran, the log key that says whether the request may have been executed.
type outcomeRow struct {
	Status, Reason, Ran string
	Count               int
	Took                *hdrhistogram.Histogram // Milliseconds.
}

// configRow describes when the entries activated a configuration.
type configRow struct {
	Version string
	First   time.Time
	Spread  time.Duration // Time from the first entry's activation to the last one's.
	Entries int           // Number of log lines: an entry that restarts counts again.
}

// runReport writes an HTML page about a set of logs and returns the exit status.
func runReport(cmd *reportCmd, stdout, stderr io.Writer) int {
	all, err := readLogs(cmd.Files)
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: %v\n", err)
		return exitFailed
	}
	if len(all) == 0 {
		fmt.Fprintf(stderr, "pimentoarch: no log lines in %s\n", strings.Join(cmd.Files, ", "))
		return exitFailed
	}
	r := newReport(cmd.Files, all)
	f, err := os.Create(cmd.Out)
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: %v\n", err)
		return exitFailed
	}
	err = r.write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: write %s: %v\n", cmd.Out, err)
		return exitFailed
	}
	fmt.Fprintf(stdout, "%s: %d lines of %d logs\n", cmd.Out, r.Lines, len(cmd.Files))
	return exitOK
}

// newReport aggregates lines, which must be sorted by time and not be empty.
func newReport(files []string, all []logLine) *report {
	r := &report{Lines: len(all), From: all[0].at, To: all[len(all)-1].at}
	for _, name := range files {
		r.Files = append(r.Files, filepath.Base(name))
	}
	r.Slot = (r.To.Sub(r.From) / maxSlots).Truncate(time.Second) + time.Second
	r.Slots = make([]slot, r.To.Sub(r.From)/r.Slot+1)
	for i := range r.Slots {
		r.Slots[i] = slot{refused: make(map[string]int), stateChanges: make(map[string]int), durations: newHistogram()}
	}
	for i := range all {
		r.add(&all[i])
	}
	slices.SortFunc(r.Outcomes, func(a, b outcomeRow) int { return b.Count - a.Count })
	return r
}

// newHistogram returns an empty histogram of durations in milliseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMillis, histogramDigits) }

// add adds one line to the counts.
func (r *report) add(l *logLine) {
	s := &r.Slots[l.at.Sub(r.From)/r.Slot]
	switch {
	case l.msg == msgEnded:
		r.addRequest(s, l)
	case l.isStateChange():
		s.stateChanges[l.msg]++
	}
	if l.msg == msgConfig {
		r.addConfig(l)
	}
}

// addRequest counts a line about the end of a request.
func (r *report) addRequest(s *slot, l *logLine) {
	s.ended++
	reason := l.value("reason")
	if reason != "" {
		s.refused[reason]++
	}
	row := r.outcome(l.value("status"), reason, l.value("ran"))
	row.Count++
	ms, err := strconv.ParseInt(l.value("ms"), 10, 64)
	if err != nil {
		return // The line has no valid duration.
	}
	ms = min(max(ms, 1), maxMillis)
	_ = row.Took.RecordValue(ms) // ms is within the range of the histogram.
	_ = s.durations.RecordValue(ms)
}

// outcome returns the row of an outcome and adds it if it is missing.
func (r *report) outcome(status, reason, ran string) *outcomeRow {
	for i := range r.Outcomes {
		if o := &r.Outcomes[i]; o.Status == status && o.Reason == reason && o.Ran == ran {
			return o
		}
	}
	r.Outcomes = append(r.Outcomes, outcomeRow{Status: status, Reason: reason, Ran: ran, Took: newHistogram()})
	return &r.Outcomes[len(r.Outcomes)-1]
}

// addConfig counts a line about the activation of a configuration.
func (r *report) addConfig(l *logLine) {
	// A gate's line has the key version, an entry's line the key revision.
	version := l.value("version") + l.value("revision")
	for i := range r.Configs {
		if c := &r.Configs[i]; c.Version == version {
			c.Entries++
			c.Spread = l.at.Sub(c.First)
			return
		}
	}
	r.Configs = append(r.Configs, configRow{Version: version, First: l.at, Entries: 1})
}
