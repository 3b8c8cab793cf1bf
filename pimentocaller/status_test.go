package pimentocaller

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A response with an invalid status is no success: an idempotent request counts as not
// answered, and one that may have run as unknown.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "00", "0200", "099", "2x0", "600", "999", ""} {
		t.Run("status "+status, func(t *testing.T) {
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
					if new(fasthttp.Request).Read(bufio.NewReader(conn)) == nil {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nPimento-Keys: a\r\nContent-Length: 2\r\n\r\nok", status)
					}
					_ = conn.Close()
				}
			}()
			client, cleanup := New("oviedo", ln.Addr().String)
			defer cleanup()
			for kind, r := range map[Kind]Request{
				KindUnreachable: {Method: "GET"},
				KindUnknown:     {Method: "POST", NonIdempotent: true, Key: "k"},
			} {
				r.Service, r.Path, r.Timeout = "s", "/x", 50*time.Millisecond
				resp, err := client.Do(&r)
				var e *Error
				is.True(resp == nil && errors.As(err, &e))
				is.Equal(e.Kind, kind)
			}
			_, err = client.takeKey("s", time.Now().Add(time.Second))
			is.True(err != nil) // Keys of such a response aren't used.
		})
	}
}
