// Package pimentolisten opens listening sockets and accepts connections, in spite of
// failures that pass.
package pimentolisten

import (
	"errors"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// startTimeout is the time for which Port.Listen tries.
	startTimeout = 8 * time.Second
	// startPause is the pause between two tries of Port.Listen.
	startPause = 50 * time.Millisecond
	// servePause is the pause between two tries of Port.Serve.
	servePause = time.Second
)

// Port is a TCP port to listen on. Its fields are set before its methods are called.
type Port struct {
	Address string
	Log     log.Logger
	// OnFailure is called after a failed try to listen or accept. It may be nil.
	OnFailure func()
}

// Listen listens on the port. Another process that is ending, or an outgoing connection,
// may hold it for a moment, so that Listen tries for a bounded time, or until stop is
// closed. The error is an *Error.
func (p Port) Listen(stop <-chan struct{}) (net.Listener, error) {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	return p.retry(stop, timeout.C, startPause)
}

// Serve listens on the port and calls serve with the listener, which is closed when stop
// is closed. It tries to listen until then.
func (p Port) Serve(stop <-chan struct{}, serve func(net.Listener)) {
	ln, err := p.retry(stop, nil, servePause)
	if err != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
		case <-done:
		}
		_ = ln.Close()
	}()
	serve(ln)
}

// retry tries to listen until stop or timeout, with pauses.
func (p Port) retry(stop <-chan struct{}, timeout <-chan time.Time, pause time.Duration) (net.Listener, error) {
	start := time.Now()
	for tries := 1; ; tries++ {
		ln, err := net.Listen("tcp", p.Address)
		if err == nil {
			if tries > 1 {
				_ = level.Info(p.Log).Log("msg", "listening after failures", "address", p.Address, "tries", tries, "after", time.Since(start))
			}
			return p.accepting(ln), nil
		}
		if p.OnFailure != nil {
			p.OnFailure()
		}
		if tries == 1 {
			_ = level.Warn(p.Log).Log("msg", "listening failed, trying again", "address", p.Address, "err", err)
		}
		select {
		case <-stop:
			return nil, &Error{Op: "listen on " + p.Address, Kind: KindStopped, Err: err}
		case <-timeout:
			return nil, &Error{Op: "listen on " + p.Address, Kind: KindListen, Err: err}
		case <-time.After(pause):
		}
	}
}

// IsStopped reports whether an error means that a wait was ended.
func IsStopped(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindStopped
}
