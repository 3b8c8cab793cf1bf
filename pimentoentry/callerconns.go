package pimentoentry

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// callerConns holds the callers' connections on which the head of a request is awaited.
// The HTTP server waits for seconds for such a connection before a shutdown ends, so a
// planned stop closes them itself. The zero value is ready to use.
type callerConns struct {
	mu sync.Mutex // Guards unread.
	// unread has the time at which each connection was opened, got its last response or
	// received the first byte of a request.
	unread map[net.Conn]time.Time
}

// track follows the states of a connection. It is the HTTP server's ConnState hook.
func (s *callerConns) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		if s.unread == nil {
			s.unread = make(map[net.Conn]time.Time)
		}
		s.unread[c] = time.Now()
	case fasthttp.StateActive:
		if _, ok := s.unread[c]; ok {
			s.unread[c] = time.Now()
		}
	default:
		delete(s.unread, c)
	}
}

// begin records that the head of a request was read. It reports false if the connection
// was closed before that: its caller takes the request for unread, so it must not be
// served.
func (s *callerConns) begin(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.unread[c]
	delete(s.unread, c)
	return ok
}

// closeUnread closes the connections on which the head of a request has been awaited for
// at least minAge.
func (s *callerConns) closeUnread(now time.Time, minAge time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, since := range s.unread {
		if now.Sub(since) >= minAge {
			delete(s.unread, c)
			_ = c.Close()
		}
	}
}
