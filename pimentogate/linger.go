package pimentogate

import (
	"errors"
	"net"
	"time"

	"pimentoarch/pimentohttp"
)

const (
	// lingerTime is the time for which a half-closed connection is still read, at most, once
	// the caller has received all responses.
	lingerTime = 500 * time.Millisecond
	// lingerLimit bounds the time until it has received them.
	lingerLimit = responseWriteTimeout
)

// linger closes the sending side and reads what the caller still sends, because closing a
// connection with unread bytes resets it, and the caller loses what is still being sent.
func (cc *callerConn) linger() {
	tcp, ok := cc.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	began := time.Now()
	for time.Since(began) < lingerLimit {
		_ = cc.SetReadDeadline(time.Now().Add(closeCheckInterval))
		var ne net.Error
		if err := cc.discard(cc.r); !errors.As(err, &ne) || !ne.Timeout() {
			return
		}
		if time.Since(began) >= lingerTime && pimentohttp.Unacknowledged(tcp) == 0 {
			return
		}
	}
}

// isIdleEnd reports whether a read error ends a connection between two requests. Nothing is
// read from it then: a request that comes after that is unread, and its caller learns so.
func (cc *callerConn) isIdleEnd(err error) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return errors.Is(err, errIdle) || (errors.Is(err, errClosing) && cc.closedIdle)
}
