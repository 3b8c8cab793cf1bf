package pimentolink

import (
	"bufio"
	"time"

	"github.com/hashicorp/yamux"
)

// MessageClient sends messages to a peer over one stream and reads the reply to
// each before the next is sent. It isn't safe for concurrent use.
type MessageClient struct {
	// Timeout is the time limit of one exchange. 0 means 3 s. A dial before the exchange may
	// take as long, and at least 1 s.
	Timeout time.Duration

	node    *Node
	address string
	kind    streamKind
	stream  *yamux.Stream
	r       *bufio.Reader
	release func() // Gives back the memory of the last reply. Nil before it.
}

// SyncClient returns a client that sends sync messages to a peer. The first
// Exchange opens the stream. The cleanup function closes it.
func (n *Node) SyncClient(address string) (*MessageClient, func()) {
	c := &MessageClient{node: n, address: address, kind: streamSync}
	return c, c.close
}

// QuotaClient returns a client that asks a peer for quota tokens. It is used like that of
// SyncClient.
func (n *Node) QuotaClient(address string) (*MessageClient, func()) {
	c := &MessageClient{node: n, address: address, kind: streamQuota}
	return c, c.close
}

func (c *MessageClient) close() {
	c.releaseReply()
	if c.stream != nil {
		_ = c.stream.Close()
		c.stream = nil
	}
}

// releaseReply gives back the memory of the last reply.
func (c *MessageClient) releaseReply() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}

// Exchange sends a message and returns the peer's reply, which counts as held until the
// next call. After an error the next call opens a new connection.
func (c *MessageClient) Exchange(msg []byte) ([]byte, error) {
	c.releaseReply()
	if c.stream == nil {
		stream, err := c.node.openWithin(c.address, c.kind, max(dialTimeout, c.Timeout))
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
	memory, release := c.node.Memory.NewGrant()
	c.release = release
	return readMessage(c.r, memory)
}

// serveMessages writes the reply that handle returns for each message of a stream,
// until the stream ends or handle fails.
func (n *Node) serveMessages(stream *yamux.Stream, r *bufio.Reader, handle func([]byte) ([]byte, error)) error {
	for {
		_ = stream.SetDeadline(time.Time{})
		if err := n.serveMessage(stream, r, handle); err != nil {
			return err
		}
	}
}

// serveMessage writes the reply that handle returns for the next message.
func (n *Node) serveMessage(stream *yamux.Stream, r *bufio.Reader, handle func([]byte) ([]byte, error)) error {
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(r, memory)
	if err != nil {
		return err
	}
	reply, err := handle(msg)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(controlTimeout))
	return writeMessage(stream, reply)
}
