package pimentohttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An idle connection holds no buffers, and has them again when it is used.
func TestIdleConnHoldsNoBuffers(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	var c Client
	deadline := time.Now().Add(time.Second)
	cn, err := c.Acquire(ln.Addr().String(), false, deadline)
	is.NoErr(err)
	is.True(cn.r != nil && cn.w != nil)
	cn.Release()
	is.True(cn.r == nil && cn.w == nil)
	again, err := c.Acquire(ln.Addr().String(), false, deadline)
	is.NoErr(err)
	is.Equal(again, cn)
	is.True(cn.r != nil && cn.w != nil)
	cn.Discard()
}
