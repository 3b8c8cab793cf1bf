package pimentogate

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
		if time.Since(began) >= lingerTime && unacknowledged(tcp) == 0 {
			return
		}
	}
}

// unacknowledged returns the number of bytes that were written and not received by the
// other end's kernel, 0 if that isn't known.
func unacknowledged(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}
