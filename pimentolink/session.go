package pimentolink

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// keepAliveInterval is the time between two pings of a peer. A session ends if the reply to one
// takes longer than controlTimeout.
const keepAliveInterval = 5 * time.Second

// session is a yamux session and its connection.
type session struct {
	*yamux.Session
	conn *sessionConn
}

// sessionConn is the connection of a session. A write that fails returns once the session's
// receiver has closed the connection, so that it isn't the sender who closes the session.
type sessionConn struct {
	net.Conn
	onceClosed sync.Once
	closed     chan struct{}
}

func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.endReceiver()
		<-c.closed
	}
	return n, err
}

// Close closes the connection.
func (c *sessionConn) Close() error {
	c.onceClosed.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// endReceiver makes the receiver's read fail.
func (c *sessionConn) endReceiver() {
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		_ = c.Close()
	}
}

// sessionConfig returns the configuration of sessions. keepAlive takes the place of yamux's own
// pings, which close the session themselves (see end).
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = controlTimeout
	cfg.StreamOpenTimeout = controlTimeout
	cfg.StreamCloseTimeout = time.Minute
	return cfg
}

// newSession begins a session over a connection, with yamux.Client or yamux.Server. If that
// fails, it closes the connection.
func newSession(nc net.Conn, begin func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	conn := &sessionConn{Conn: nc, closed: make(chan struct{})}
	ys, err := begin(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &session{Session: ys, conn: conn}
	go s.keepAlive(keepAliveInterval)
	return s, nil
}

// end makes the session's receiver close the session. Close by another goroutine has to wait for
// the receiver, and meanwhile each goroutine that reads from a stream spins.
func (s *session) end() { s.conn.endReceiver() }

// keepAlive pings the peer until the session is closed, and ends it if the peer doesn't reply.
func (s *session) keepAlive(interval time.Duration) {
	for {
		select {
		case <-s.CloseChan():
			return
		case <-time.After(interval):
		}
		if _, err := s.Ping(); err != nil {
			s.end()
			return
		}
	}
}
