package pimentolink

import (
	"errors"

	"github.com/VictoriaMetrics/easyproto"
)

var marshalers easyproto.MarshalerPool

// errCorrupt is returned for messages with fields of the wrong type.
var errCorrupt = errors.New("message field has the wrong type")

// eachField calls visit for each field of a message until it reports false.
func eachField(src []byte, visit func(*easyproto.FieldContext) bool) error {
	var fc easyproto.FieldContext
	for len(src) > 0 {
		rest, err := fc.NextField(src)
		if err != nil {
			return err
		}
		src = rest
		if !visit(&fc) {
			return errCorrupt
		}
	}
	return nil
}

// setNumber sets a number from a field, and reports whether the field has one.
func setNumber[T ~uint64](dst *T, read func() (uint64, bool)) bool {
	v, ok := read()
	*dst = T(v)
	return ok
}

// setText sets a text from a field, and reports whether the field has one. The
// text is copied, because the message's memory is reused.
func setText[T ~string](dst *T, fc *easyproto.FieldContext) bool {
	v, ok := fc.Bytes()
	*dst = T(v)
	return ok
}
