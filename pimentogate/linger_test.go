package pimentogate

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	// slowBodySize is more than the socket buffers of both ends hold.
	slowBodySize = 3 << 20
	// slowCallerPause is the time after which a slow caller begins to read.
	slowCallerPause = time.Second
)

// respondTo serves one connection with given responses, and returns its caller's end, which
// has a small receive buffer.
func respondTo(t *testing.T, responses ...*response) net.Conn {
	t.Helper()
	g, lines := newConnGate(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines)
		}
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(128 << 10)
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.(*net.TCPConn).SetWriteBuffer(slowBodySize)
	g.conns.accept()
	cc := g.newCallerConn(nc)
	for _, resp := range responses {
		p := &pendingResponse{done: make(chan *response, 1)}
		p.done <- resp
		cc.addCall(nil)
		cc.pending <- p
	}
	go cc.serve()
	return c
}

func bodyResponse(body io.Reader, size int, closes bool) *response {
	resp := fasthttp.AcquireResponse()
	resp.SetBodyStream(body, size)
	return &response{http: resp, closeConn: closes}
}

// sendMore sends bytes that nobody reads as a request, as a caller does that sends ahead,
// until the connection fails.
func sendMore(c net.Conn) {
	for {
		if _, err := io.WriteString(c, strings.Repeat(shortRequest, 10)); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A caller that reads slowly and sends ahead still gets the whole response that closes its
// connection.
func TestLingerKeepsResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := respondTo(t, bodyResponse(bytes.NewReader(make([]byte, slowBodySize)), slowBodySize, true))
	go sendMore(c)
	time.Sleep(slowCallerPause)
	n, _ := io.Copy(io.Discard, c)
	is.True(n > slowBodySize) // Bytes received, with the head.
}

// A response that breaks off doesn't take the complete ones before it along.
func TestBrokenResponseKeepsEarlierOnes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	broken := io.MultiReader(strings.NewReader("part"), readerFunc(func([]byte) (int, error) { return 0, errors.New("broken") }))
	c := respondTo(t, bodyResponse(bytes.NewReader(make([]byte, slowBodySize)), slowBodySize, false), bodyResponse(broken, 100, false))
	go sendMore(c)
	time.Sleep(slowCallerPause)
	n, _ := io.Copy(io.Discard, c)
	is.True(n > slowBodySize) // Bytes received, with the head.
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// A planned stop closes an idle connection without reading from it any more, so that a
// request that comes then is unread, as its caller takes it.
func TestIdleCloseReadsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, lines, address := connGate(t)
	c := dialConn(t, address)
	_, _ = io.WriteString(c, shortRequest)
	is.Equal(readStatus(c), fasthttp.StatusServiceUnavailable)
	awaitIdle(t, g)
	g.stopIdleConns()
	_, err := c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, _ = io.WriteString(c, shortRequest)
	for end := time.Now().Add(lingerTime * 4 / 5); g.conns.size() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // The connection lingers.
	}
	time.Sleep(100 * time.Millisecond) // Until the reset has arrived.
	_, err = io.WriteString(c, shortRequest)
	is.True(err != nil) // The connection was reset.
	is.True(!strings.Contains(lines.String(), "unanswered"))
}
