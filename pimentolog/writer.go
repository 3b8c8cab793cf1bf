// Package pimentolog writes log lines without waiting for their reader.
package pimentolog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes bounds the lines that wait to be written. As many bytes may be in
	// the write that is in progress.
	bufferBytes = 256 << 10
	// failurePause is the pause after a write that failed, as after the reader has
	// closed its end.
	failurePause = 100 * time.Millisecond
)

// Writer buffers lines, which a goroutine writes to another writer. Lines for which there
// is no room are dropped and counted; a line with the count follows when there is room
// again.
type Writer struct {
	out  io.Writer
	wake chan struct{} // Signalled after a line was added.
	idle chan struct{} // Closed when the writer is closed and run has ended.

	mu      sync.Mutex // Guards the fields below. No write is made under it.
	pending []byte
	lines   int // In pending.
	dropped int // For lack of room, since the last batch.
	lost    int // That were too long, or in batches that couldn't be written.
	closed  bool
}

// New returns a writer to out, and its cleanup function, which waits until all lines have
// been written, for timeout at most.
func New(out io.Writer, timeout time.Duration) (*Writer, func()) {
	w := &Writer{out: out, wake: make(chan struct{}, 1), idle: make(chan struct{})}
	go w.run()
	return w, func() { w.flush(timeout) }
}

// Write adds one line. It never fails, and doesn't keep line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	switch {
	case len(line) > bufferBytes: // There is never room for it.
		w.lost++
		w.mu.Unlock()
		return len(line), nil
	case w.dropped > 0 || len(w.pending)+len(line) > bufferBytes:
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	first := len(w.pending) == 0
	w.pending = append(w.pending, line...)
	w.lines++
	w.mu.Unlock()
	if first {
		w.signal()
	}
	return len(line), nil
}

// signal wakes run.
func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes lines until the writer is closed and all have been written.
func (w *Writer) run() {
	var batch []byte
	for range w.wake {
		for {
			var lines int
			if batch, lines = w.take(batch); len(batch) == 0 {
				break
			}
			if _, err := w.out.Write(batch); err != nil {
				w.lose(lines)
				time.Sleep(failurePause)
			}
		}
		if w.isClosed() {
			close(w.idle)
			return
		}
	}
}

// take returns the lines that wait, with a line about those that are missing after them,
// and the number of lines that it stands for. The buffer of the last batch is kept for the
// next lines.
func (w *Writer) take(last []byte) (batch []byte, lines int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, lines = w.pending, w.lines
	w.pending, w.lines = last[:0], 0
	if missing := w.dropped + w.lost; missing > 0 && len(batch) > 0 {
		batch = fmt.Appendf(batch, "ts=%s level=warn msg=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), missing)
		lines += missing
		w.dropped, w.lost = 0, 0
	}
	return batch, lines
}

// lose counts lines that couldn't be written.
func (w *Writer) lose(lines int) {
	w.mu.Lock()
	w.lost += lines
	w.mu.Unlock()
}

func (w *Writer) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// flush ends run and waits until all lines have been written, for timeout at most.
func (w *Writer) flush(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	select {
	case <-w.idle:
	case <-time.After(timeout):
	}
}
