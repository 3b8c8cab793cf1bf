package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record holds what was sent, answered and run.
type Record struct {
	mu    sync.Mutex // Guards the fields below.
	start time.Time
	f     *os.File
	w     *bufio.Writer
	runs  map[string]int // By id of the request.
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	return &Record{start: time.Now(), f: f, w: bufio.NewWriter(f), runs: make(map[string]int)}
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Arrived records that a request arrived at a backend.
func (r *Record) Arrived(id, backend string) { r.Note("arrived %s at %s", id, backend) }

// Run records that a backend began to run a request.
func (r *Record) Run(id, backend string, size int64) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.Note("run %s at %s, body of %d bytes", id, backend, size)
}

// Runs returns how often a request was run.
func (r *Record) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
