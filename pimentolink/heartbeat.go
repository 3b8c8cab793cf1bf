package pimentolink

import (
	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
	"pimentoarch/pimentowire"
)

// HeartbeatClient exchanges heartbeats with a peer. It isn't safe for concurrent use.
type HeartbeatClient struct{ client MessageClient }

// HeartbeatClient returns a client that sends heartbeats to a peer. The first
// Exchange opens the stream. The cleanup function closes it.
func (n *Node) HeartbeatClient(address string) (*HeartbeatClient, func()) {
	h := &HeartbeatClient{client: MessageClient{node: n, address: address, kind: streamHeartbeat}}
	return h, h.client.close
}

// Exchange sends a heartbeat and returns the peer's heartbeat and the number of
// bytes sent and received. After an error the next call opens a new connection.
func (h *HeartbeatClient) Exchange(hb pimentopeer.Heartbeat) (pimentopeer.Heartbeat, int, error) {
	msg := marshalHeartbeat(&hb)
	replyMsg, err := h.client.Exchange(msg)
	if err != nil {
		return pimentopeer.Heartbeat{}, len(msg), err
	}
	size := len(msg) + len(replyMsg)
	reply, err := unmarshalHeartbeat(replyMsg)
	if err != nil {
		h.client.close()
		h.client.node.CloseSessions(h.client.address)
		return pimentopeer.Heartbeat{}, size, &Error{Op: "heartbeat", Kind: KindInvalid, Peer: h.client.address, Err: err}
	}
	return reply, size, nil
}

// handleHeartbeat decodes a peer's heartbeat and returns this entry's, encoded, in reply.
func (n *Node) handleHeartbeat(msg []byte) ([]byte, error) {
	hb, err := unmarshalHeartbeat(msg)
	if err != nil {
		return nil, err
	}
	reply := n.OnHeartbeat(hb)
	return marshalHeartbeat(&reply), nil
}

// message Heartbeat {
//   string name = 1; fixed64 incarnation = 2; uint64 revision = 3;
//   bool stopping = 4; repeated fixed64 held_issuers = 5; repeated Change changes = 6;
//   bool want_full_state = 7;
// }

func marshalHeartbeat(hb *pimentopeer.Heartbeat) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendString(1, string(hb.Name))
	mm.AppendFixed64(2, uint64(hb.Incarnation))
	mm.AppendUint64(3, uint64(hb.Revision))
	mm.AppendBool(4, hb.Stopping)
	for _, inc := range hb.HeldIssuers {
		mm.AppendFixed64(5, uint64(inc))
	}
	for i := range hb.Changes {
		marshalChange(mm.AppendMessage(6), &hb.Changes[i])
	}
	mm.AppendBool(7, hb.WantFullState)
	return m.Marshal(nil)
}

func unmarshalHeartbeat(src []byte) (pimentopeer.Heartbeat, error) {
	var hb pimentopeer.Heartbeat
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&hb.Name, fc)
		case 2:
			return pimentowire.ReadUint64(&hb.Incarnation, fc.Fixed64)
		case 3:
			return pimentowire.ReadUint64(&hb.Revision, fc.Uint64)
		case 4:
			v, ok := fc.Bool()
			hb.Stopping = v
			return ok
		case 5:
			v, ok := fc.Fixed64()
			hb.HeldIssuers = append(hb.HeldIssuers, pimentokey.Incarnation(v))
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
			hb.WantFullState = v
			return ok
		}
		return true
	})
	return hb, err
}

// message Change {
//   string service = 1; string target = 2; uint64 epoch = 3; uint32 phase = 4;
//   fixed64 fingerprint = 5; uint32 crash_count = 6; repeated string regions = 7;
//   string crash_target = 8;
// }

// marshalChange encodes either the phase of a target (fields 1 to 4) or a crash
// record (fields 5 to 8).
func marshalChange(mm *easyproto.MessageMarshaler, c *pimentopeer.Change) {
	if c.Target != "" {
		mm.AppendString(1, string(c.Service))
		mm.AppendString(2, string(c.Target))
		mm.AppendUint64(3, uint64(c.Phase.Epoch))
		mm.AppendUint32(4, uint32(c.Phase.Value))
		return
	}
	mm.AppendFixed64(5, uint64(c.Fingerprint))
	mm.AppendUint32(6, uint32(c.Crash.Count))
	mm.AppendString(8, c.Crash.Target)
	for _, r := range c.Regions {
		mm.AppendString(7, string(r))
	}
}

func unmarshalChange(src []byte) (pimentopeer.Change, error) {
	var c pimentopeer.Change
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&c.Service, fc)
		case 2:
			return pimentowire.ReadString(&c.Target, fc)
		case 3:
			return pimentowire.ReadUint64(&c.Phase.Epoch, fc.Uint64)
		case 4:
			v, ok := fc.Uint32()
			c.Phase.Value = pimentotarget.Phase(v)
			return ok && v <= uint32(pimentotarget.PhaseWarm)
		case 5:
			return pimentowire.ReadUint64(&c.Fingerprint, fc.Fixed64)
		case 6:
			v, ok := fc.Uint32()
			c.Crash.Count = int(v)
			return ok
		case 7:
			v, ok := fc.String()
			c.Regions = append(c.Regions, pimentoregister.RegionName([]byte(v)))
			return ok
		case 8:
			return pimentowire.ReadString(&c.Crash.Target, fc)
		}
		return true
	})
	return c, err
}
