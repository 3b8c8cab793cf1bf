package pimentolink

import (
	"bufio"
	"time"

	"github.com/VictoriaMetrics/easyproto"
	"github.com/hashicorp/yamux"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Heart is an open heartbeat stream to a peer. It isn't safe for concurrent use.
type Heart struct {
	node    *Node
	address string
	stream  *yamux.Stream
	r       *bufio.Reader
}

// Heart returns the sending end of heartbeats to a peer. The stream is opened
// by the first Beat. The clean-up function closes it.
func (n *Node) Heart(address string) (*Heart, func()) {
	h := &Heart{node: n, address: address}
	return h, h.close
}

func (h *Heart) close() {
	if h.stream != nil {
		_ = h.stream.Close()
		h.stream = nil
	}
}

// Beat sends a heartbeat and returns the peer's, and the bytes sent and
// received. After an error the next call opens a new connection.
func (h *Heart) Beat(hb pimentopeer.Heartbeat) (pimentopeer.Heartbeat, int, error) {
	if h.stream == nil {
		stream, err := h.node.open(h.address, streamHeartbeat)
		if err != nil {
			return pimentopeer.Heartbeat{}, 0, err
		}
		h.stream = stream
		h.r = bufio.NewReader(stream)
	}
	reply, size, err := h.exchange(hb)
	if err != nil {
		h.close()
		h.node.Drop(h.address)
		return pimentopeer.Heartbeat{}, size, &Error{Op: "heartbeat", Kind: KindBroken, Peer: h.address, Err: err}
	}
	return reply, size, nil
}

func (h *Heart) exchange(hb pimentopeer.Heartbeat) (pimentopeer.Heartbeat, int, error) {
	_ = h.stream.SetDeadline(time.Now().Add(controlTimeout))
	msg := marshalHeartbeat(&hb)
	if err := writeMessage(h.stream, msg); err != nil {
		return pimentopeer.Heartbeat{}, len(msg), err
	}
	answer, err := readMessage(h.r)
	if err != nil {
		return pimentopeer.Heartbeat{}, len(msg), err
	}
	reply, err := unmarshalHeartbeat(answer)
	return reply, len(msg) + len(answer), err
}

func (n *Node) serveHeartbeat(stream *yamux.Stream, r *bufio.Reader) error {
	for {
		_ = stream.SetDeadline(time.Time{})
		msg, err := readMessage(r)
		if err != nil {
			return err
		}
		hb, err := unmarshalHeartbeat(msg)
		if err != nil {
			return err
		}
		reply := n.OnHeartbeat(hb)
		_ = stream.SetWriteDeadline(time.Now().Add(controlTimeout))
		if err := writeMessage(stream, marshalHeartbeat(&reply)); err != nil {
			return err
		}
	}
}

// message Heartbeat {
//   string name = 1; fixed64 incarnation = 2; uint64 revision = 3;
//   bool leaving = 4; repeated fixed64 held = 5; repeated Change changes = 6;
//   bool all = 7;
// }

func marshalHeartbeat(hb *pimentopeer.Heartbeat) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendString(1, string(hb.Name))
	mm.AppendFixed64(2, uint64(hb.Incarnation))
	mm.AppendUint64(3, uint64(hb.Revision))
	mm.AppendBool(4, hb.Leaving)
	for _, inc := range hb.Held {
		mm.AppendFixed64(5, uint64(inc))
	}
	for i := range hb.Changes {
		marshalChange(mm.AppendMessage(6), &hb.Changes[i])
	}
	mm.AppendBool(7, hb.WantAll)
	return m.Marshal(nil)
}

func unmarshalHeartbeat(src []byte) (pimentopeer.Heartbeat, error) {
	var hb pimentopeer.Heartbeat
	err := eachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return setText(&hb.Name, fc)
		case 2:
			return setNumber(&hb.Incarnation, fc.Fixed64)
		case 3:
			return setNumber(&hb.Revision, fc.Uint64)
		case 4:
			v, ok := fc.Bool()
			hb.Leaving = v
			return ok
		case 5:
			v, ok := fc.Fixed64()
			hb.Held = append(hb.Held, pimentokey.Incarnation(v))
			return ok
		case 6:
			data, ok := fc.MessageData()
			if !ok {
				return false
			}
			c, err := unmarshalChange(data)
			hb.Changes = append(hb.Changes, c)
			return err == nil
		case 7:
			v, ok := fc.Bool()
			hb.WantAll = v
			return ok
		}
		return true
	})
	return hb, err
}

// message Change {
//   string service = 1; string target = 2; uint64 epoch = 3; uint32 phase = 4;
//   fixed64 print = 5; uint32 crashes = 6; repeated string regions = 7;
//   string crashed = 8;
// }

func marshalChange(mm *easyproto.MessageMarshaler, c *pimentopeer.Change) {
	if c.Target != "" {
		mm.AppendString(1, string(c.Service))
		mm.AppendString(2, string(c.Target))
		mm.AppendUint64(3, uint64(c.Mark.Epoch))
		mm.AppendUint32(4, uint32(c.Mark.Phase))
		return
	}
	mm.AppendFixed64(5, uint64(c.Print))
	mm.AppendUint32(6, uint32(c.Crash.Count))
	mm.AppendString(8, c.Crash.Target)
	for _, r := range c.Regions {
		mm.AppendString(7, string(r))
	}
}

func unmarshalChange(src []byte) (pimentopeer.Change, error) {
	var c pimentopeer.Change
	err := eachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return setText(&c.Service, fc)
		case 2:
			return setText(&c.Target, fc)
		case 3:
			return setNumber(&c.Mark.Epoch, fc.Uint64)
		case 4:
			v, ok := fc.Uint32()
			c.Mark.Phase = pimentotarget.Phase(v)
			return ok && v <= uint32(pimentotarget.PhaseWarm)
		case 5:
			return setNumber(&c.Print, fc.Fixed64)
		case 6:
			v, ok := fc.Uint32()
			c.Crash.Count = int(v)
			return ok
		case 7:
			v, ok := fc.String()
			c.Regions = append(c.Regions, pimentoregister.RegionName([]byte(v)))
			return ok
		case 8:
			return setText(&c.Crash.Target, fc)
		}
		return true
	})
	return c, err
}
