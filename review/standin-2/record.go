package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what is sent, answered and run to record.txt.
type record struct {
	began time.Time

	mu   sync.Mutex // Guards file.
	file *os.File
}

// newRecord creates record.txt in a folder. It returns a cleanup function.
func newRecord(dir string) (*record, func(), error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, nil, err
	}
	return &record{began: time.Now(), file: f}, func() { _ = f.Close() }, nil
}

// printf writes one line with the time since the start in ms.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f  %s\n", float64(time.Since(r.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}
