package pimentolink

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
)

// MessageClient is an open stream to a peer on which messages go out and answers come
// back in turn. It isn't safe for concurrent use.
type MessageClient struct {
	// Timeout bounds one exchange. 0 means 3 s.
	Timeout time.Duration

	node    *Node
	address string
	kind    streamKind
	stream  *yamux.Stream
	r       *bufio.Reader
}

// SyncClient returns the sending end of notes to a peer. The stream is opened by the
// first exchange. The clean-up function closes it.
func (n *Node) SyncClient(address string) (*MessageClient, func()) {
	l := &MessageClient{node: n, address: address, kind: streamNote}
	return l, l.close
}

func (l *MessageClient) close() {
	if l.stream != nil {
		_ = l.stream.Close()
		l.stream = nil
	}
}

// Exchange sends a message and returns the peer's answer. After an error the
// next call opens a new connection.
func (l *MessageClient) Exchange(msg []byte) ([]byte, error) {
	if l.stream == nil {
		stream, err := l.node.open(l.address, l.kind)
		if err != nil {
			return nil, err
		}
		l.stream = stream
		l.r = bufio.NewReader(stream)
	}
	answer, err := l.exchange(msg)
	if err != nil {
		l.close()
		l.node.CloseSessions(l.address)
		return nil, &Error{Op: "exchange", Kind: KindConnectionLost, Peer: l.address, Err: err}
	}
	return answer, nil
}

func (l *MessageClient) exchange(msg []byte) ([]byte, error) {
	timeout := l.Timeout
	if timeout <= 0 {
		timeout = controlTimeout
	}
	_ = l.stream.SetDeadline(time.Now().Add(timeout))
	if err := writeMessage(l.stream, msg); err != nil {
		return nil, err
	}
	return readMessage(l.r)
}

// serveMessages answers the messages of a line until it ends.
func serveMessages(stream *yamux.Stream, r *bufio.Reader, answer func([]byte) ([]byte, error)) error {
	for {
		_ = stream.SetDeadline(time.Time{})
		msg, err := readMessage(r)
		if err != nil {
			return err
		}
		reply, err := answer(msg)
		if err != nil {
			return err
		}
		_ = stream.SetWriteDeadline(time.Now().Add(controlTimeout))
		if err := writeMessage(stream, reply); err != nil {
			return err
		}
	}
}
