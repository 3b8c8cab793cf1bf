package pimentolink

import (
	"bufio"
	"time"

	"github.com/VictoriaMetrics/easyproto"
	"github.com/hashicorp/yamux"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentowire"
)

// FetchConfig returns the active configuration of a peer and its revision.
func (n *Node) FetchConfig(address string) (pimentoregister.Revision, []byte, error) {
	stream, err := n.open(address, streamFetch)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(transferTimeout))
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(bufio.NewReader(stream), memory)
	if err != nil {
		return 0, nil, &Error{Op: "fetch", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	rev, data, err := unmarshalConfig(msg)
	if err != nil {
		return 0, nil, &Error{Op: "fetch", Kind: KindInvalid, Peer: address, Err: err}
	}
	return rev, data, nil
}

func (n *Node) serveFetch(stream *yamux.Stream) error {
	rev, data := n.OnFetchConfig()
	_ = stream.SetWriteDeadline(time.Now().Add(transferTimeout))
	return writeMessage(stream, marshalConfig(rev, data))
}

// message Config { uint64 revision = 1; bytes data = 2; }

func marshalConfig(rev pimentoregister.Revision, data []byte) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendUint64(1, uint64(rev))
	mm.AppendBytes(2, data)
	return m.Marshal(nil)
}

func unmarshalConfig(src []byte) (pimentoregister.Revision, []byte, error) {
	var rev pimentoregister.Revision
	var data []byte
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadUint64(&rev, fc.Uint64)
		case 2:
			v, ok := fc.Bytes()
			data = v
			return ok
		}
		return true
	})
	return rev, data, err
}
