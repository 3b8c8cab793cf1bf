package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"time"
)

const (
	// settingsTimeout is the time for which a start waits for a complete settings
	// file: one that is being replaced is missing or incomplete for a moment.
	settingsTimeout = 2 * time.Second
	// settingsPause is the pause between two reads of an incomplete settings file.
	settingsPause = 20 * time.Millisecond
)

// loadSettings reads settings with load. If that fails, it prints the error to stderr and
// returns false.
func loadSettings[S any](file string, load func() (S, error), stderr io.Writer) (s S, ok bool) {
	if file == "" {
		fmt.Fprintln(stderr, "pimentoarch: --settings is required")
		return s, false
	}
	s, err := load()
	for start := time.Now(); isIncomplete(err) && time.Since(start) < settingsTimeout; {
		time.Sleep(settingsPause)
		s, err = load()
	}
	if err != nil {
		fmt.Fprintf(stderr, "pimentoarch: %s: %v\n", file, err)
		return s, false
	}
	return s, true
}

// errEmptySettings means that the settings file is empty.
var errEmptySettings = errors.New("the settings file is empty")

// isIncomplete reports whether an error may come from a file that is being replaced.
func isIncomplete(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || errors.Is(err, fs.ErrNotExist) || errors.Is(err, errEmptySettings) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
