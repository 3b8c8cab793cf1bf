package pimentohttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Delivered reports whether the target's kernel has received the whole request.
func (x *Exchange) Delivered() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent && x.conn != nil && x.fullyWritten() && Unacknowledged(x.conn.Conn) == 0
}

// Unacknowledged returns the number of bytes that were written and not received by the
// other end's kernel, 0 if that isn't known.
func Unacknowledged(c net.Conn) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
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
