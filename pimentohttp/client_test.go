package pimentohttp

import (
	"bufio"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveConns serves each connection to an address with a function, and closes it then.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().String()
}

// startTarget starts a server and counts the requests that it reads. serve responds
// to one request and reports whether the connection stays open.
func startTarget(t *testing.T, serve func(net.Conn) bool) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	address = serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for {
			req := &fasthttp.Request{}
			if req.Read(r) != nil {
				return
			}
			requests.Add(1)
			if !serve(conn) {
				return
			}
		}
	})
	return address, requests
}

func newExchange(address string) *Exchange {
	req := &fasthttp.Request{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.SetBodyString("body")
	return &Exchange{Address: address, Req: req, Resp: &fasthttp.Response{}, Deadline: time.Now().Add(5 * time.Second)}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A target closes a connection while it is in the pool. The next exchange fails with
// KindStale and sends nothing, and each exchange writes its request at most once.
func TestStaleConnection(t *testing.T) {
	is := is.New(t)
	address, requests := startTarget(t, func(c net.Conn) bool {
		_, _ = c.Write([]byte(okResponse))
		return false // Closed although the response allows more requests.
	})
	c := &Client{}
	is.NoErr(c.Do(newExchange(address)))
	time.Sleep(20 * time.Millisecond)
	x := newExchange(address)
	is.Equal(kindOf(c.Do(x)), KindStale)
	is.Equal(x.Sent(), false)
	is.Equal(requests.Load(), int64(1))
	is.NoErr(c.Do(newExchange(address)))
	is.Equal(requests.Load(), int64(2))
}

// A target closes the connection without a response. It has received the request
// once, and Sent reports true.
func TestDroppedConnection(t *testing.T) {
	is := is.New(t)
	address, requests := startTarget(t, func(net.Conn) bool { return false })
	c := &Client{}
	x := newExchange(address)
	is.Equal(kindOf(c.Do(x)), KindConnFailed)
	is.True(x.Sent())
	is.Equal(requests.Load(), int64(1))
	is.Equal(c.OpenConns(), 0)
}

// Bytes after a response, and a response that arrives after the timeout, must not be
// read by a later exchange.
func TestStrayAndLateResponses(t *testing.T) {
	is := is.New(t)
	surplus, _ := startTarget(t, func(c net.Conn) bool {
		_, _ = c.Write([]byte(okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"))
		return true
	})
	late, _ := startTarget(t, func(c net.Conn) bool {
		time.Sleep(100 * time.Millisecond)
		_, _ = c.Write([]byte(okResponse))
		return true
	})
	c := &Client{}
	for range 3 {
		x := newExchange(surplus)
		if err := c.Do(x); err == nil {
			is.Equal(string(x.Resp.Body()), "ok")
		}
	}
	x := newExchange(late)
	x.Deadline = time.Now().Add(20 * time.Millisecond)
	is.Equal(kindOf(c.Do(x)), KindTimeout)
	is.Equal(c.OpenConns(), 0)
}

// Cancel closes the connection, which the target can observe.
func TestCancel(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := startTarget(t, func(c net.Conn) bool {
		var buf [1]byte
		_, _ = c.Read(buf[:])
		close(closed)
		return false
	})
	c := &Client{}
	x := newExchange(address)
	time.AfterFunc(20*time.Millisecond, x.Cancel)
	is.Equal(kindOf(c.Do(x)), KindCancelled)
	<-closed
}

// An exchange above the limit of connections fails with KindConnLimit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	defer close(block)
	address, _ := startTarget(t, func(net.Conn) bool {
		<-block
		return false
	})
	c := &Client{}
	c.SetLimit(address, 1)
	go func() { _ = c.Do(newExchange(address)) }()
	for c.OpenConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(kindOf(c.Do(newExchange(address))), KindConnLimit)
	c.CloseIdleTo(address) // Keeps the limit.
	is.Equal(kindOf(c.Do(newExchange(address))), KindConnLimit)
}

// A connection that is in use while its target's pool is removed is closed when it is given
// back: no exchange would use it again.
func TestReleaseAfterRemove(t *testing.T) {
	is := is.New(t)
	address, _ := startTarget(t, func(c net.Conn) bool {
		_, _ = c.Write([]byte(okResponse))
		return true
	})
	c := &Client{}
	cn, err := c.Acquire(address, false, time.Now().Add(time.Second))
	is.NoErr(err)
	c.Remove(address)
	cn.Release()
	is.True(!cn.Reusable())
}
