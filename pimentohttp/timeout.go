package pimentohttp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets TCP_USER_TIMEOUT to d: a connection fails if sent bytes stay
// unacknowledged for that long. It bounds keep-alive probes on an idle connection as
// well, so that a silent connection fails. Connections that aren't TCP are left
// unchanged.
func SetUserTimeout(c net.Conn, d time.Duration) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
