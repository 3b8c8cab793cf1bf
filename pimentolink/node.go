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
	streamLearn
	streamNote
)

const (
	dialTimeout = time.Second
	// controlTimeout bounds the exchange of one message on a control stream.
	controlTimeout = 3 * time.Second
	// transferTimeout bounds a hand-over or a fetch.
	transferTimeout = 10 * time.Second
)

// Node is this entry's end of all links. Its exported fields are set before
// Run and Listen.
type Node struct {
	// Log gets one line for each event.
	Log log.Logger
	// Workers runs the handlers of incoming streams.
	Workers *ants.Pool

	// OnHeartbeat takes a peer's heartbeat and returns the own one.
	OnHeartbeat func(pimentopeer.Heartbeat) pimentopeer.Heartbeat
	// OnSyncMessage takes a peer's note and returns the answer.
	OnSyncMessage func([]byte) ([]byte, error)
	// OnForward serves a forwarded request.
	OnForward func(*IncomingRequest)
	// OnFetchConfig returns the configuration in force.
	OnFetchConfig func() (pimentoregister.Revision, []byte)
	// OnHandover adopts key ranges that process from offers to process to.
	OnHandover func(from, to pimentokey.Incarnation, ranges []pimentokey.Range) error
	// OnKeyOutcome takes the outcome of a dispatch under a handed over key.
	OnKeyOutcome func(KeyOutcome)

	mu       sync.Mutex // Guards the fields below.
	sessions map[sessionKey]*slot
	accepted map[*yamux.Session]bool
	closed   bool
}

// sessionKey names an outgoing connection.
type sessionKey struct {
	address string
	control bool
}

// slot is the place of one outgoing session. Its lock is held while dialling,
// so that a slow dial doesn't hold up other peers.
type slot struct {
	mu      sync.Mutex
	session *yamux.Session
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = 5 * time.Second
	cfg.ConnectionWriteTimeout = controlTimeout
	cfg.StreamOpenTimeout = controlTimeout
	cfg.StreamCloseTimeout = time.Minute
	return cfg
}

// Serve accepts peers on ln until ctx ends, and then closes all links.
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
			_ = level.Warn(n.Log).Log("msg", "accept peer", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go n.serveConn(conn)
	}
}

func (n *Node) serveConn(conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !n.track(session) {
		_ = session.Close()
		return
	}
	defer n.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if err := n.Workers.Submit(func() { n.serveStream(stream) }); err != nil {
			_ = stream.Close()
		}
	}
}

func (n *Node) track(s *yamux.Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	if n.accepted == nil {
		n.accepted = make(map[*yamux.Session]bool)
	}
	n.accepted[s] = true
	return true
}

func (n *Node) untrack(s *yamux.Session) {
	_ = s.Close()
	n.mu.Lock()
	delete(n.accepted, s)
	n.mu.Unlock()
}

func (n *Node) close() {
	n.mu.Lock()
	n.closed = true
	var all []*yamux.Session
	for s := range n.accepted {
		all = append(all, s)
	}
	slots := n.sessions
	n.sessions = nil
	n.mu.Unlock()
	for _, s := range all {
		_ = s.Close()
	}
	for _, sl := range slots {
		sl.drop(nil)
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
		err = serveMessages(stream, r, n.answerHeartbeat)
	case streamNote:
		err = serveMessages(stream, r, n.OnSyncMessage)
	case streamForward:
		err = n.serveForward(stream, r)
	case streamFetch:
		err = n.serveFetch(stream)
	case streamHandover:
		err = n.serveHandover(stream, r)
	case streamLearn:
		err = n.serveLearn(stream, r)
	default:
		err = &Error{Op: "serve", Kind: KindInvalid, Peer: stream.RemoteAddr().String(), Err: errors.New("stream of unknown kind")}
	}
	if err != nil && !errors.Is(err, io.EOF) {
		_ = level.Debug(n.Log).Log("msg", "peer stream ended", "kind", kind, "err", err)
	}
}

// open opens a stream to a peer and writes its kind.
func (n *Node) open(address string, kind streamKind) (*yamux.Stream, error) {
	control := kind != streamForward
	sl, err := n.slot(sessionKey{address: address, control: control})
	if err != nil {
		return nil, err
	}
	session, err := sl.get(address)
	if err != nil {
		return nil, &Error{Op: "dial", Kind: KindUnreachable, Peer: address, Err: err}
	}
	stream, err := session.OpenStream()
	if err != nil {
		sl.drop(session)
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: address, Err: err}
	}
	if _, err := stream.Write([]byte{byte(kind)}); err != nil {
		sl.drop(session)
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: address, Err: err}
	}
	return stream, nil
}

func (n *Node) slot(key sessionKey) (*slot, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, &Error{Op: "open", Kind: KindUnreachable, Peer: key.address, Err: net.ErrClosed}
	}
	if n.sessions == nil {
		n.sessions = make(map[sessionKey]*slot)
	}
	sl := n.sessions[key]
	if sl == nil {
		sl = new(slot)
		n.sessions[key] = sl
	}
	return sl, nil
}

// get returns the open session, or dials one.
func (s *slot) get(address string) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	if err := pimentohttp.SetUserTimeout(conn, controlTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.session = session
	return session, nil
}

// drop closes a session, or whichever is open if session is nil.
func (s *slot) drop(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == nil || (session != nil && s.session != session) {
		return
	}
	_ = s.session.Close()
	s.session = nil
}

// CloseSessions closes the links to a peer, because they are silent or the peer is gone.
func (n *Node) CloseSessions(address string) {
	n.mu.Lock()
	control := n.sessions[sessionKey{address: address, control: true}]
	data := n.sessions[sessionKey{address: address, control: false}]
	n.mu.Unlock()
	if control != nil {
		control.drop(nil)
	}
	if data != nil {
		data.drop(nil)
	}
}

// CloseDataSession closes the connection for forwarded requests to a peer. The next
// request opens a new one.
func (n *Node) CloseDataSession(address string) {
	n.mu.Lock()
	data := n.sessions[sessionKey{address: address, control: false}]
	n.mu.Unlock()
	if data != nil {
		data.drop(nil)
	}
}

// SessionCount returns the number of outgoing and accepted sessions.
func (n *Node) SessionCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions) + len(n.accepted)
}
