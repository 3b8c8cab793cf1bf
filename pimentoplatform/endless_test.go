package pimentoplatform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// The service sends a response without an end. The read fails, and little more than the
// limit was sent by then.
func TestEndlessResponse(t *testing.T) {
	const slack = 16 << 20 // What the connection buffers.
	responses := map[string]struct{ start, more string }{
		"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"close":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"head":    {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"interim": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	}
	for name, r := range responses {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			var sent atomic.Int64
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = bufio.NewReader(conn).ReadString('\n')
				_, err = io.WriteString(conn, r.start)
				block := strings.Repeat(r.more, 1000)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, block)
					sent.Add(int64(n))
				}
			}()
			c, cleanup := NewClient([]string{ln.Addr().String()})
			defer cleanup()
			_, err = c.Get("/values/x", 3*time.Second)
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v, want one of this package", err)
			}
			select {
			case <-ended:
			case <-time.After(5 * time.Second):
				t.Errorf("the connection is open 5 s after the error %v", err)
			}
			if n := sent.Load(); n > 6*maxResponseBytes+slack {
				t.Errorf("%d bytes were sent", n)
			}
		})
	}
}
