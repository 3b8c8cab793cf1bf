package pimentocaller

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// An entry ends within a response and its connections are closed in order: that is no
// response, in both framings that entries use.
func TestResponseCutAnywhere(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			var sent atomic.Int64
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					if new(fasthttp.Request).Read(bufio.NewReader(c)) == nil {
						_, _ = c.Write([]byte(text[:sent.Load()]))
					}
					_ = c.Close()
				}
			}()
			client, cleanup := New("oviedo", ln.Addr().String)
			defer cleanup()
			for n := range len(text) + 1 {
				sent.Store(int64(n))
				resp, err := client.Do(&Request{Service: "s", Method: "GET", Path: "/x", Timeout: 10 * time.Millisecond})
				if (err == nil) != (n == len(text)) {
					t.Fatalf("after %d of %d bytes: response %+v, error %v", n, len(text), resp, err)
				}
			}
		})
	}
}
