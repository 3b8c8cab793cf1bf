package pimentoentry

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindSettings means that the settings are invalid.
	KindSettings Kind = iota + 1
	// KindListen means that an address can't be listened on.
	KindListen
	// KindStop means that requests still ran when the time for a planned stop
	// was over.
	KindStop
)

// Error is the error type of this package.
type Error struct {
	Op   string // Operation that failed.
	Kind Kind
	Err  error // Cause.
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
