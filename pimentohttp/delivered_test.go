package pimentohttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A request is delivered when the other end's kernel has all of it: a small one at once, and a
// large one not before the other end reads.
func TestDelivered(t *testing.T) {
	const (
		small = 100
		large = 32 << 20 // More than the buffers of the kernels hold.
	)
	for _, size := range []int{small, large} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = ln.Close() }()
		req := new(fasthttp.Request)
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		req.Header.SetMethod("POST")
		req.SetBodyRaw(make([]byte, size))
		x := &Exchange{Address: ln.Addr().String(), Req: req, Resp: new(fasthttp.Response), Deadline: time.Now().Add(time.Second)}
		is.True(!x.Delivered())
		var c Client
		done := make(chan error, 1)
		go func() { done <- c.Do(x) }()
		time.Sleep(300 * time.Millisecond)
		is.Equal(x.Delivered(), size == small)
		x.Cancel()
		is.True(<-done != nil)
		x.AwaitWritten()
	}
}

// A response that arrives slowly isn't cut off by CancelUnanswered, and an exchange without any
// part of it is ended.
func TestCancelUnanswered(t *testing.T) {
	for _, responds := range []bool{true, false} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = ln.Close() }()
		rest := make(chan struct{})
		go func() {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = cn.Close() }()
			if responds {
				_, _ = cn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"))
			}
			<-rest
			_, _ = cn.Write([]byte("cd"))
		}()
		req := new(fasthttp.Request)
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		x := &Exchange{Address: ln.Addr().String(), Req: req, Resp: new(fasthttp.Response), Deadline: time.Now().Add(5 * time.Second)}
		var c Client
		done := make(chan error, 1)
		go func() { done <- c.Do(x) }()
		time.Sleep(100 * time.Millisecond)
		is.Equal(x.CancelUnanswered(), !responds)
		close(rest)
		is.Equal(<-done == nil, responds)
		if responds {
			is.Equal(string(x.Resp.Body()), "abcd")
		}
	}
}
