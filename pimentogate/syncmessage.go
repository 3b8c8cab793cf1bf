package pimentogate

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentowire"
)

// syncMessage is what two entries exchange at intervals and when something changes.
type syncMessage struct {
	sender      pimentopeer.Member
	membersHash uint64 // Of the sender's membership.
	// sums are the checksums of the sender's membership, if the receiver's may differ.
	sums *pimentopeer.Checksums
	// members are the records of the parts in which the receiver's membership differs.
	members []pimentopeer.Member
	at      pimentofeed.Point // Up to which the sender's items are complete.
	// disputeDigest is that of the items that the sender keeps although the store has others.
	disputeDigest uint64
	update        *pimentofeed.Update // Items that the receiver lacks. May be nil.
	ageMillis     int64               // Of the sender's feed; negative if unknown.
	// readings are those known to the sender. Their times are relative to the message.
	readings []reading
	// crashDigest is that of the crashes that the sender knows of, and crashes are those
	// that the receiver may lack.
	crashDigest uint64
	crashes     []pimentoretry.Report
	silences    []silence
	// failures are those known to the sender. Their times are relative to the message.
	failures []failure
	entries  int // The size of the fleet that the sender has seen, 0 if unknown.
	// confirmation bounds the age of the sender's items. It is left out where no bound is set.
	confirmation *pimentofeed.Statement
	// backlogs are those of the sender's lines.
	backlogs []serviceBacklog
}

var (
	marshalers       easyproto.MarshalerPool
	errNoSender      = errors.New("the sender's name is missing")
	errSumCount      = errors.New("wrong number of membership checksums")
	errInvalidMember = errors.New("invalid member record")
)

// message SyncMessage {
//   Member sender = 1; fixed64 members_hash = 2; repeated Member members = 3;
//   uint64 revision = 4; Update update = 5; sint64 age_millis = 6;
//   repeated Crash crashes = 8; repeated fixed32 sums = 9; repeated Reading readings = 10;
//   fixed64 crash_digest = 11; uint64 entries = 12; Eras eras = 13;
//   Confirmation confirmation = 14; repeated Backlog backlogs = 19;
//   repeated Silence silences = 20; repeated Failure failures = 21;
// }
//
// Field 7 was used for another purpose.

func (msg *syncMessage) marshal() []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	marshalMember(mm.AppendMessage(1), &msg.sender)
	mm.AppendFixed64(2, msg.membersHash)
	for i := range msg.members {
		marshalMember(mm.AppendMessage(3), &msg.members[i])
	}
	mm.AppendUint64(4, uint64(msg.at.Revision))
	if msg.update != nil {
		msg.update.Marshal(mm.AppendMessage(5))
	}
	mm.AppendSint64(6, msg.ageMillis)
	for i := range msg.crashes {
		marshalCrash(mm.AppendMessage(8), &msg.crashes[i])
	}
	if msg.sums != nil {
		mm.AppendFixed32s(9, msg.sums[:])
	}
	for i := range msg.readings {
		marshalReading(mm.AppendMessage(10), &msg.readings[i])
	}
	mm.AppendFixed64(11, msg.crashDigest)
	mm.AppendUint64(12, uint64(msg.entries))
	if msg.at.Era > 0 {
		em := mm.AppendMessage(13)
		em.AppendUint64(1, uint64(msg.at.Era))
		em.AppendFixed64(2, msg.disputeDigest)
	}
	if msg.confirmation != nil {
		marshalConfirmation(mm.AppendMessage(14), msg.confirmation)
	}
	for i := range msg.backlogs {
		marshalBacklog(mm.AppendMessage(19), &msg.backlogs[i])
	}
	for i := range msg.silences {
		marshalSilence(mm.AppendMessage(20), &msg.silences[i])
	}
	for i := range msg.failures {
		marshalFailure(mm.AppendMessage(21), &msg.failures[i])
	}
	return m.Marshal(nil)
}

// message Member {
//   string name = 1; string address = 2; string region = 3; string domain = 4;
//   fixed64 run_id = 5; uint64 version = 6; bool stopping = 7; bool down = 8;
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

// message Crash {
//   fixed64 fingerprint = 1; string target = 2; uint32 count = 3; uint32 cleared = 4;
//   uint64 age_millis = 5;
// }

func marshalCrash(mm *easyproto.MessageMarshaler, r *pimentoretry.Report) {
	mm.AppendFixed64(1, uint64(r.Fingerprint))
	mm.AppendString(2, r.Crash.Target)
	mm.AppendUint32(3, uint32(r.Crash.Count))
	mm.AppendUint32(4, uint32(r.Crash.Cleared))
	mm.AppendUint64(5, uint64(r.Age.Milliseconds()))
}

// message Reading {
//   fixed64 run = 1; uint64 number = 2; uint64 age_millis = 3; sint64 due_millis = 4;
// }
//
// due_millis is negative if the answer is overdue.

func marshalReading(mm *easyproto.MessageMarshaler, r *reading) {
	mm.AppendFixed64(1, r.run)
	mm.AppendUint64(2, r.number)
	mm.AppendUint64(3, uint64(-r.at.Milliseconds()))
	mm.AppendSint64(4, r.due.Milliseconds())
}

func unmarshalReading(src []byte, r *reading) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			r.run, ok = fc.Fixed64()
		case 2:
			r.number, ok = fc.Uint64()
		case 3:
			var age time.Duration
			age, ok = ageField(fc)
			r.at = -age
		case 4:
			var ms int64
			ms, ok = fc.Sint64()
			r.due = time.Duration(min(max(ms, -maxAgeMillis), maxAnswerDue.Milliseconds())) * time.Millisecond
		default:
			ok = true
		}
		return ok
	})
}

func unmarshalSyncMessage(src []byte) (*syncMessage, error) {
	msg := new(syncMessage)
	var nested error
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			msg.sender, nested = memberField(fc)
			ok = nested == nil
		case 2:
			msg.membersHash, ok = fc.Fixed64()
		case 3:
			var m pimentopeer.Member
			m, nested = memberField(fc)
			msg.members = append(msg.members, m)
			ok = nested == nil
		case 4:
			var rev uint64
			rev, ok = fc.Uint64()
			msg.at.Revision = pimentofeed.Revision(rev)
		case 5:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				msg.update = new(pimentofeed.Update)
				ok = msg.update.Unmarshal(data) == nil
			}
		case 6:
			msg.ageMillis, ok = fc.Sint64()
		case 8:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var c pimentoretry.Report
				ok = unmarshalCrash(data, &c) == nil
				msg.crashes = append(msg.crashes, c)
			}
		case 9:
			msg.sums, nested = sumsField(fc)
			ok = nested == nil
		case 10:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var r reading
				ok = unmarshalReading(data, &r) == nil
				msg.readings = append(msg.readings, r)
			}
		case 11:
			msg.crashDigest, ok = fc.Fixed64()
		case 12:
			var n uint64
			n, ok = fc.Uint64()
			msg.entries = int(min(n, maxStatedEntries))
		case 14:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				msg.confirmation = new(pimentofeed.Statement)
				ok = unmarshalConfirmation(data, msg.confirmation) == nil
			}
		case 13:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				ok = msg.unmarshalEras(data) == nil
			}
		case 19:
			var b serviceBacklog
			b, ok = backlogField(fc)
			if len(msg.backlogs) < maxBacklogs {
				msg.backlogs = append(msg.backlogs, b)
			}
		case 20:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var s silence
				ok = unmarshalSilence(data, &s) == nil
				msg.silences = append(msg.silences, s)
			}
		case 21:
			var f failure
			f, ok = failureField(fc)
			if len(msg.failures) < maxFailures {
				msg.failures = append(msg.failures, f)
			}
		default:
			ok = true
		}
		return ok
	})
	if err == nil && msg.sender.Name == "" {
		err = errNoSender
	}
	if err != nil {
		return nil, &Error{Op: "read sync message", Kind: KindSyncMessage, Err: err}
	}
	return msg, nil
}

// message Eras { uint64 era = 1; fixed64 dispute_digest = 2; }

func (msg *syncMessage) unmarshalEras(src []byte) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&msg.at.Era, fc.Uint64)
		case 2:
			msg.disputeDigest, ok = fc.Fixed64()
			return ok
		}
		return true
	})
}

func sumsField(fc *easyproto.FieldContext) (*pimentopeer.Checksums, error) {
	s := new(pimentopeer.Checksums)
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

func unmarshalCrash(src []byte, r *pimentoretry.Report) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		var n uint32
		switch fc.FieldNum {
		case 1:
			var v uint64
			v, ok = fc.Fixed64()
			r.Fingerprint = pimentoretry.Fingerprint(v)
		case 2:
			ok = pimentowire.ReadString(&r.Crash.Target, fc)
		case 3:
			n, ok = fc.Uint32()
			r.Crash.Count = int(n)
		case 4:
			n, ok = fc.Uint32()
			r.Crash.Cleared = int(n)
		case 5:
			r.Age, ok = ageField(fc)
		default:
			ok = true
		}
		return ok
	})
}

// ageField reads an age in milliseconds.
func ageField(fc *easyproto.FieldContext) (time.Duration, bool) {
	ms, ok := fc.Uint64()
	return time.Duration(min(ms, maxAgeMillis)) * time.Millisecond, ok
}

// maxAgeMillis bounds a received age, so that it fits a duration.
const maxAgeMillis = 1 << 32
