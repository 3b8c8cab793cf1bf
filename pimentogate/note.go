package pimentogate

import (
	"errors"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentowire"
)

// note is what one entry tells another at intervals and when something changes.
type note struct {
	self    pimentopeer.Member
	hash    uint64                 // Of the sender's roster.
	sums    *pimentopeer.Checksums // Of the sender's roster, where the receiver's may differ.
	members []pimentopeer.Member   // The parts in which the receiver's roster differs.
	asOf    pimentofeed.Revision   // Up to which the sender knows everything.
	update  *pimentofeed.Update    // What the receiver lacks, as far as is known. May be nil.
	age     int64                  // Of the sender's state, in milliseconds; negative if unknown.
	reads   bool                   // The sender reads the platform.
	crashes []crashNews
}

var (
	marshalers     easyproto.MarshalerPool
	errNoteNoName  = errors.New("the sender has no name")
	errNoteSums    = errors.New("it has a wrong number of checksums")
	errNoteUnknown = errors.New("a message within isn't valid")
)

// message Note {
//   Member self = 1; fixed64 hash = 2; repeated Member members = 3;
//   uint64 as_of = 4; Update update = 5; sint64 age = 6; bool reads = 7;
//   repeated Crash crashes = 8; repeated fixed32 sums = 9;
// }

func (n *note) marshal() []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	marshalMember(mm.AppendMessage(1), &n.self)
	mm.AppendFixed64(2, n.hash)
	for i := range n.members {
		marshalMember(mm.AppendMessage(3), &n.members[i])
	}
	mm.AppendUint64(4, uint64(n.asOf))
	if n.update != nil {
		n.update.Marshal(mm.AppendMessage(5))
	}
	mm.AppendSint64(6, n.age)
	mm.AppendBool(7, n.reads)
	for i := range n.crashes {
		marshalCrash(mm.AppendMessage(8), &n.crashes[i])
	}
	if n.sums != nil {
		mm.AppendFixed32s(9, n.sums[:])
	}
	return m.Marshal(nil)
}

// message Member {
//   string name = 1; string address = 2; string region = 3; string domain = 4;
//   fixed64 run = 5; uint64 version = 6; bool stopping = 7; bool gone = 8;
// }

func marshalMember(mm *easyproto.MessageMarshaler, m *pimentopeer.Member) {
	mm.AppendString(1, string(m.Name))
	mm.AppendString(2, m.Address)
	mm.AppendString(3, string(m.Region))
	mm.AppendString(4, string(m.Domain))
	mm.AppendFixed64(5, m.RunID)
	mm.AppendUint64(6, m.Version)
	mm.AppendBool(7, m.Stopping)
	mm.AppendBool(8, m.Down)
}

// message Crash { fixed64 print = 1; string target = 2; uint32 count = 3; }

func marshalCrash(mm *easyproto.MessageMarshaler, n *crashNews) {
	mm.AppendFixed64(1, uint64(n.print))
	mm.AppendString(2, n.crash.Target)
	mm.AppendUint32(3, uint32(n.crash.Count))
}

func unmarshalNote(src []byte) (*note, error) {
	n := new(note)
	var nested error
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			n.self, nested = memberField(fc)
			ok = nested == nil
		case 2:
			n.hash, ok = fc.Fixed64()
		case 3:
			var m pimentopeer.Member
			m, nested = memberField(fc)
			n.members = append(n.members, m)
			ok = nested == nil
		case 4:
			var rev uint64
			rev, ok = fc.Uint64()
			n.asOf = pimentofeed.Revision(rev)
		case 5:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				n.update = new(pimentofeed.Update)
				ok = n.update.Unmarshal(data) == nil
			}
		case 6:
			n.age, ok = fc.Sint64()
		case 7:
			n.reads, ok = fc.Bool()
		case 8:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var c crashNews
				ok = unmarshalCrash(data, &c) == nil
				n.crashes = append(n.crashes, c)
			}
		case 9:
			n.sums, nested = sumsField(fc)
			ok = nested == nil
		default:
			ok = true
		}
		return ok
	})
	if err == nil && n.self.Name == "" {
		err = errNoteNoName
	}
	if err != nil {
		return nil, &Error{Op: "read note", Kind: KindSyncMessage, Err: err}
	}
	return n, nil
}

func sumsField(fc *easyproto.FieldContext) (*pimentopeer.Checksums, error) {
	s := new(pimentopeer.Checksums)
	list, ok := fc.UnpackFixed32s(nil)
	if !ok || len(list) != len(s) {
		return nil, errNoteSums
	}
	copy(s[:], list)
	return s, nil
}

func memberField(fc *easyproto.FieldContext) (pimentopeer.Member, error) {
	var m pimentopeer.Member
	data, ok := fc.MessageData()
	if !ok {
		return m, errNoteUnknown
	}
	err := pimentowire.EachField(data, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&m.Name, fc)
		case 2:
			return pimentowire.ReadString(&m.Address, fc)
		case 3:
			return pimentowire.ReadString(&m.Region, fc)
		case 4:
			return pimentowire.ReadString(&m.Domain, fc)
		case 5:
			m.RunID, ok = fc.Fixed64()
		case 6:
			m.Version, ok = fc.Uint64()
		case 7:
			m.Stopping, ok = fc.Bool()
		case 8:
			m.Down, ok = fc.Bool()
		default:
			ok = true
		}
		return ok
	})
	return m, err
}

func unmarshalCrash(src []byte, n *crashNews) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			var v uint64
			v, ok = fc.Fixed64()
			n.print = pimentoretry.Fingerprint(v)
		case 2:
			ok = pimentowire.ReadString(&n.crash.Target, fc)
		case 3:
			var v uint32
			v, ok = fc.Uint32()
			n.crash.Count = int(v)
		default:
			ok = true
		}
		return ok
	})
}
