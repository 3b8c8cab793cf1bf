package pimentofeed

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentowire"
)

// message Update {
//   uint64 from = 1; uint64 as_of = 2; bool full = 3; uint64 age_ms = 4;
//   repeated Item items = 5; uint64 era = 6; repeated Dispute disputes = 7;
//   uint64 settles_ms = 8;
// }
// message Item {
//   string key = 1; bytes value = 2; uint64 revision = 3; bool removed = 4;
// }
// message Dispute {
//   Item kept = 1; Item stored = 2; uint64 base = 3; uint64 era = 4;
// }

// Marshal encodes the update as a protobuf message.
func (u *Update) Marshal(mm *easyproto.MessageMarshaler) {
	mm.AppendUint64(1, uint64(u.From))
	mm.AppendUint64(2, uint64(u.AsOf))
	mm.AppendBool(3, u.Full)
	mm.AppendUint64(4, uint64(u.Age.Milliseconds()))
	for i := range u.Items {
		u.Items[i].marshal(mm.AppendMessage(5))
	}
	mm.AppendUint64(6, uint64(u.Era))
	for i := range u.Disputes {
		d := &u.Disputes[i]
		dm := mm.AppendMessage(7)
		d.Kept.marshal(dm.AppendMessage(1))
		d.Stored.marshal(dm.AppendMessage(2))
		dm.AppendUint64(3, uint64(d.Base))
		dm.AppendUint64(4, uint64(d.Era))
	}
	mm.AppendUint64(8, uint64(u.SettlesIn.Milliseconds()))
}

func (it *Item) marshal(mm *easyproto.MessageMarshaler) {
	mm.AppendString(1, it.Key)
	mm.AppendBytes(2, it.Value)
	mm.AppendUint64(3, uint64(it.Revision))
	mm.AppendBool(4, it.Removed)
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
		case 6:
			return pimentowire.ReadUint64(&u.Era, fc.Uint64)
		case 7:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var d Dispute
				ok = d.unmarshal(data) == nil
				u.Disputes = append(u.Disputes, d)
			}
		case 8:
			ms, ok = fc.Uint64()
			u.SettlesIn = time.Duration(min(ms, maxSettlesMillis)) * time.Millisecond
		default:
			ok = true
		}
		return ok
	})
}

// maxSettlesMillis bounds what a peer may state, so that the time can't overflow.
const maxSettlesMillis = uint64(settleTime / time.Millisecond)

// errDisputeKeys is the error of a dispute between two different items.
var errDisputeKeys = errors.New("the items of a dispute have different keys")

func (d *Dispute) unmarshal(src []byte) error {
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		item := func(it *Item) bool {
			data, ok := fc.MessageData()
			return ok && it.unmarshal(data) == nil
		}
		switch fc.FieldNum {
		case 1:
			return item(&d.Kept)
		case 2:
			return item(&d.Stored)
		case 3:
			return pimentowire.ReadUint64(&d.Base, fc.Uint64)
		case 4:
			return pimentowire.ReadUint64(&d.Era, fc.Uint64)
		}
		return true
	})
	if err == nil && d.Kept.Key != d.Stored.Key {
		err = errDisputeKeys
	}
	return err
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
