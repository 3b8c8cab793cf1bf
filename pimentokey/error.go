package pimentokey

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindSyntax means that a text isn't a valid key.
	KindSyntax Kind = iota + 1
	// KindStopped means that the ledger was stopped and adopts no range.
	KindStopped
	// KindDuplicate means that the ledger holds or has held the range.
	KindDuplicate
	// KindCorrupt means that an exported range is inconsistent.
	KindCorrupt
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause. It is never nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentokey: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
