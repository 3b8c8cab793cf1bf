package pimentogate

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindSettings means that the settings are invalid.
	KindSettings Kind = iota + 1
	// KindListen means that an address can't be listened on.
	KindListen
	// KindRequest means that a caller's request is invalid.
	KindRequest
	// KindSyncMessage means that a peer's sync message is invalid.
	KindSyncMessage
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
func (e *Error) Error() string { return fmt.Sprintf("pimentogate: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
