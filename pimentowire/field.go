/*
Package pimentowire decodes protobuf messages field by field, for the messages of
other packages.
*/
package pimentowire

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/easyproto"
)

// ErrInvalidField is returned for a message with a field of the wrong type or with a
// value that its decoder refuses.
var ErrInvalidField = errors.New("message field has the wrong type or an invalid value")

// EachField calls visit for each field of a message. It returns ErrInvalidField,
// wrapped with the field's number, as soon as visit reports false.
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

// ReadUint64 sets dst to the number that read returns for a field, and reports whether
// the field holds one.
func ReadUint64[T ~uint64](dst *T, read func() (uint64, bool)) bool {
	v, ok := read()
	*dst = T(v)
	return ok
}

// ReadString sets dst to the string in a field, and reports whether the field holds
// one. The string is copied, because the message's memory may be reused.
func ReadString[T ~string](dst *T, fc *easyproto.FieldContext) bool {
	v, ok := fc.Bytes()
	*dst = T(v)
	return ok
}
