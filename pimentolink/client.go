package pimentolink

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
)

// MessageClient sends messages to a peer over one stream and reads the reply to
// each before the next is sent. It isn't safe for concurrent use.
type MessageClient struct {
	// Timeout is the time limit of one exchange. 0 means 3 s.
	Timeout time.Duration

	node    *Node
	address string
	kind    streamKind
	stream  *yamux.Stream
	r       *bufio.Reader
}

// SyncClient returns a client that sends sync messages to a peer. The first
// Exchange opens the stream. The cleanup function closes it.
func (n *Node) SyncClient(address string) (*MessageClient, func()) {
	c := &MessageClient{node: n, address: address, kind: streamSync}
	return c, c.close
}

func (c *MessageClient) close() {
	if c.stream != nil {
		_ = c.stream.Close()
		c.stream = nil
	}
}

// Exchange sends a message and returns the peer's reply. After an error the next
// call opens a new connection.
func (c *MessageClient) Exchange(msg []byte) ([]byte, error) {
	if c.stream == nil {
		stream, err := c.node.open(c.address, c.kind)
		if err != nil {
			return nil, err
		}
		c.stream = stream
		c.r = bufio.NewReader(stream)
	}
	reply, err := c.exchange(msg)
	if err != nil {
		c.close()
		c.node.CloseSessions(c.address)
		return nil, &Error{Op: "exchange", Kind: KindConnectionLost, Peer: c.address, Err: err}
	}
	return reply, nil
}

func (c *MessageClient) exchange(msg []byte) ([]byte, error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = controlTimeout
	}
	_ = c.stream.SetDeadline(time.Now().Add(timeout))
	if err := writeMessage(c.stream, msg); err != nil {
		return nil, err
	}
	return readMessage(c.r)
}

// serveMessages writes the reply that handle returns for each message of a stream,
// until the stream ends or handle fails.
func serveMessages(stream *yamux.Stream, r *bufio.Reader, handle func([]byte) ([]byte, error)) error {
	for {
		_ = stream.SetDeadline(time.Time{})
		msg, err := readMessage(r)
		if err != nil {
			return err
		}
		reply, err := handle(msg)
		if err != nil {
			return err
		}
		_ = stream.SetWriteDeadline(time.Now().Add(controlTimeout))
		if err := writeMessage(stream, reply); err != nil {
			return err
		}
	}
}
