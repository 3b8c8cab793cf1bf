package pimentolog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/matryer/is"
)

// reader collects what is written to it. It can stand still, or fail.
type reader struct {
	gate sync.Mutex // Held while it stands still.
	mu   sync.Mutex // Guards the fields below.
	buf  bytes.Buffer
	err  error
}

func (r *reader) Write(p []byte) (int, error) {
	r.gate.Lock()
	defer r.gate.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	return r.buf.Write(p)
}

func (r *reader) fail(err error) {
	r.mu.Lock()
	r.err = err
	r.mu.Unlock()
}

func (r *reader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.String()
}

// flushTime is the timeout of the writers of tests.
const flushTime = 10 * time.Second

// Lines are written in their order. Those for which there is no room are dropped, and
// their number follows the last line before them.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	var r reader
	w, flush := New(&r, flushTime)
	r.gate.Lock()
	const lines = 10000
	line := strings.Repeat("x", 90)
	for i := range lines {
		n, err := fmt.Fprintf(w, "%05d %s\n", i, line)
		is.NoErr(err)
		is.Equal(n, 97)
	}
	r.gate.Unlock()
	for !strings.Contains(r.text(), "lines dropped") {
		time.Sleep(time.Millisecond)
	}
	_, err := io.WriteString(w, "last\n")
	is.NoErr(err)
	flush()
	got := strings.Split(strings.TrimSpace(r.text()), "\n")
	next, kept := 0, 0 // The number of the next line, and of those that were written.
	for _, l := range got[:len(got)-1] {
		if _, missing, ok := strings.Cut(l, "lines="); ok {
			n, err := strconv.Atoi(missing)
			is.NoErr(err)
			next += n
			continue
		}
		is.True(strings.HasPrefix(l, fmt.Sprintf("%05d ", next)))
		next++
		kept++
	}
	is.Equal(next, lines)
	is.Equal(got[len(got)-1], "last")
	is.True(kept*97 <= 2*bufferBytes)
}

// A line that is longer than the buffer is counted, and the next ones are written.
func TestTooLongLine(t *testing.T) {
	is := is.New(t)
	var r reader
	w, flush := New(&r, flushTime)
	_, err := w.Write(make([]byte, bufferBytes+1))
	is.NoErr(err)
	_, err = io.WriteString(w, "kept\n")
	is.NoErr(err)
	flush()
	is.True(strings.HasPrefix(r.text(), "kept\n"))
	is.True(strings.HasSuffix(r.text(), "lines=1\n"))
}

// Lines that can't be written are counted, and the count is written when lines can be.
func TestFailedWrites(t *testing.T) {
	is := is.New(t)
	var r reader
	w, flush := New(&r, flushTime)
	r.fail(errors.New("broken pipe"))
	for range 3 {
		_, err := io.WriteString(w, "lost\n")
		is.NoErr(err)
		time.Sleep(2 * failurePause)
	}
	r.fail(nil)
	_, err := io.WriteString(w, "kept\n")
	is.NoErr(err)
	flush()
	is.True(strings.HasPrefix(r.text(), "kept\n"))
	is.True(strings.HasSuffix(r.text(), "lines=3\n"))
}

// The cleanup function doesn't wait for a reader that stands still for longer than its
// timeout.
func TestFlushTimeout(t *testing.T) {
	is := is.New(t)
	var r reader
	r.gate.Lock()
	defer r.gate.Unlock()
	const timeout = 100 * time.Millisecond
	w, flush := New(&r, timeout)
	_, err := io.WriteString(w, "line\n")
	is.NoErr(err)
	start := time.Now()
	flush()
	took := time.Since(start)
	is.True(took >= timeout && took < 10*timeout)
}

// BenchmarkStalledReader measures a line that is written, and one that is formatted too,
// while the reader stands still.
func BenchmarkStalledReader(b *testing.B) {
	var r reader
	r.gate.Lock()
	defer r.gate.Unlock()
	b.Run("write", func(b *testing.B) {
		w, _ := New(&r, flushTime)
		line := []byte(strings.Repeat("x", 300) + "\n")
		b.ReportAllocs()
		for b.Loop() {
			_, _ = w.Write(line)
		}
	})
	b.Run("format", func(b *testing.B) {
		w, _ := New(&r, flushTime)
		logger := w.Logger()
		b.ReportAllocs()
		for b.Loop() {
			_ = level.Info(logger).Log("msg", "request ended", "id", "r17", "status", 200)
		}
	})
}
