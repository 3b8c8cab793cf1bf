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
	Out   string   `arg:"--out" default:"report.html" placeholder:"FILE" help:"the page that is written"`
	Files []string `arg:"positional,required" placeholder:"LOG" help:"logs of any number of entries"`
}

const (
	// mostSlots bounds the points of a plot.
	mostSlots = 600
	// mostMillis bounds the durations that are told apart, and digits is their
	// precision.
	mostMillis = 600_000
	digits     = 3
	// msgEnded and msgConfig are the lines that the report reads closely.
	msgEnded  = "request ended"
	msgConfig = "configuration in force"
)

// report is what the lines of a set of logs say together.
type report struct {
	Files    []string
	Lines    int
	From, To time.Time
	// Slot is the time that one point of a plot stands for.
	Slot     time.Duration
	Slots    []slot
	Outcomes []outcomeRow
	Configs  []configRow
}

// slot counts what happened in one part of the time.
type slot struct {
	ended   int
	refused map[string]int // By reason.
	beliefs map[string]int // By message.
	took    *hdrhistogram.Histogram
}

// outcomeRow is how often requests ended in one way.
type outcomeRow struct {
	Status, Reason, Ran string
	Count               int
	Took                *hdrhistogram.Histogram // Milliseconds.
}

// configRow is how a configuration came into force.
type configRow struct {
	Version string
	First   time.Time
	Spread  time.Duration // Until the last entry had it.
	Entries int
}

// runReport writes a page about a set of logs.
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

// newReport reads records that are in the order of time.
func newReport(files []string, all []record) *report {
	r := &report{Lines: len(all), From: all[0].at, To: all[len(all)-1].at}
	for _, name := range files {
		r.Files = append(r.Files, filepath.Base(name))
	}
	r.Slot = (r.To.Sub(r.From) / mostSlots).Truncate(time.Second) + time.Second
	r.Slots = make([]slot, r.To.Sub(r.From)/r.Slot+1)
	for i := range r.Slots {
		r.Slots[i] = slot{refused: make(map[string]int), beliefs: make(map[string]int), took: newTook()}
	}
	for i := range all {
		r.add(&all[i])
	}
	slices.SortFunc(r.Outcomes, func(a, b outcomeRow) int { return b.Count - a.Count })
	return r
}

func newTook() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostMillis, digits) }

func (r *report) add(rec *record) {
	s := &r.Slots[rec.at.Sub(r.From)/r.Slot]
	switch {
	case rec.msg == msgEnded:
		r.addEnded(s, rec)
	case rec.belief():
		s.beliefs[rec.msg]++
	}
	if rec.msg == msgConfig {
		r.addConfig(rec)
	}
}

func (r *report) addEnded(s *slot, rec *record) {
	s.ended++
	reason := rec.value("reason")
	if reason != "" {
		s.refused[reason]++
	}
	row := r.outcome(rec.value("status"), reason, rec.value("ran"))
	row.Count++
	ms, err := strconv.ParseInt(rec.value("ms"), 10, 64)
	if err != nil {
		return // The line says nothing of the time.
	}
	ms = min(max(ms, 1), mostMillis)
	_ = row.Took.RecordValue(ms) // Within the bounds.
	_ = s.took.RecordValue(ms)
}

func (r *report) outcome(status, reason, ran string) *outcomeRow {
	for i := range r.Outcomes {
		if o := &r.Outcomes[i]; o.Status == status && o.Reason == reason && o.Ran == ran {
			return o
		}
	}
	r.Outcomes = append(r.Outcomes, outcomeRow{Status: status, Reason: reason, Ran: ran, Took: newTook()})
	return &r.Outcomes[len(r.Outcomes)-1]
}

func (r *report) addConfig(rec *record) {
	version := rec.value("version") + rec.value("revision")
	for i := range r.Configs {
		if c := &r.Configs[i]; c.Version == version {
			c.Entries++
			c.Spread = rec.at.Sub(c.First)
			return
		}
	}
	r.Configs = append(r.Configs, configRow{Version: version, First: rec.at, Entries: 1})
}
