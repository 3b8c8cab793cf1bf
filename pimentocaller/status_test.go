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
			checkNoSuccess(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nPimento-Keys: a\r\nContent-Length: 2\r\n\r\nok", status))
		})
	}
}

// Nor is one with an invalid line in its head, without a length, or with an invalid trailer.
func TestInvalidHeadIsNoSuccess(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", " X-Odd: 1", "\nX-Odd: 1", "X\x00Odd: 1", "Content-Length : 2", "Transfer-Encoding: chunked"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			checkNoSuccess(t, "HTTP/1.1 200 OK\r\nPimento-Keys: a\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
	for _, rest := range []string{
		"\r\nok", "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Good: 1\r\n",
	} {
		t.Run(fmt.Sprintf("%q", rest), func(t *testing.T) {
			checkNoSuccess(t, "HTTP/1.1 200 OK\r\nPimento-Keys: a\r\n"+rest)
		})
	}
}

// checkNoSuccess checks what a client makes of a response that isn't valid.
func checkNoSuccess(t *testing.T, response string) {
	t.Helper()
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
				_, _ = conn.Write([]byte(response))
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
}
