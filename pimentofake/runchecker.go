package pimentofake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"pimentoarch/pimentocaller"
)

// RunChecker compares the requests that targets executed with the outcomes that callers
// received.
type RunChecker struct {
	runsByReference map[string]int // Executions by reference, of requests with a key.
	runsByKey       map[string]int // Executions by key.
	calls           map[string]CallRecord
	outsideHome     int
	homeRegions     map[string]map[string]bool
}

// NewRunChecker returns a checker without logs. homeRegions has the regions in which
// requests of an organisation may be executed. Requests of an organisation that isn't
// in it may be executed anywhere.
func NewRunChecker(homeRegions map[string][]string) *RunChecker {
	c := &RunChecker{runsByReference: make(map[string]int), runsByKey: make(map[string]int), calls: make(map[string]CallRecord), homeRegions: make(map[string]map[string]bool)}
	for org, regions := range homeRegions {
		c.homeRegions[org] = make(map[string]bool)
		for _, r := range regions {
			c.homeRegions[org][r] = true
		}
	}
	return c
}

// AddRuns reads a target's log. It returns an error of r or of an invalid line.
func (c *RunChecker) AddRuns(r io.Reader) error {
	return eachLine(r, func(data []byte) error {
		var record RunRecord
		if err := json.Unmarshal(data, &record); err != nil {
			return err
		}
		if regions := c.homeRegions[record.Org]; len(regions) > 0 && !regions[record.Region] {
			c.outsideHome++
		}
		if record.Key != "" {
			c.runsByKey[record.Key]++
			c.runsByReference[record.Reference]++
		}
		return nil
	})
}

// AddCalls reads a caller's log. It returns an error of r or of an invalid line.
func (c *RunChecker) AddCalls(r io.Reader) error {
	return eachLine(r, func(data []byte) error {
		var record CallRecord
		if err := json.Unmarshal(data, &record); err != nil {
			return err
		}
		c.calls[record.Reference] = record
		return nil
	})
}

// eachLine calls parse for each line. It ignores an error of the last line, which is
// incomplete if the process that wrote it was killed.
func eachLine(r io.Reader, parse func([]byte) error) error {
	s := bufio.NewScanner(r)
	for s.Scan() {
		if err := parse(s.Bytes()); err != nil && s.Scan() {
			return err
		}
	}
	return s.Err()
}

// Findings counts violations of the guarantees to callers, and unknown outcomes.
type Findings struct {
	// Duplicates counts keys and references that were executed more than once.
	Duplicates int
	// FalseNotRun counts references with the outcome RunNo that were executed.
	FalseNotRun int
	// MissingRuns counts references with the outcome RunYes that weren't executed.
	MissingRuns int
	// OutsideHome counts executions outside the home regions.
	OutsideHome int
	// UnknownOutcomes counts references with the outcome RunUnknown. They aren't
	// violations.
	UnknownOutcomes int
}

// Findings returns the result of the comparison.
func (c *RunChecker) Findings() Findings {
	f := Findings{OutsideHome: c.outsideHome}
	for _, n := range c.runsByKey {
		if n > 1 {
			f.Duplicates++
		}
	}
	for _, n := range c.runsByReference {
		if n > 1 {
			f.Duplicates++
		}
	}
	for ref, record := range c.calls {
		switch {
		case record.Run == pimentocaller.RunNo && c.runsByReference[ref] > 0:
			f.FalseNotRun++
		case record.Run == pimentocaller.RunYes && c.runsByReference[ref] == 0:
			f.MissingRuns++
		case record.Run == pimentocaller.RunUnknown:
			f.UnknownOutcomes++
		}
	}
	return f
}

// HasViolations reports whether a guarantee was violated.
func (f Findings) HasViolations() bool {
	return f.Duplicates+f.FalseNotRun+f.MissingRuns+f.OutsideHome > 0
}

// String formats the findings as one line of text.
func (f Findings) String() string {
	return fmt.Sprintf("doubled runs %d, untrue \"not run\" %d, answers without a run %d, runs outside home regions %d, unknown outcomes %d",
		f.Duplicates, f.FalseNotRun, f.MissingRuns, f.OutsideHome, f.UnknownOutcomes)
}
