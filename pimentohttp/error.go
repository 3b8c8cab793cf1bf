package pimentohttp

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindDial means that no connection could be opened.
	KindDial Kind = iota + 1
	// KindStale means that the target has closed an idle connection. Nothing
	// was sent.
	KindStale
	// KindConnFailed means that the connection broke before an answer.
	KindConnFailed
	// KindIncomplete means that the connection broke within an answer.
	KindIncomplete
	// KindInvalid means that the answer isn't valid HTTP.
	KindInvalid
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the exchange was cancelled.
	KindCancelled
	// KindConnLimit means that the share of connections is in use.
	KindConnLimit
)

// Error is the error type of this package.
type Error struct {
	// Op is the step that failed: "connect", "write", "read" or "body".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Address is the target's.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("pimentohttp: %s %s: %v", e.Op, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
