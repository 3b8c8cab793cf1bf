package pimentocaller

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// What stands at an entry's address answers an upload early, without a length, and resets the
// connection within the body while the upload is being written. That is no response.
func TestEarlyResponseThatIsReset(t *testing.T) {
	const uploads = 40
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var h fasthttp.RequestHeader
			if h.Read(bufio.NewReader(conn)) == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of")
			}
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	client, cleanup := New("oviedo", ln.Addr().String)
	defer cleanup()
	upload := make([]byte, 16<<20)
	for range uploads {
		resp, err := client.Do(&Request{Service: "s", Method: "POST", Path: "/x", Body: upload, Timeout: 50 * time.Millisecond, NonIdempotent: true, Key: "k"})
		if err == nil {
			t.Fatalf("accepted with body %q", resp.Body)
		}
		var e *Error
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindUnknown)
	}
}
