package pimentolisten

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindListen means that an address can't be listened on.
	KindListen Kind = iota + 1
	// KindStopped means that the wait for an address was ended.
	KindStopped
)

// Error is the error type of this package.
type Error struct {
	Op   string // Operation that failed.
	Kind Kind
	Err  error // Cause.
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentolisten: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
