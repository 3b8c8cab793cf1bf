package pimentohttp

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindDial means that no connection could be opened.
	KindDial Kind = iota + 1
	// KindStale means that the target had closed the pooled connection before
	// anything was sent.
	KindStale
	// KindConnFailed means that the connection failed before the end of the
	// response's head.
	KindConnFailed
	// KindIncomplete means that the connection failed within the response's body, or
	// that a streamed body failed for any reason.
	KindIncomplete
	// KindInvalid means that the response isn't valid HTTP/1, has no length, is too
	// long, or belongs to another request.
	KindInvalid
	// KindTimeout means that the deadline passed.
	KindTimeout
	// KindCancelled means that the exchange was cancelled.
	KindCancelled
	// KindConnLimit means that all connections that the limit allows are in use.
	KindConnLimit
)

// Error is the error type of this package.
type Error struct {
	// Op is the step that failed: "connect", "write", "read" or "body".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Address is the target's IP and port.
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
