package pimentolisten

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// failingListener fails the first accepts with the given errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// An HTTP server goes on to serve after accepts that failed, and ends when its listener is
// closed.
func TestAcceptFailures(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	failing := &failingListener{Listener: inner, errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENFILE}}
	var lines strings.Builder
	var failures atomic.Int64
	ln := Port{Log: log.NewLogfmtLogger(&lines), OnFailure: func() { failures.Add(1) }}.accepting(failing)
	ended := make(chan error, 1)
	go func() {
		ended <- fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNoContent) })
	}()
	status, _, err := fasthttp.Get(nil, "http://"+inner.Addr().String())
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusNoContent)
	is.Equal(failures.Load(), int64(4))
	is.NoErr(ln.Close())
	is.NoErr(<-ended)
	is.Equal(strings.Count(lines.String(), "accept failed"), 1)
	_, err = ln.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// A deadline ends an accept on a port that was listened on, so that it can be drained.
func TestAcceptDeadline(t *testing.T) {
	is := is.New(t)
	ln, err := Port{Address: "127.0.0.1:0", Log: log.NewNopLogger()}.Listen(nil)
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	d, ok := ln.(interface{ SetDeadline(time.Time) error })
	is.True(ok)
	is.NoErr(d.SetDeadline(time.Now()))
	_, err = ln.Accept()
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
