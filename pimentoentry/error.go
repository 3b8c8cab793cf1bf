package pimentoentry

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindSettings means that the settings aren't valid.
	KindSettings Kind = iota + 1
	// KindListen means that an address can't be listened on.
	KindListen
	// KindStop means that a planned stop did not end in time.
	KindStop
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
