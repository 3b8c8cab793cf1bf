package pimentofeed

import (
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentowire"
)

// message Update {
//   uint64 from = 1; uint64 as_of = 2; bool full = 3; uint64 age_ms = 4;
//   repeated Item items = 5;
// }
// message Item {
//   string key = 1; bytes value = 2; uint64 revision = 3; bool removed = 4;
// }

// Marshal encodes the update as a protobuf message.
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

// Unmarshal decodes an update from a protobuf message. It keeps no reference to src.
// Decoded items are appended to u.Items.
func (u *Update) Unmarshal(src []byte) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		var ms uint64
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&u.From, fc.Uint64)
		case 2:
			return pimentowire.ReadUint64(&u.AsOf, fc.Uint64)
		case 3:
			u.Full, ok = fc.Bool()
		case 4:
			ms, ok = fc.Uint64()
			u.Age = time.Duration(ms) * time.Millisecond
		case 5:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var it Item
				ok = it.unmarshal(data) == nil
				u.Items = append(u.Items, it)
			}
		default:
			ok = true
		}
		return ok
	})
}

func (it *Item) unmarshal(src []byte) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&it.Key, fc)
		case 2:
			var value []byte
			value, ok = fc.Bytes()
			it.Value = append([]byte(nil), value...)
		case 3:
			return pimentowire.ReadUint64(&it.Revision, fc.Uint64)
		case 4:
			it.Removed, ok = fc.Bool()
		default:
			ok = true
		}
		return ok
	})
}
