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

// target accepts connections, and counts the requests that it reads. serve
// answers one request, and reports whether the connection stays open.
func target(t *testing.T, serve func(net.Conn) bool) (address string, requests *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
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
			}()
		}
	}()
	return ln.Addr().String(), requests
}

func exchange(address string) *Exchange {
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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A pooled connection that the target has closed costs no write: the exchange
// fails with nothing sent, and each exchange writes once.
func TestClosedConnectionUnderPost(t *testing.T) {
	is := is.New(t)
	address, requests := target(t, func(c net.Conn) bool {
		_, _ = c.Write([]byte(okAnswer))
		return false // Closed after an answer that promised more.
	})
	c := &Client{}
	is.NoErr(c.Do(exchange(address)))
	time.Sleep(20 * time.Millisecond)
	x := exchange(address)
	is.Equal(kindOf(c.Do(x)), KindStale)
	is.Equal(x.Sent(), false)
	is.Equal(requests.Load(), int64(1))
	is.NoErr(c.Do(exchange(address)))
	is.Equal(requests.Load(), int64(2))
}

// A target that drops the connection has the request once, and the outcome says
// that it was sent.
func TestDroppedConnection(t *testing.T) {
	is := is.New(t)
	address, requests := target(t, func(net.Conn) bool { return false })
	c := &Client{}
	x := exchange(address)
	is.Equal(kindOf(c.Do(x)), KindConnFailed)
	is.True(x.Sent())
	is.Equal(requests.Load(), int64(1))
	is.Equal(c.OpenConns(), 0)
}

// Bytes behind an answer, and answers that come after a timeout, never reach
// another exchange.
func TestStrayAndLateBytes(t *testing.T) {
	is := is.New(t)
	stray, _ := target(t, func(c net.Conn) bool {
		_, _ = c.Write([]byte(okAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"))
		return true
	})
	late, _ := target(t, func(c net.Conn) bool {
		time.Sleep(100 * time.Millisecond)
		_, _ = c.Write([]byte(okAnswer))
		return true
	})
	c := &Client{}
	for range 3 {
		x := exchange(stray)
		if err := c.Do(x); err == nil {
			is.Equal(string(x.Resp.Body()), "ok")
		}
	}
	x := exchange(late)
	x.Deadline = time.Now().Add(20 * time.Millisecond)
	is.Equal(kindOf(c.Do(x)), KindTimeout)
	is.Equal(c.OpenConns(), 0)
}

// Cancel closes the connection, so that the target sees it.
func TestCancel(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	address, _ := target(t, func(c net.Conn) bool {
		var buf [1]byte
		_, _ = c.Read(buf[:])
		close(gone)
		return false
	})
	c := &Client{}
	x := exchange(address)
	time.AfterFunc(20*time.Millisecond, x.Cancel)
	is.Equal(kindOf(c.Do(x)), KindCancelled)
	<-gone
}

// The share of connections is kept.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	defer close(block)
	address, _ := target(t, func(net.Conn) bool {
		<-block
		return false
	})
	c := &Client{}
	c.SetLimit(address, 1)
	go func() { _ = c.Do(exchange(address)) }()
	for c.OpenConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(kindOf(c.Do(exchange(address))), KindConnLimit)
	c.CloseIdleTo(address) // A silent connection doesn't lift the limit.
	is.Equal(kindOf(c.Do(exchange(address))), KindConnLimit)
}
