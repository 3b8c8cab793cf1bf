package pimentofeed

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/easyproto"
)

// errCorrupt is returned for messages with fields of the wrong type.
var errCorrupt = errors.New("pimentofeed: update: a field has the wrong type")

// message Update {
//   uint64 from = 1; uint64 as_of = 2; bool full = 3; uint64 age_ms = 4;
//   repeated Item items = 5;
// }
// message Item { string key = 1; bytes value = 2; uint64 revision = 3; bool removed = 4; }

// Marshal writes an update as a message.
func (u *Update) Marshal(mm *easyproto.MessageMarshaler) {
	mm.AppendUint64(1, uint64(u.From))
	mm.AppendUint64(2, uint64(u.AsOf))
	mm.AppendBool(3, u.Full)
	mm.AppendUint64(4, uint64(u.Age.Milliseconds()))
	for i := range u.Items {
		it := &u.Items[i]
		im := mm.AppendMessage(5)
		im.AppendString(1, it.Key)
		im.AppendBytes(2, it.Value)
		im.AppendUint64(3, uint64(it.Revision))
		im.AppendBool(4, it.Removed)
	}
}

// Unmarshal reads an update from a message. It copies what it keeps.
func (u *Update) Unmarshal(src []byte) error {
	var fc easyproto.FieldContext
	for len(src) > 0 {
		rest, err := fc.NextField(src)
		if err != nil {
			return err
		}
		src = rest
		if !u.field(&fc) {
			return errCorrupt
		}
	}
	return nil
}

func (u *Update) field(fc *easyproto.FieldContext) bool {
	var ok bool
	var n uint64
	switch fc.FieldNum {
	case 1:
		n, ok = fc.Uint64()
		u.From = Revision(n)
	case 2:
		n, ok = fc.Uint64()
		u.AsOf = Revision(n)
	case 3:
		u.Full, ok = fc.Bool()
	case 4:
		n, ok = fc.Uint64()
		u.Age = time.Duration(n) * time.Millisecond
	case 5:
		var data []byte
		if data, ok = fc.MessageData(); ok {
			var it Item
			ok = it.unmarshal(data)
			u.Items = append(u.Items, it)
		}
	default:
		ok = true
	}
	return ok
}

func (it *Item) unmarshal(src []byte) bool {
	var fc easyproto.FieldContext
	for len(src) > 0 {
		rest, err := fc.NextField(src)
		if err != nil {
			return false
		}
		src = rest
		ok := true
		switch fc.FieldNum {
		case 1:
			var key string
			key, ok = fc.String()
			it.Key = string([]byte(key))
		case 2:
			var value []byte
			value, ok = fc.Bytes()
			it.Value = append([]byte(nil), value...)
		case 3:
			var n uint64
			n, ok = fc.Uint64()
			it.Revision = Revision(n)
		case 4:
			it.Removed, ok = fc.Bool()
		}
		if !ok {
			return false
		}
	}
	return true
}
