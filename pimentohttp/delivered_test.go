package pimentohttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A request is delivered when the other end's kernel has all of it: a small one at once, and a
// large one not before the other end reads.
func TestDelivered(t *testing.T) {
	const (
		small = 100
		large = 32 << 20 // More than the buffers of the kernels hold.
	)
	for _, size := range []int{small, large} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = ln.Close() }()
		req := new(fasthttp.Request)
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		req.Header.SetMethod("POST")
		req.SetBodyRaw(make([]byte, size))
		x := &Exchange{Address: ln.Addr().String(), Req: req, Resp: new(fasthttp.Response), Deadline: time.Now().Add(time.Second)}
		is.True(!x.Delivered())
		var c Client
		done := make(chan error, 1)
		go func() { done <- c.Do(x) }()
		time.Sleep(300 * time.Millisecond)
		is.Equal(x.Delivered(), size == small)
		x.Cancel()
		is.True(<-done != nil)
		x.AwaitWritten()
	}
}
