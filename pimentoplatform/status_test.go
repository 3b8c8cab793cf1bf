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
			checkIsError(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nRevision: 7\r\nContent-Length: 2\r\n\r\n{}", status))
		})
	}
}

// So is one with an invalid line in its head, with contradictory lengths, or with an invalid trailer.
func TestInvalidHeadIsAnError(t *testing.T) {
	for _, rest := range []string{
		"X Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "Revision : 8\r\nContent-Length: 2\r\n\r\n{}", " X-Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"\nX-Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "X\x00Odd: 1\r\nContent-Length: 2\r\n\r\n{}", "Content-Length : 2\r\n\r\n{}",
		"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Odd: 1\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
	} {
		t.Run(fmt.Sprintf("%q", rest), func(t *testing.T) { checkIsError(t, "HTTP/1.1 200 OK\r\nRevision: 7\r\n"+rest) })
	}
}

// checkIsError checks that a read fails to which the service responds with some bytes.
func checkIsError(t *testing.T, response string) {
	t.Helper()
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
			_, _ = conn.Write([]byte(response))
		}
	}()
	c, cleanup := NewClient([]string{ln.Addr().String()})
	defer cleanup()
	resp, err := c.Get("/values/x", time.Second)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(resp.Status, 0)
}
