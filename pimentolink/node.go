package pimentolink

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentokey"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// streamKind is the first byte of each stream.
type streamKind byte

const (
	streamHeartbeat streamKind = iota + 1
	streamForward
	streamFetch
	streamHandover
	streamKeyOutcome
	streamSync
	streamQuota
)

const (
	// dialTimeout is the time limit of a dial, unless the exchange that needs it has more.
	dialTimeout = time.Second
	// controlTimeout is the time limit of one message exchange on a control stream.
	controlTimeout = 3 * time.Second
	// transferTimeout is the time limit of a handover or a configuration fetch.
	transferTimeout = 10 * time.Second
)

// Node holds this entry's sessions with all peers: those that it dialed and those
// that it accepted. Its exported fields are set before Serve: of the handlers, a gate
// sets only OnSyncMessage and OnQuotaAsk, and an entry of package pimentoentry all others.
type Node struct {
	// Log receives failures to accept connections, and failures of peers' streams.
	Log log.Logger
	// Workers runs the handlers of incoming streams.
	Workers *ants.Pool

	// Memory bounds the messages that are received at a time. If it is nil, only the length
	// of each is bounded.
	Memory *pimentomemory.Budget

	// OnHeartbeat handles a peer's heartbeat and returns this entry's in reply.
	OnHeartbeat func(pimentopeer.Heartbeat) pimentopeer.Heartbeat
	// OnSyncMessage handles a peer's sync message and returns the reply.
	OnSyncMessage func([]byte) ([]byte, error)
	// OnQuotaAsk handles a peer's ask for quota tokens and returns the reply.
	OnQuotaAsk func([]byte) ([]byte, error)
	// OnForward serves a forwarded request.
	OnForward func(*IncomingRequest)
	// OnFetchConfig returns the active configuration and its revision.
	OnFetchConfig func() (pimentoregister.Revision, []byte)
	// OnHandover adopts key ranges. from is the incarnation of the process that
	// offers them, to that of the process that is to adopt them. An error refuses
	// them.
	OnHandover func(from, to pimentokey.Incarnation, ranges []pimentokey.Range) error
	// OnKeyOutcome records the outcome of a dispatch under a handed-over key.
	OnKeyOutcome func(KeyOutcome)

	mu       sync.Mutex // Guards the fields below.
	dialed   map[sessionKey]*dialedSession
	accepted map[*session]bool
	closed   bool
}

// sessionKey identifies a dialed session: the control or the data session to an
// address.
type sessionKey struct {
	address string
	control bool
}

// dialedSession holds one outgoing session, nil before it is dialed and after it is
// closed. It has its own lock, held while dialing, so that a slow dial doesn't delay
// other peers.
type dialedSession struct {
	mu      sync.Mutex
	session *session
}

// Serve accepts peer connections on ln until ctx ends, and then closes all sessions.
func (n *Node) Serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		n.close()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			_ = level.Warn(n.Log).Log("msg", "accepting a peer connection failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go n.serveConn(conn)
	}
}

func (n *Node) serveConn(conn net.Conn) {
	s, err := newSession(conn, yamux.Server)
	if err != nil {
		return
	}
	if !n.track(s) {
		s.end()
		return
	}
	defer n.untrack(s)
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		if err := n.Workers.Submit(func() { n.serveStream(stream) }); err != nil {
			_ = stream.Close()
		}
	}
}

// track adds an accepted session. It reports false if the node is closed.
func (n *Node) track(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	if n.accepted == nil {
		n.accepted = make(map[*session]bool)
	}
	n.accepted[s] = true
	return true
}

func (n *Node) untrack(s *session) {
	s.end()
	n.mu.Lock()
	delete(n.accepted, s)
	n.mu.Unlock()
}

func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	var incoming []*session
	for s := range n.accepted {
		incoming = append(incoming, s)
	}
	outgoing := n.dialed
	n.dialed = nil
	n.mu.Unlock()
	for _, s := range incoming {
		s.end()
	}
	for _, d := range outgoing {
		d.closeSession(nil)
	}
}

func (n *Node) serveStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(controlTimeout))
	r := bufio.NewReader(stream)
	kind, err := r.ReadByte()
	if err != nil {
		return
	}
	switch streamKind(kind) {
	case streamHeartbeat:
		err = n.serveMessages(stream, r, n.handleHeartbeat)
	case streamSync:
		err = n.serveMessages(stream, r, n.OnSyncMessage)
	case streamQuota:
		err = n.serveMessages(stream, r, n.OnQuotaAsk)
	case streamForward:
		err = n.serveForward(stream, r)
	case streamFetch:
		err = n.serveFetch(stream)
	case streamHandover:
		err = n.serveHandover(stream, r)
	case streamKeyOutcome:
		err = n.serveKeyOutcome(stream, r)
	default:
		err = &Error{Op: "serve", Kind: KindInvalid, Peer: stream.RemoteAddr().String(), Err: errors.New("unknown stream kind")}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		_ = level.Debug(n.Log).Log("msg", "peer stream failed", "kind", kind, "err", err)
	}
}

// open opens a stream to a peer and writes its kind. It dials the peer if needed.
func (n *Node) open(address string, kind streamKind) (*yamux.Stream, error) {
	return n.openWithin(address, kind, dialTimeout)
}

// openWithin does what open does, with a time limit of the dial.
func (n *Node) openWithin(address string, kind streamKind, limit time.Duration) (*yamux.Stream, error) {
	control := kind != streamForward
	d, err := n.dialedSession(sessionKey{address: address, control: control})
	if err != nil {
		return nil, err
	}
	s, err := d.get(address, limit)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Peer: address, Err: err}
	}
	stream, err := s.OpenStream()
	if err != nil {
		d.closeSession(s)
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: address, Err: err}
	}
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		d.closeSession(s)
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: address, Err: err}
	}
	return stream, nil
}

func (n *Node) dialedSession(key sessionKey) (*dialedSession, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: key.address, Err: net.ErrClosed}
	}
	if n.dialed == nil {
		n.dialed = make(map[sessionKey]*dialedSession)
	}
	d := n.dialed[key]
	if d == nil {
		d = new(dialedSession)
		n.dialed[key] = d
	}
	return d, nil
}

// get returns the open session, or dials a new one within a time limit.
func (d *dialedSession) get(address string, limit time.Duration) (*session, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session != nil && !d.session.IsClosed() {
		return d.session, nil
	}
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	if err := pimentohttp.SetUserTimeout(conn, controlTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.session, err = newSession(conn, yamux.Client)
	return d.session, err
}

// closeSession closes the held session if it is the given one, or in any case if s is nil.
func (d *dialedSession) closeSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == nil || (s != nil && d.session != s) {
		return
	}
	d.session.end()
	d.session = nil
}

// CloseSessions closes the dialed sessions to a peer that has left or from which
// nothing more is received. The next exchange dials again.
func (n *Node) CloseSessions(address string) {
	n.mu.Lock()
	control := n.dialed[sessionKey{address: address, control: true}]
	data := n.dialed[sessionKey{address: address, control: false}]
	n.mu.Unlock()
	if control != nil {
		control.closeSession(nil)
	}
	if data != nil {
		data.closeSession(nil)
	}
}

// CloseDataSession closes the session for forwarded requests to a peer. The next
// request dials a new one.
func (n *Node) CloseDataSession(address string) {
	n.mu.Lock()
	data := n.dialed[sessionKey{address: address, control: false}]
	n.mu.Unlock()
	if data != nil {
		data.closeSession(nil)
	}
}

// SessionCount returns the number of accepted sessions and of dialed ones. A dialed
// session counts even if its dial failed, and after it was closed.
func (n *Node) SessionCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.dialed) + len(n.accepted)
}
