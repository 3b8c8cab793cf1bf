/*
Package pimentowire reads protobuf messages field by field, for the messages of
other packages.
*/
package pimentowire

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/easyproto"
)

// ErrInvalidField is returned for messages with fields of the wrong type.
var ErrInvalidField = errors.New("message field has the wrong type")

// EachField calls visit for each field of a message until it reports false.
func EachField(src []byte, visit func(*easyproto.FieldContext) bool) error {
	var fc easyproto.FieldContext
	for len(src) > 0 {
		rest, err := fc.NextField(src)
		if err != nil {
			return err
		}
		src = rest
		if !visit(&fc) {
			return fmt.Errorf("field %d: %w", fc.FieldNum, ErrInvalidField)
		}
	}
	return nil
}

// ReadUint64 sets a number from a field, and reports whether the field has one.
func ReadUint64[T ~uint64](dst *T, read func() (uint64, bool)) bool {
	v, ok := read()
	*dst = T(v)
	return ok
}

// ReadString sets a text from a field, and reports whether the field has one. The
// text is copied, because the message's memory is reused.
func ReadString[T ~string](dst *T, fc *easyproto.FieldContext) bool {
	v, ok := fc.Bytes()
	*dst = T(v)
	return ok
}
