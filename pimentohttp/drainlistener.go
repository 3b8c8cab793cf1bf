package pimentohttp

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptQuietTime is the time without a new connection after which a draining listener
	// is closed.
	acceptQuietTime = 50 * time.Millisecond
	// acceptQuietChecks is the number of such times in a row: one may pass while the process
	// has no processor.
	acceptQuietChecks = 2
	// acceptQueueTime bounds the time to accept the connections that wait at the end of a
	// drain.
	acceptQueueTime = 100 * time.Millisecond
)

// DrainListener is a listener that can be closed without resetting the connections that
// wait to be accepted. One loop calls Accept until it fails.
type DrainListener struct {
	net.Listener
	end    atomic.Pointer[time.Time] // When a drain ends at the latest; nil before it.
	done   chan struct{}             // Closed when Accept returns no more connections.
	closed sync.Once
}

// NewDrainListener returns a listener that accepts the connections of ln.
func NewDrainListener(ln net.Listener) *DrainListener {
	return &DrainListener{Listener: ln, done: make(chan struct{})}
}

// Drain makes Accept fail with net.ErrClosed once no new connection has come for a while,
// soon after end at the latest. It waits for that, and closes the listener.
func (l *DrainListener) Drain(end time.Time) {
	l.end.Store(&end)
	if l.setDeadline(time.Now()) { // Wakes a waiting Accept.
		<-l.done
	}
	_ = l.Listener.Close()
}

// Accepting reports whether Accept may return further connections.
func (l *DrainListener) Accepting() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Accept implements net.Listener.
func (l *DrainListener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	if errors.Is(err, net.ErrClosed) {
		l.closed.Do(func() { close(l.done) })
	}
	return nc, err
}

func (l *DrainListener) accept() (net.Conn, error) {
	for quiet := 0; quiet < acceptQuietChecks; {
		end := l.end.Load()
		if end != nil {
			left := time.Until(*end)
			if left < -acceptQueueTime {
				break
			}
			l.setDeadline(time.Now().Add(max(time.Millisecond, min(left, acceptQuietTime))))
		}
		nc, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		if end != nil {
			quiet++
		}
	}
	return nil, net.ErrClosed
}

// setDeadline sets the deadline of Accept. It reports false if the listener has none.
func (l *DrainListener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(t) == nil
}
