package pimentohttp

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// A target closes the connection in order after some bytes of its response. Without
// MaxBuffered, as in entries, that is an error in each framing; a body without a length is
// one also if it is whole.
func TestBodyCutByClose(t *testing.T) {
	for name, response := range cutResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
			for n := head; n <= len(response); n++ {
				address, _ := startTarget(t, writeAndClose(response[:n]))
				x := newExchange(address)
				err := new(Client).Do(x)
				if err == nil && x.Resp.IsBodyStream() {
					err = x.Resp.BodyWriteTo(new(strings.Builder))
				}
				complete := n == len(response) && x.Framing != FramingClose
				if (err == nil) != complete {
					t.Errorf("after %d of %d bytes: body %q, error %v", n, len(response), x.Resp.Body(), err)
				}
			}
		})
	}
}

// An exchange tells the framing of the response, the size of its body, and the number of
// responses to other requests that were skipped.
func TestFraming(t *testing.T) {
	const stray = "HTTP/1.1 404 Not Found\r\nX-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"
	want := map[string]string{"length": "length 5", "chunked": "chunked 5", "no length": "close 5", "empty": "length 0"}
	for name, response := range cutResponses {
		for strays := range 3 {
			address, _ := startTarget(t, writeAndClose(strings.Repeat(stray, strays)+response))
			x := newExchange(address)
			x.MaxBuffered, x.EchoHeader = 1<<20, "X-Request-Id"
			x.Req.Header.Set("X-Request-Id", "a")
			if err := new(Client).Do(x); err != nil {
				t.Fatal(err)
			}
			if got := fmt.Sprint(x.Framing, " ", x.BodyBytes); got != want[name] || x.Strays != strays {
				t.Errorf("%s: %s with %d strays, want %s with %d", name, got, x.Strays, want[name], strays)
			}
		}
	}
}

// writeAndClose returns a server's function that responds with some bytes and closes the
// connection.
func writeAndClose(response string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, _ = io.WriteString(c, response)
		return false
	}
}
