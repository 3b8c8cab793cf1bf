package pimentoregister

import (
	"fmt"
	"strings"
)

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindSyntax means that the bytes are neither the JSON of a Document nor the result
	// of Join.
	KindSyntax Kind = iota + 1
	// KindSize means that the document is larger than MaxBytes.
	KindSize
	// KindContent means that at least one field has a value that isn't allowed, or that
	// a part's checksum differs from that in the manifest.
	KindContent
	// KindStale means that the revision isn't above the active one.
	KindStale
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, such as "decode" or "check".
	Op string
	// Kind classifies the error.
	Kind Kind
	// Violations lists the fields whose values aren't allowed, for KindContent. It is
	// empty if a checksum differs.
	Violations []Violation
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Violations) == 0 {
		return fmt.Sprintf("pimentoregister: %s: %v", e.Op, e.Err)
	}
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return fmt.Sprintf("pimentoregister: %s: %s", e.Op, strings.Join(lines, "; "))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Violation is a field with a value that isn't allowed.
type Violation struct {
	// Field is the path of the field, such as "vms[3].domain".
	Field string
	// Value is the field's value, as JSON.
	Value string
	// Reason is why the value isn't allowed.
	Reason string
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: value %s: %s", v.Field, v.Value, v.Reason)
}
