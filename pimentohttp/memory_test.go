package pimentohttp

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"pimentoarch/pimentomemory"
)

// framed returns a response whose body is framed by a length, chunks, or the close of the
// connection.
func framed(framing, body string) string {
	const head = "HTTP/1.1 200 OK\r\n"
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case "chunked":
		chunks := ""
		for len(body) > 0 {
			n := min(len(body), 1000)
			chunks += fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
	}
	return head + "Connection: close\r\n\r\n" + body
}

// A body that doesn't fit in the memory is left as a stream, and is whole. One without
// framing is an error. A body that fits is buffered and counted.
func TestBodyMemory(t *testing.T) {
	const limit = 40 << 10
	body := strings.Repeat("0123456789", 2000)
	for _, framing := range []string{"length", "chunked", "close"} {
		for _, used := range []int{0, limit - 10<<10, limit} {
			t.Run(fmt.Sprint(framing, used), func(t *testing.T) {
				address, _ := startTarget(t, func(c net.Conn) bool {
					_, _ = io.WriteString(c, framed(framing, body))
					return framing != "close"
				})
				budget := pimentomemory.NewBudget(limit)
				other, endOther := budget.NewGrant()
				defer endOther()
				other.Grow(used)
				x := newExchange(address)
				x.MaxBuffered = 1 << 20
				var end func()
				x.Memory, end = budget.NewGrant()
				ended := BodyEnd(0)
				x.OnBodyEnd = func(e BodyEnd) { ended = e }
				err := new(Client).Do(x)
				switch {
				case framing == "close" && used > 0:
					if err == nil {
						t.Error("no error")
					}
				case err != nil:
					t.Fatal(err)
				case x.Resp.IsBodyStream() != (used > 0):
					t.Errorf("streamed: %v", x.Resp.IsBodyStream())
				case used == 0:
					if got := budget.Used(); got < len(body) {
						t.Errorf("%d bytes are counted of %d", got, len(body))
					}
					if got := string(x.Resp.Body()); got != body {
						t.Errorf("%d bytes, want %d", len(got), len(body))
					}
				default:
					got, err := io.ReadAll(x.Resp.BodyStream())
					if err != nil || string(got) != body {
						t.Errorf("%d bytes, want %d: %v", len(got), len(body), err)
					}
					_ = x.Resp.CloseBodyStream()
					if ended != BodyComplete {
						t.Errorf("end %v, want %v", ended, BodyComplete)
					}
				}
				end()
				if got := budget.Used(); got != used {
					t.Errorf("%d bytes are counted after the end, want %d", got, used)
				}
			})
		}
	}
}

// A chunked body that doesn't fit in the memory and breaks off isn't complete.
func TestStreamedChunksBreakOff(t *testing.T) {
	address, _ := startTarget(t, func(c net.Conn) bool {
		_, _ = io.WriteString(c, strings.TrimSuffix(framed("chunked", strings.Repeat("x", 20<<10)), "0\r\n\r\n"))
		return false
	})
	x := newExchange(address)
	x.MaxBuffered = 1 << 20
	budget := pimentomemory.NewBudget(10 << 10)
	var end func()
	x.Memory, end = budget.NewGrant()
	defer end()
	if err := new(Client).Do(x); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(x.Resp.BodyStream()); err == nil {
		t.Error("the body looks complete")
	}
}

// Responses to other requests are only read if they fit in the memory, and nothing of them
// is counted afterwards.
func TestStrayResponseMemory(t *testing.T) {
	const header = "X-Id"
	for _, limit := range []int{0, defaultMaxBuffered} {
		address, _ := startTarget(t, func(c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"+"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		x := newExchange(address)
		x.EchoHeader = header
		x.Req.Header.Set(header, "own")
		budget := pimentomemory.NewBudget(limit)
		var end func()
		x.Memory, end = budget.NewGrant()
		defer end()
		if err := new(Client).Do(x); (err == nil) != (limit > 0) {
			t.Errorf("limit %d: %v", limit, err)
		}
		if got := budget.Used(); got != 0 {
			t.Errorf("limit %d: %d bytes are counted", limit, got)
		}
	}
}
