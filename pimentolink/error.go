package pimentolink

import "fmt"

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindUnreachable means that no part of the message was sent to the peer.
	KindUnreachable Kind = iota + 1
	// KindConnectionLost means that the connection failed after something was sent.
	KindConnectionLost
	// KindInvalid means that the peer sent a malformed message.
	KindInvalid
	// KindRefused means that the peer refused the operation.
	KindRefused
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Peer is the address of the peer.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentolink: %s %s: %v", e.Op, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
