package pimentohttp

import (
	"net"
	"syscall"
)

// isUsable reports whether a pooled connection can be used: it is open and has no data to
// read. It doesn't block.
func isUsable(c net.Conn) bool {
	open, pending := peek(c)
	return open && !pending
}

// peek reports whether a connection is open and whether it has data to read. It
// doesn't block. A connection that isn't a syscall.Conn counts as open.
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
