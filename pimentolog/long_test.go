package pimentolog

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// A line that can never fit is dropped and counted; those after it are written.
func TestLineAboveBuffer(t *testing.T) {
	var out bytes.Buffer
	w, flush := New(&out, time.Second)
	logger := w.Logger()
	_ = logger.Log("msg", strings.Repeat("x", bufferBytes+1))
	for end := time.Now().Add(5 * time.Second); hasDropped(w) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		_ = logger.Log("msg", "after")
	}
	flush()
	if n := strings.Count(out.String(), "msg=after"); n != 3 {
		t.Errorf("%d of 3 lines after a long one were written: %q", n, out.String())
	}
	if n := strings.Count(out.String(), "lines=1\n"); n != 1 {
		t.Errorf("the line that was dropped is reported %d times: %q", n, out.String())
	}
}

// hasDropped reports whether lines were dropped that aren't reported yet.
func hasDropped(w *Writer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped > 0
}
