package pimentohttp

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// invalidStatuses are texts in the place of a status that isn't one.
var invalidStatuses = []string{"000", "00", "0", "0200", "099", "2x0", "20", "2000", "600", "700", "999", "-200", "+200", " 200", "", "\t200"}

// serveStatuses serves each request with the next response.
func serveStatuses(t *testing.T, responses ...string) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for _, response := range responses {
			var req fasthttp.Request
			if req.Read(r) != nil {
				return
			}
			_, _ = conn.Write([]byte(response))
		}
	})
}

func responseWith(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\nok", status)
}

// No invalid status counts as a response, for each way in which responses are read, and also
// where it follows a good response on the same connection.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(strings.TrimSpace(status), func(t *testing.T) {
			is := is.New(t)
			address := serveStatuses(t, responseWith("200"), responseWith(status))
			c := Client{MaxIdle: time.Second, DialTimeout: time.Second}
			defer c.CloseAllIdle()
			for i := range 2 {
				x := &Exchange{Address: address, Req: new(fasthttp.Request), Resp: new(fasthttp.Response), Deadline: time.Now().Add(time.Second)}
				x.Req.Header.SetHost("h")
				err := c.Do(x)
				is.Equal(err == nil, i == 0)
				is.True(err != nil || x.Resp.StatusCode() == fasthttp.StatusOK)
			}
			var h fasthttp.ResponseHeader
			is.True(errors.Is(ReadHead(&h, []byte(responseWith(status))), errNotHTTP))
			x := &Exchange{Address: serveStatuses(t, responseWith(status)), Req: new(fasthttp.Request), Resp: new(fasthttp.Response), Deadline: time.Now().Add(time.Second)}
			x.Req.Header.SetHost("h")
			is.True(errors.Is(c.Do(x), errNotHTTP))
		})
	}
}

// Valid statuses are read, whatever follows them.
func TestValidStatuses(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 404\r\n\r\n", "HTTP/1.1 503 \r\n\r\n", "HTTP/1.1 599 x\r\n\r\n"} {
		var h fasthttp.ResponseHeader
		is.NoErr(ReadHead(&h, []byte(line)))
	}
}
