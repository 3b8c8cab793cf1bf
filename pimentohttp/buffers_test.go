package pimentohttp

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Exchanges at a time over connections that share buffers get the bytes of their own responses:
// small, chunked, streamed and left unread ones, after requests with and without long bodies.
func TestSharedBuffersKeepExchangesApart(t *testing.T) {
	const (
		workers   = 16
		exchanges = 60
		longest   = 100 << 10 // Bytes; more than what is buffered whatever MaxBuffered is.
	)
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		if r.URL.Path == "/chunked" {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
		}
		_, _ = w.Write(body)
	})}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(ln) }()
	var c Client
	var wg sync.WaitGroup
	errs := make(chan error, workers*exchanges)
	for i := range workers {
		wg.Go(func() {
			for j := range exchanges {
				id := fmt.Sprintf("%d-%d.", i, j)
				body := strings.Repeat(id, 1+(i*j*997)%longest/len(id))
				req := new(fasthttp.Request)
				req.SetRequestURI([]string{"/plain", "/chunked"}[j%2])
				req.Header.SetHost("h")
				req.Header.SetMethod("POST")
				req.Header.Set("X-Id", id)
				req.SetBodyString(body)
				x := &Exchange{Address: ln.Addr().String(), Req: req, Resp: new(fasthttp.Response), Deadline: time.Now().Add(20 * time.Second), EchoHeader: "X-Id"}
				if err := c.Do(x); err != nil {
					errs <- err
					continue
				}
				if x.Resp.IsBodyStream() && j%5 == 0 {
					_ = x.Resp.CloseBodyStream() // The caller has left.
					continue
				}
				if got := x.Resp.Body(); !bytes.Equal(got, []byte(body)) || x.Strays > 0 {
					errs <- fmt.Errorf("%s: %d bytes instead of %d, %d strays", id, len(got), len(body), x.Strays)
				}
				_ = x.Resp.CloseBodyStream()
			}
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
	c.CloseAllIdle()
	is.Equal(c.OpenConns(), 0)
}

// A response that comes over an idle connection isn't taken for that to the next request.
func TestEarlyByteOnIdleConn(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- cn
		}
	}()
	c := Client{Redial: true}
	deadline := time.Now().Add(time.Second)
	cn, err := c.Acquire(ln.Addr().String(), false, deadline)
	is.NoErr(err)
	cn.Release()
	far := <-accepted
	defer func() { _ = far.Close() }()
	_, err = far.Write([]byte("H"))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	again, err := c.Acquire(ln.Addr().String(), false, deadline)
	is.NoErr(err)
	is.True(again != cn)
	again.Discard()
	is.Equal(c.OpenConns(), 0)
}
