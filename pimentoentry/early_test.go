package pimentoentry

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoregister"
)

// A target answers uploads before it has read them, and reads on. It gets the rest of each upload,
// whatever the entry does meanwhile, and the caller gets the whole answer.
func TestEarlyAnswerKeepsUpload(t *testing.T) {
	const (
		uploadBytes = maxBody
		uploads     = 6
		others      = 2 // Further uploads after each.
	)
	f := newCluster(t, 0)
	received := f.addEarlyTarget("early", uploadBytes)
	f.addRawTarget("other", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	f.publish()
	m := f.start("west-a")
	f.awaitReady()
	upload, other := strings.Repeat("u", uploadBytes), strings.Repeat("v", uploadBytes)
	for range uploads {
		var wg sync.WaitGroup
		wg.Go(func() {
			if resp := f.request(m, "GET", "/early/x", "any", upload); resp.StatusCode() != fasthttp.StatusOK || string(resp.Body()) != "early answer" {
				t.Errorf("status %d, body %q", resp.StatusCode(), resp.Body())
			}
		})
		time.Sleep(100 * time.Millisecond) // Until the answer has come.
		for range others {
			f.request(m, "GET", "/other/x", "any", other)
		}
		select {
		case body := <-received:
			if n := strings.Count(body, "u"); n != uploadBytes {
				t.Errorf("%d bytes of the upload arrived, want %d", n, uploadBytes)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the target hasn't received the upload within 10 s")
		}
		wg.Wait()
	}
}

// addEarlyTarget adds a service with one target, which answers each request before it has read the
// body of size bytes, and then reads it slowly. It returns a channel with the bodies.
func (f *cluster) addEarlyTarget(name pimentoregister.ServiceName, size int) <-chan string {
	const (
		receiveBuffer = 4 << 10 // Bytes, so that the upload waits in the entry.
		readDelay     = 300 * time.Millisecond
	)
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = ln.Close() })
	received := make(chan string, 1)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				var h fasthttp.RequestHeader
				if h.Read(r) != nil || h.ContentLength() != size {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nearly \r\n")
				time.Sleep(readDelay)
				body, _ := io.ReadAll(io.LimitReader(r, int64(size)))
				received <- string(body)
				_, _ = io.WriteString(conn, "6\r\nanswer\r\n0\r\n\r\n")
			}()
		}
	}()
	f.addService(name, ln.Addr().String())
	return received
}
