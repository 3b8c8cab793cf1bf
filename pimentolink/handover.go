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

// Handover offers key ranges to the peer at an address. from is the incarnation of
// this process, to that of the process that is to adopt them. An error of
// KindUnreachable or KindRefused means that the peer hasn't adopted them. After any
// other error it may have, so they may be offered again to that process only.
func (n *Node) Handover(address string, from, to pimentokey.Incarnation, ranges []pimentokey.Range) error {
	stream, err := n.open(address, streamHandover)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(transferTimeout))
	connectionLost := func(err error) error {
		return &Error{Op: "handover", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	if err := writeMessage(stream, marshalHandover(from, to, ranges)); err != nil {
		return connectionLost(err)
	}
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(bufio.NewReader(stream), memory)
	if err != nil {
		return connectionLost(err)
	}
	if len(msg) > 0 {
		return &Error{Op: "handover", Kind: KindRefused, Peer: address, Err: errors.New(string(msg))}
	}
	return nil
}

func (n *Node) serveHandover(stream *yamux.Stream, r *bufio.Reader) error {
	_ = stream.SetDeadline(time.Now().Add(transferTimeout))
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(r, memory)
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

// KeyOutcome is the outcome of a dispatch that was still running when its key's range
// was handed over. Response is nil if there is none or it isn't stored.
type KeyOutcome struct {
	Key      pimentokey.Key
	Outcome  pimentokey.Outcome
	Response *pimentokey.Response
}

// ReportOutcome sends a key outcome to a peer and waits for its acknowledgement.
func (n *Node) ReportOutcome(address string, o KeyOutcome) error {
	stream, err := n.open(address, streamKeyOutcome)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(controlTimeout))
	if err := writeMessage(stream, marshalKeyOutcome(&o)); err != nil {
		return &Error{Op: "report outcome", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	memory, release := n.Memory.NewGrant()
	defer release()
	if _, err := readMessage(bufio.NewReader(stream), memory); err != nil {
		return &Error{Op: "report outcome", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	return nil
}

func (n *Node) serveKeyOutcome(stream *yamux.Stream, r *bufio.Reader) error {
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(r, memory)
	if err != nil {
		return err
	}
	o, err := unmarshalKeyOutcome(msg)
	if err != nil {
		return err
	}
	n.OnKeyOutcome(o)
	return writeMessage(stream, nil)
}

// message Handover { fixed64 to = 1; repeated Range ranges = 2; fixed64 from = 3; }
// message Range {
//   fixed64 issuer = 1; fixed64 secret_high = 2; fixed64 secret_low = 3;
//   uint64 next = 4;
//   uint64 floor = 5; repeated Page pages = 6; repeated Record records = 7;
// }
// message Page { uint64 number = 1; bytes executed = 2; bytes unknown = 3; }
// message Record {
//   uint64 seq = 1; fixed64 fingerprint = 2; uint32 outcome = 3;
//   KeyResponse response = 4;
// }
// message KeyResponse { uint32 status = 1; bytes header = 2; bytes body = 3; }
// message KeyOutcome { Record record = 1; fixed64 issuer = 2; fixed64 mac = 3; }

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
		pm.AppendBytes(2, encodeWords(p.Page.Executed[:]))
		pm.AppendBytes(3, encodeWords(p.Page.Unknown[:]))
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
	rm := mm.AppendMessage(4)
	rm.AppendUint32(1, uint32(r.Response.Status))
	rm.AppendBytes(2, r.Response.Header)
	rm.AppendBytes(3, r.Response.Body)
}

// encodeWords encodes words as big-endian bytes.
func encodeWords(words []uint64) []byte {
	out := make([]byte, 0, 8*len(words))
	for _, w := range words {
		out = binary.BigEndian.AppendUint64(out, w)
	}
	return out
}

// decodeWords sets words from big-endian bytes. It reports false, and sets nothing, if
// data has another length.
func decodeWords(words []uint64, data []byte) bool {
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
			return ok && decodeWords(p.Page.Executed[:], v)
		case 3:
			v, ok := fc.Bytes()
			return ok && decodeWords(p.Page.Unknown[:], v)
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
			r.Response, ok = unmarshalKeyResponse(data)
			return ok
		}
		return true
	})
	return r, err == nil
}

func unmarshalKeyResponse(src []byte) (*pimentokey.Response, bool) {
	resp := new(pimentokey.Response)
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			v, ok := fc.Uint32()
			resp.Status = int(v)
			return ok
		case 2:
			v, ok := fc.Bytes()
			resp.Header = append([]byte(nil), v...)
			return ok
		case 3:
			v, ok := fc.Bytes()
			resp.Body = append([]byte(nil), v...)
			return ok
		}
		return true
	})
	return resp, err == nil
}

func marshalKeyOutcome(o *KeyOutcome) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	rec := pimentokey.Record{Seq: o.Key.Seq, Outcome: o.Outcome, Response: o.Response}
	marshalRecord(mm.AppendMessage(1), &rec)
	mm.AppendFixed64(2, uint64(o.Key.Issuer))
	mm.AppendFixed64(3, uint64(o.Key.MAC))
	return m.Marshal(nil)
}

func unmarshalKeyOutcome(src []byte) (KeyOutcome, error) {
	var o KeyOutcome
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			rec, ok := unmarshalRecord(data)
			o.Key.Seq = rec.Seq
			o.Outcome = rec.Outcome
			o.Response = rec.Response
			return ok
		case 2:
			return pimentowire.ReadUint64(&o.Key.Issuer, fc.Fixed64)
		case 3:
			return pimentowire.ReadUint64(&o.Key.MAC, fc.Fixed64)
		}
		return true
	})
	return o, err
}
