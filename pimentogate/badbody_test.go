package pimentogate

import (
	"bufio"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A body that isn't valid is refused, and doesn't take the requests before it along.
func TestInvalidBodyIsRefused(t *testing.T) {
	is := is.New(t)
	_, _, address := connGate(t)
	c := dialConn(t, address)
	_, _ = io.WriteString(c, shortRequest+"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk\r\n")
	r := bufio.NewReader(c)
	for _, want := range []int{fasthttp.StatusServiceUnavailable, fasthttp.StatusBadRequest} {
		var resp fasthttp.Response
		is.NoErr(resp.Read(r))
		is.Equal(resp.StatusCode(), want)
	}
}
