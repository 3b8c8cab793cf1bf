package pimentofake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"pimentoarch/pimentocaller"
)

// RunChecker compares what targets ran with what callers were told.
type RunChecker struct {
	runsByReference map[string]int // By reference, of requests with a key.
	runsByKey       map[string]int // By key.
	calls           map[string]CallRecord
	outsideHome     int
	homeRegions     map[string]map[string]bool
}

// NewRunChecker returns an empty verdict. home lists the regions in which requests
// of an organisation may run; an organisation that it doesn't have may run
// anywhere.
func NewRunChecker(home map[string][]string) *RunChecker {
	v := &RunChecker{runsByReference: make(map[string]int), runsByKey: make(map[string]int), calls: make(map[string]CallRecord), homeRegions: make(map[string]map[string]bool)}
	for org, regions := range home {
		v.homeRegions[org] = make(map[string]bool)
		for _, r := range regions {
			v.homeRegions[org][r] = true
		}
	}
	return v
}

// AddRuns reads a target's log.
func (v *RunChecker) AddRuns(r io.Reader) error {
	return eachLine(r, func(data []byte) error {
		var line RunRecord
		if err := json.Unmarshal(data, &line); err != nil {
			return err
		}
		if regions := v.homeRegions[line.Org]; len(regions) > 0 && !regions[line.Region] {
			v.outsideHome++
		}
		if line.Key != "" {
			v.runsByKey[line.Key]++
			v.runsByReference[line.Reference]++
		}
		return nil
	})
}

// AddCalls reads a caller's log.
func (v *RunChecker) AddCalls(r io.Reader) error {
	return eachLine(r, func(data []byte) error {
		var line CallRecord
		if err := json.Unmarshal(data, &line); err != nil {
			return err
		}
		v.calls[line.Reference] = line
		return nil
	})
}

// eachLine skips a last line that was cut short by a kill.
func eachLine(r io.Reader, take func([]byte) error) error {
	s := bufio.NewScanner(r)
	for s.Scan() {
		if err := take(s.Bytes()); err != nil && s.Scan() {
			return err
		}
	}
	return s.Err()
}

// Findings counts what must not be.
type Findings struct {
	// Duplicates counts keys and references that ran more than once.
	Duplicates int
	// FalseNotRun counts references that ran although their caller was told "not run".
	FalseNotRun int
	// MissingRuns counts references that didn't run although their caller has an answer.
	MissingRuns int
	// OutsideHome counts runs outside the home regions.
	OutsideHome int
	// UnknownOutcomes counts references whose caller was told that they may have run.
	// It isn't a fault.
	UnknownOutcomes int
}

// Findings returns the comparison.
func (v *RunChecker) Findings() Findings {
	f := Findings{OutsideHome: v.outsideHome}
	for _, n := range v.runsByKey {
		if n > 1 {
			f.Duplicates++
		}
	}
	for _, n := range v.runsByReference {
		if n > 1 {
			f.Duplicates++
		}
	}
	for ref, line := range v.calls {
		switch {
		case line.Run == pimentocaller.RunNo && v.runsByReference[ref] > 0:
			f.FalseNotRun++
		case line.Run == pimentocaller.RunYes && v.runsByReference[ref] == 0:
			f.MissingRuns++
		case line.Run == pimentocaller.RunUnknown:
			f.UnknownOutcomes++
		}
	}
	return f
}

// HasViolations reports whether a promise was broken.
func (f Findings) HasViolations() bool {
	return f.Duplicates+f.FalseNotRun+f.MissingRuns+f.OutsideHome > 0
}

// String formats the findings for people.
func (f Findings) String() string {
	return fmt.Sprintf("doubled runs %d, untrue \"not run\" %d, answers without a run %d, runs outside home regions %d, unknown outcomes %d",
		f.Duplicates, f.FalseNotRun, f.MissingRuns, f.OutsideHome, f.UnknownOutcomes)
}
