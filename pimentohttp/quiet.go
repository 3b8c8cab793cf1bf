package pimentohttp

import (
	"net"
	"syscall"
)

// quiet reports whether a connection is open and has no data to read. It
// doesn't wait.
func quiet(c net.Conn) bool {
	open, pending := peek(c)
	return open && !pending
}

// peek reports whether a connection is open and whether it has data to read. A
// connection that can't be looked at counts as open.
func peek(c net.Conn) (open, pending bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	open = true
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			pending = true
		case rerr == syscall.EAGAIN || rerr == syscall.EINTR:
		default:
			open = false
		}
	})
	return open && err == nil, pending
}
