package pimentohttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// invalidLines can't stand in the head of a response.
var invalidLines = []string{
	"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", " X-Odd: 1", "\tX-Odd: 1", " : 1", ": 1", " ", "\t", "X-Odd", "X-Odd 1",
	"X\x00Odd: 1", "X\x01Odd: 1", "X\x0bOdd: 1", "X\x7fOdd: 1", "X\x80Odd: 1", "X\rOdd: 1", "\rX-Odd: 1", "X\nOdd: 1", "\nX-Odd: 1", "X-Odd: 1\n",
	"X(Odd): 1", "X/Odd: 1", "X-\u00d6dd: 1",
	"X-Odd: 1\x002", "X-Odd: \x7f", "X-Odd: 1\r2", "X-Odd: 1\n2",
	"Content-Length : 2", " Content-Length: 2", "Content Length: 2", "\nContent-Length: 2", "Content-Length\x00: 2",
	"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "\nTransfer-Encoding: chunked",
}

// invalidFramings are headers that don't say clearly where the body ends.
var invalidFramings = []string{
	"Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2\r\nContent-Length: 1", "Content-Length: 2, 2", "Content-Length: -2", "Content-Length: +2",
	"Content-Length: 0x2", "Content-Length: 2 2", "Content-Length:", "Content-Length: 99999999999999999999",
	"Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 2", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked;x", "Transfer-Encoding:",
}

// oddBodies are bodies that a head without a clear framing may come with.
var oddBodies = []string{"ok", "2\r\nok\r\n0\r\n\r\n", ""}

// pipeClient returns a client whose connections lead to a target in this process, which reads a
// request, writes some bytes and closes the connection in order.
func pipeClient(write func(net.Conn)) *Client {
	return &Client{Dial: func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if new(fasthttp.Request).Read(bufio.NewReader(far)) == nil {
				write(far)
			}
		}()
		return near, nil
	}}
}

// exchangeRaw sends a request to a target that responds with some bytes, and returns the error of
// the exchange or of its body.
func exchangeRaw(method, response string, maxBuffered int) (*Exchange, error) {
	x := newExchange("target")
	x.Req.Header.SetMethod(method)
	x.MaxBuffered = maxBuffered
	x.Deadline = time.Now().Add(2 * time.Second)
	x.EchoHeader = "X-Request-Id"
	x.Req.Header.Set(x.EchoHeader, "own")
	err := pipeClient(func(c net.Conn) { _, _ = io.WriteString(c, response) }).Do(x)
	if err == nil && x.Resp.IsBodyStream() {
		err = x.Resp.BodyWriteTo(new(strings.Builder))
		_ = x.Resp.CloseBodyStream()
	}
	return x, err
}

// checkInvalid checks that a response is an error, however it is read and wherever the invalid
// part of its head stands. broken is a status line with headers, without the empty line.
func checkInvalid(t *testing.T, broken string) {
	t.Helper()
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, body := range oddBodies {
		response := broken + "\r\n\r\n" + body
		for name, text := range map[string]string{
			"final": response, "after interim": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + response,
			"interim": strings.Replace(broken, " 200 ", " 103 ", 1) + "\r\n\r\n" + good,
			"stray":   strings.Replace(broken, "\r\n", "\r\nX-Request-Id: other\r\n", 1) + "\r\n\r\n" + body + good,
		} {
			for _, method := range []string{"GET", "HEAD", "POST"} {
				for _, maxBuffered := range []int{0, 1 << 20} {
					if _, err := exchangeRaw(method, text, maxBuffered); kindOf(err) != KindInvalid || !errors.Is(err, errNotHTTP) {
						t.Errorf("%s, %s, %d bytes buffered: %q: %v", name, method, maxBuffered, text, err)
					}
				}
			}
		}
		if err := ReadHead(new(fasthttp.ResponseHeader), []byte(response)); !errors.Is(err, errNotHTTP) {
			t.Errorf("forwarded or stored: %q: %v", response, err)
		}
	}
}

// A response whose head holds a line that can't stand there is no answer, wherever in the head the
// line stands.
func TestInvalidLineInHead(t *testing.T) {
	for _, line := range invalidLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Parallel()
			checkInvalid(t, "HTTP/1.1 200 OK\r\n"+line)
			checkInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2")
			checkInvalid(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+line)
			checkInvalid(t, "HTTP/1.1 200 OK\r\nX-Good: 1\r\n"+line+"\r\nTransfer-Encoding: chunked")
		})
	}
}

// A response with control bytes in its status line, or with line ends that aren't those of HTTP, is no
// answer.
func TestInvalidStatusLine(t *testing.T) {
	for _, broken := range []string{
		"HTTP/1.1 200 O\x00K\r\nContent-Length: 2", "HTTP/1.1 200 O\rK\r\nContent-Length: 2", "HTTP/1.1 200 OK\nContent-Length: 2",
		"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2", "HTTP/2.0 200 OK\r\nContent-Length: 2",
	} {
		t.Run(fmt.Sprintf("%q", broken), func(t *testing.T) {
			t.Parallel()
			checkInvalid(t, broken)
		})
	}
}

// A response that doesn't say clearly where its body ends is no answer.
func TestInvalidFramingInHead(t *testing.T) {
	for _, headers := range invalidFramings {
		t.Run(fmt.Sprintf("%q", headers), func(t *testing.T) {
			t.Parallel()
			checkInvalid(t, "HTTP/1.1 200 OK\r\n"+headers)
			checkInvalid(t, "HTTP/1.1 503 Busy\r\nX-Good: 1\r\n"+headers)
		})
	}
	for _, broken := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", "HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked",
		"HTTP/1.1 204 None\r\nTransfer-Encoding: chunked", "HTTP/1.1 204 None\r\nContent-Length: 2",
		"HTTP/1.1 101 Change\r\nConnection: Upgrade\r\nUpgrade: x", "HTTP/1.1 100 Continue\r\nContent-Length: 2",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked",
	} {
		t.Run(fmt.Sprintf("%q", broken), func(t *testing.T) {
			t.Parallel()
			checkInvalid(t, broken)
		})
	}
}

// A head that is valid is read, whichever its framing and however it arrives.
func TestValidHeads(t *testing.T) {
	for head, body := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n":                                     "ok",
		"HTTP/1.1 200\r\nContent-Length:2\r\n\r\n":                                         "ok",
		"HTTP/1.1 200 \r\ncontent-length: \t2 \t\r\nX-Empty:\r\n\r\n":                      "ok",
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nX-Text: caf\xe9 \u00e9\t!\r\n\r\n":        "ok",
		"HTTP/1.1 200 Tr\xe8s bien\r\n!#$%&'*+-.^_`|~09azAZ: x:y\r\n\r\n":                  "ok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n":                            "2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n":        "ok",
		"HTTP/1.1 103 Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 503 x\r\nRetry-After: 1\r\n\r\n": "ok",
		"HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n":                                   "",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n":                           "",
	} {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			x, err := exchangeRaw("GET", head+body, 1<<20)
			is.NoErr(err)
			is.Equal(len(x.Resp.Body()), len("ok")*min(1, len(body)))
			x = newExchange("target")
			x.MaxBuffered = 1 << 20
			is.NoErr(pipeClient(func(c net.Conn) {
				for _, b := range []byte(head + body) {
					_, _ = c.Write([]byte{b})
				}
			}).Do(x))
			is.Equal(len(x.Resp.Body()), len("ok")*min(1, len(body)))
			x, err = exchangeRaw("HEAD", head, 0)
			is.NoErr(err)
			is.Equal(len(x.Resp.Body()), 0)
		})
	}
}

// Bytes that are no response are an error at once, also if the target leaves the connection open.
func TestInvalidHeadIsAnErrorAtOnce(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 000 OK", "hello, this is no response", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", readBufferSize)} {
		c := pipeClient(func(c net.Conn) {
			_, _ = io.WriteString(c, start)
			_, _ = io.Copy(io.Discard, c) // Until the connection is closed.
		})
		x := newExchange("target")
		began := time.Now()
		if err := c.Do(x); kindOf(err) != KindInvalid || time.Since(began) > time.Second {
			t.Errorf("%.40q: error %v after %v", start, err, time.Since(began))
		}
	}
}
