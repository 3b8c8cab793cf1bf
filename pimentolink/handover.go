package pimentolink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"time"

	"github.com/VictoriaMetrics/easyproto"
	"github.com/hashicorp/yamux"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentowire"
)

// Handover gives the key ranges of process from to the process with the incarnation at a peer. An
// error of KindUnreachable or KindRefused says that the peer hasn't taken
// them. After any other error it may have, so the ranges may be offered again
// to that process only.
func (n *Node) Handover(address string, from, to pimentokey.Incarnation, ranges []pimentokey.Range) error {
	stream, err := n.open(address, streamHandover)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(transferTimeout))
	broken := func(err error) error {
		return &Error{Op: "handover", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	if err := writeMessage(stream, marshalHandover(from, to, ranges)); err != nil {
		return broken(err)
	}
	msg, err := readMessage(bufio.NewReader(stream))
	if err != nil {
		return broken(err)
	}
	if len(msg) > 0 {
		return &Error{Op: "handover", Kind: KindRefused, Peer: address, Err: errors.New(string(msg))}
	}
	return nil
}

func (n *Node) serveHandover(stream *yamux.Stream, r *bufio.Reader) error {
	_ = stream.SetDeadline(time.Now().Add(transferTimeout))
	msg, err := readMessage(r)
	if err != nil {
		return err
	}
	from, to, ranges, err := unmarshalHandover(msg)
	if err != nil {
		return err
	}
	var reply []byte
	if err := n.OnHandover(from, to, ranges); err != nil {
		reply = []byte(err.Error())
	}
	return writeMessage(stream, reply)
}

// KeyOutcome is the outcome of a dispatch that still ran when its key's range was
// handed over.
type KeyOutcome struct {
	Key      pimentokey.Key
	Outcome  pimentokey.Outcome
	Response *pimentokey.Response
}

// ReportOutcome tells a peer an outcome.
func (n *Node) ReportOutcome(address string, l KeyOutcome) error {
	stream, err := n.open(address, streamLearn)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(controlTimeout))
	if err := writeMessage(stream, marshalLesson(&l)); err != nil {
		return &Error{Op: "learn", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	if _, err := readMessage(bufio.NewReader(stream)); err != nil {
		return &Error{Op: "learn", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	return nil
}

func (n *Node) serveLearn(stream *yamux.Stream, r *bufio.Reader) error {
	msg, err := readMessage(r)
	if err != nil {
		return err
	}
	l, err := unmarshalLesson(msg)
	if err != nil {
		return err
	}
	n.OnKeyOutcome(l)
	return writeMessage(stream, nil)
}

// message Handover { fixed64 to = 1; repeated Range ranges = 2; fixed64 from = 3; }
// message Range {
//   fixed64 issuer = 1; fixed64 high = 2; fixed64 low = 3; uint64 next = 4;
//   uint64 floor = 5; repeated Page pages = 6; repeated Record records = 7;
// }
// message Page { uint64 number = 1; bytes ran = 2; bytes unknown = 3; }
// message Record {
//   uint64 seq = 1; fixed64 fingerprint = 2; uint32 outcome = 3;
//   Answer answer = 4;
// }
// message Answer { uint32 status = 1; bytes header = 2; bytes body = 3; }
// message Lesson { Record record = 1; fixed64 issuer = 2; fixed64 sum = 3; }

func marshalHandover(from, to pimentokey.Incarnation, ranges []pimentokey.Range) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendFixed64(1, uint64(to))
	for i := range ranges {
		marshalRange(mm.AppendMessage(2), &ranges[i])
	}
	mm.AppendFixed64(3, uint64(from))
	return m.Marshal(nil)
}

func marshalRange(mm *easyproto.MessageMarshaler, r *pimentokey.Range) {
	mm.AppendFixed64(1, uint64(r.Issuer))
	mm.AppendFixed64(2, r.Secret[0])
	mm.AppendFixed64(3, r.Secret[1])
	mm.AppendUint64(4, uint64(r.Next))
	mm.AppendUint64(5, uint64(r.Floor))
	for i := range r.Pages {
		p := &r.Pages[i]
		pm := mm.AppendMessage(6)
		pm.AppendUint64(1, p.Number)
		pm.AppendBytes(2, wordBytes(p.Page.Executed[:]))
		pm.AppendBytes(3, wordBytes(p.Page.Unknown[:]))
	}
	for i := range r.Records {
		marshalRecord(mm.AppendMessage(7), &r.Records[i])
	}
}

func marshalRecord(mm *easyproto.MessageMarshaler, r *pimentokey.Record) {
	mm.AppendUint64(1, uint64(r.Seq))
	mm.AppendFixed64(2, uint64(r.Fingerprint))
	mm.AppendUint32(3, uint32(r.Outcome))
	if r.Response == nil {
		return
	}
	am := mm.AppendMessage(4)
	am.AppendUint32(1, uint32(r.Response.Status))
	am.AppendBytes(2, r.Response.Header)
	am.AppendBytes(3, r.Response.Body)
}

func wordBytes(words []uint64) []byte {
	out := make([]byte, 0, 8*len(words))
	for _, w := range words {
		out = binary.BigEndian.AppendUint64(out, w)
	}
	return out
}

// setWords reports whether data has the size of words.
func setWords(words []uint64, data []byte) bool {
	if len(data) != 8*len(words) {
		return false
	}
	for i := range words {
		words[i] = binary.BigEndian.Uint64(data[8*i:])
	}
	return true
}

func unmarshalHandover(src []byte) (from, to pimentokey.Incarnation, ranges []pimentokey.Range, err error) {
	err = pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&to, fc.Fixed64)
		case 2:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			r, err := unmarshalRange(data)
			ranges = append(ranges, r)
			return err == nil
		case 3:
			return pimentowire.ReadUint64(&from, fc.Fixed64)
		}
		return true
	})
	return from, to, ranges, err
}

func unmarshalRange(src []byte) (pimentokey.Range, error) {
	var r pimentokey.Range
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&r.Issuer, fc.Fixed64)
		case 2:
			return pimentowire.ReadUint64(&r.Secret[0], fc.Fixed64)
		case 3:
			return pimentowire.ReadUint64(&r.Secret[1], fc.Fixed64)
		case 4:
			return pimentowire.ReadUint64(&r.Next, fc.Uint64)
		case 5:
			return pimentowire.ReadUint64(&r.Floor, fc.Uint64)
		case 6:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			p, ok := unmarshalPage(data)
			r.Pages = append(r.Pages, p)
			return ok
		case 7:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			rec, ok := unmarshalRecord(data)
			r.Records = append(r.Records, rec)
			return ok
		}
		return true
	})
	return r, err
}

func unmarshalPage(src []byte) (pimentokey.NumberedPage, bool) {
	var p pimentokey.NumberedPage
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			v, ok := fc.Uint64()
			p.Number = v
			return ok
		case 2:
			v, ok := fc.Bytes()
			return ok && setWords(p.Page.Executed[:], v)
		case 3:
			v, ok := fc.Bytes()
			return ok && setWords(p.Page.Unknown[:], v)
		}
		return true
	})
	return p, err == nil
}

func unmarshalRecord(src []byte) (pimentokey.Record, bool) {
	var r pimentokey.Record
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&r.Seq, fc.Uint64)
		case 2:
			return pimentowire.ReadUint64(&r.Fingerprint, fc.Fixed64)
		case 3:
			v, ok := fc.Uint32()
			r.Outcome = pimentokey.Outcome(v)
			return ok && v <= uint32(pimentokey.OutcomeNotExecuted)
		case 4:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			r.Response, ok = unmarshalAnswer(data)
			return ok
		}
		return true
	})
	return r, err == nil
}

func unmarshalAnswer(src []byte) (*pimentokey.Response, bool) {
	a := new(pimentokey.Response)
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			v, ok := fc.Uint32()
			a.Status = int(v)
			return ok
		case 2:
			v, ok := fc.Bytes()
			a.Header = append([]byte(nil), v...)
			return ok
		case 3:
			v, ok := fc.Bytes()
			a.Body = append([]byte(nil), v...)
			return ok
		}
		return true
	})
	return a, err == nil
}

func marshalLesson(l *KeyOutcome) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	rec := pimentokey.Record{Seq: l.Key.Seq, Outcome: l.Outcome, Response: l.Response}
	marshalRecord(mm.AppendMessage(1), &rec)
	mm.AppendFixed64(2, uint64(l.Key.Issuer))
	mm.AppendFixed64(3, uint64(l.Key.MAC))
	return m.Marshal(nil)
}

func unmarshalLesson(src []byte) (KeyOutcome, error) {
	var l KeyOutcome
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			rec, ok := unmarshalRecord(data)
			l.Key.Seq = rec.Seq
			l.Outcome = rec.Outcome
			l.Response = rec.Response
			return ok
		case 2:
			return pimentowire.ReadUint64(&l.Key.Issuer, fc.Fixed64)
		case 3:
			return pimentowire.ReadUint64(&l.Key.MAC, fc.Fixed64)
		}
		return true
	})
	return l, err
}
