package pimentofake

import "sync"

// LogBuffer is an io.Writer that keeps a log in memory. The zero value is ready to use.
// It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex // Guards data.
	data []byte
}

// Write appends p to the log. It returns no errors.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = append(l.data, p...)
	return len(p), nil
}

// String returns the whole log.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.data)
}
