package pimentogate

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// acceptQuietTime is the time without a new connection after which a planned stop
	// accepts none.
	acceptQuietTime = 50 * time.Millisecond
	// acceptQuietChecks is the number of such times in a row: one may pass while the process
	// has no processor.
	acceptQuietChecks = 2
	// acceptEndFraction is the fraction of the grace period after which a planned stop
	// accepts no new connections, although the balancer still sends some.
	acceptEndFraction = 0.5
	// acceptQueueTime bounds the time to accept the connections that wait then.
	acceptQueueTime = 100 * time.Millisecond
)

// deadlineListener is a listener whose Accept can be limited in time, such as
// *net.TCPListener.
type deadlineListener interface {
	net.Listener
	SetDeadline(t time.Time) error
}

// stopAccepting ends the accept loop once no new connection has come for a while, or at
// acceptEnd, and closes the listener. Closing it sooner would reset the connections
// that wait to be accepted.
func (g *Gate) stopAccepting(ln net.Listener) {
	g.acceptsLast.Store(true)
	if d, ok := ln.(deadlineListener); ok {
		_ = d.SetDeadline(time.Now()) // Wakes the loop.
		<-g.acceptDone
	}
	_ = ln.Close()
}

// accept returns the next connection of a caller. It returns net.ErrClosed when a planned
// stop accepts no more.
func (g *Gate) accept(ln net.Listener) (net.Conn, error) {
	for quiet := 0; quiet < acceptQuietChecks; {
		last := g.acceptsLast.Load()
		if d, ok := ln.(deadlineListener); ok && last {
			left := time.Until(*g.acceptEnd.Load())
			if left < -acceptQueueTime {
				break
			}
			_ = d.SetDeadline(time.Now().Add(max(time.Millisecond, min(left, acceptQuietTime))))
		}
		nc, err := ln.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		if last {
			quiet++
		}
	}
	return nil, net.ErrClosed
}

// isAccepting reports whether connections of callers are accepted.
func (g *Gate) isAccepting() bool {
	select {
	case <-g.acceptDone:
		return false
	default:
		return true
	}
}
