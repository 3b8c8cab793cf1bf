package pimentoplatform

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

// A response of the service with an invalid status is an error, not an empty state.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "00", "0200", "099", "2x0", "600", "999", ""} {
		t.Run("status "+status, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if new(fasthttp.Request).Read(bufio.NewReader(conn)) == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nRevision: 7\r\nContent-Length: 2\r\n\r\n{}", status)
				}
			}()
			c, cleanup := NewClient([]string{ln.Addr().String()})
			defer cleanup()
			resp, err := c.Get("/values/x", time.Second)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(resp.Status, 0)
		})
	}
}
