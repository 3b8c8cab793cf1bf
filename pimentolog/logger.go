package pimentolog

import "github.com/go-kit/log"

// Logger returns a logger that writes logfmt lines to w. While there is no room for a
// line, none is formatted.
func (w *Writer) Logger() log.Logger {
	formatted := log.NewLogfmtLogger(w)
	return log.LoggerFunc(func(keyvals ...any) error {
		if w.drops() {
			return nil
		}
		return formatted.Log(keyvals...)
	})
}

// drops reports whether lines are being dropped, and counts one if so.
func (w *Writer) drops() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped == 0 {
		return false
	}
	w.dropped++
	return true
}
