package main

import (
	"io"
	"os"
	"sync"
)

// Collector is a stand-in for what reads a process's standard output. It can stand still.
type Collector struct {
	mu sync.Mutex // Held while the collector reads, and while it stands still.
	w  *os.File
}

// NewCollector returns a collector that copies what it reads to out.
func NewCollector(out io.Writer) *Collector {
	r, w, err := os.Pipe()
	check(err)
	l := &Collector{w: w}
	go func() {
		buf := make([]byte, 4<<10)
		for {
			n, err := r.Read(buf)
			if err != nil {
				return
			}
			l.mu.Lock()
			_, _ = out.Write(buf[:n])
			l.mu.Unlock()
		}
	}()
	return l
}

// Stop makes the collector stand still until Continue.
func (l *Collector) Stop() { l.mu.Lock() }

// Continue ends Stop.
func (l *Collector) Continue() { l.mu.Unlock() }
