package pimentogate

import (
	"errors"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentowire"
)

// syncMessage is what one entry tells another at intervals and when something changes.
type syncMessage struct {
	sender        pimentopeer.Member
	membersHash   uint64               // Of the sender's roster.
	sums          *pimentopeer.Sums    // Of the sender's roster, where the receiver's may differ.
	members       []pimentopeer.Member // The parts in which the receiver's roster differs.
	revision      pimentofeed.Revision // Up to which the sender knows everything.
	update        *pimentofeed.Update  // What the receiver lacks, as far as is known. May be nil.
	ageMillis     int64                // Of the sender's state, in milliseconds; negative if unknown.
	readsPlatform bool                 // The sender reads the platform.
	crashes       []crashReport
}

var (
	marshalers       easyproto.MarshalerPool
	errNoSender      = errors.New("the sender has no name")
	errSumCount      = errors.New("it has a wrong number of checksums")
	errInvalidMember = errors.New("a message within isn't valid")
)

// message Note {
//   Member self = 1; fixed64 hash = 2; repeated Member members = 3;
//   uint64 as_of = 4; Update update = 5; sint64 age = 6; bool reads = 7;
//   repeated Crash crashes = 8; repeated fixed32 sums = 9;
// }

func (n *syncMessage) marshal() []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	marshalMember(mm.AppendMessage(1), &n.sender)
	mm.AppendFixed64(2, n.membersHash)
	for i := range n.members {
		marshalMember(mm.AppendMessage(3), &n.members[i])
	}
	mm.AppendUint64(4, uint64(n.revision))
	if n.update != nil {
		n.update.Marshal(mm.AppendMessage(5))
	}
	mm.AppendSint64(6, n.ageMillis)
	mm.AppendBool(7, n.readsPlatform)
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
	mm.AppendFixed64(5, m.Run)
	mm.AppendUint64(6, m.Version)
	mm.AppendBool(7, m.Stopping)
	mm.AppendBool(8, m.Gone)
}

// message Crash { fixed64 print = 1; string target = 2; uint32 count = 3; }

func marshalCrash(mm *easyproto.MessageMarshaler, n *crashReport) {
	mm.AppendFixed64(1, uint64(n.fingerprint))
	mm.AppendString(2, n.crash.Target)
	mm.AppendUint32(3, uint32(n.crash.Count))
}

func unmarshalSyncMessage(src []byte) (*syncMessage, error) {
	n := new(syncMessage)
	var nested error
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			n.sender, nested = memberField(fc)
			ok = nested == nil
		case 2:
			n.membersHash, ok = fc.Fixed64()
		case 3:
			var m pimentopeer.Member
			m, nested = memberField(fc)
			n.members = append(n.members, m)
			ok = nested == nil
		case 4:
			var rev uint64
			rev, ok = fc.Uint64()
			n.revision = pimentofeed.Revision(rev)
		case 5:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				n.update = new(pimentofeed.Update)
				ok = n.update.Unmarshal(data) == nil
			}
		case 6:
			n.ageMillis, ok = fc.Sint64()
		case 7:
			n.readsPlatform, ok = fc.Bool()
		case 8:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var c crashReport
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
	if err == nil && n.sender.Name == "" {
		err = errNoSender
	}
	if err != nil {
		return nil, &Error{Op: "read note", Kind: KindSyncMessage, Err: err}
	}
	return n, nil
}

func sumsField(fc *easyproto.FieldContext) (*pimentopeer.Sums, error) {
	s := new(pimentopeer.Sums)
	list, ok := fc.UnpackFixed32s(nil)
	if !ok || len(list) != len(s) {
		return nil, errSumCount
	}
	copy(s[:], list)
	return s, nil
}

func memberField(fc *easyproto.FieldContext) (pimentopeer.Member, error) {
	var m pimentopeer.Member
	data, ok := fc.MessageData()
	if !ok {
		return m, errInvalidMember
	}
	err := pimentowire.EachField(data, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.Text(&m.Name, fc)
		case 2:
			return pimentowire.Text(&m.Address, fc)
		case 3:
			return pimentowire.Text(&m.Region, fc)
		case 4:
			return pimentowire.Text(&m.Domain, fc)
		case 5:
			m.Run, ok = fc.Fixed64()
		case 6:
			m.Version, ok = fc.Uint64()
		case 7:
			m.Stopping, ok = fc.Bool()
		case 8:
			m.Gone, ok = fc.Bool()
		default:
			ok = true
		}
		return ok
	})
	return m, err
}

func unmarshalCrash(src []byte, n *crashReport) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			var v uint64
			v, ok = fc.Fixed64()
			n.fingerprint = pimentoretry.Print(v)
		case 2:
			ok = pimentowire.Text(&n.crash.Target, fc)
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
