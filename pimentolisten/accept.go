package pimentolisten

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
	// acceptLogInterval is the shortest time between two lines about failed accepts.
	acceptLogInterval = 5 * time.Second
)

// listener is a listener whose Accept fails only when it has been closed or its deadline has
// passed. An accept that fails for another reason, such as a lack of descriptors or a caller that has gone, is
// tried again after a pause. Accept is called by one goroutine.
type listener struct {
	net.Listener
	port     Port
	failures int // Since the last line.
	loggedAt time.Time
}

// accepting returns a listener that accepts from ln.
func (p Port) accepting(ln net.Listener) net.Listener { return &listener{Listener: ln, port: p} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		l.noteFailure(err)
		time.Sleep(acceptPause)
	}
}

// SetDeadline sets the deadline of Accept, which only TCP listeners have.
func (l *listener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return os.ErrNoDeadline
	}
	return d.SetDeadline(t)
}

func (l *listener) noteFailure(err error) {
	if l.port.OnFailure != nil {
		l.port.OnFailure()
	}
	l.failures++
	if time.Since(l.loggedAt) < acceptLogInterval {
		return
	}
	_ = level.Warn(l.port.Log).Log("msg", "accept failed", "address", l.port.Address, "failures", l.failures, "err", err)
	l.failures, l.loggedAt = 0, time.Now()
}
