package pimentohttp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failedConn is a connection whose writes fail, and whose reads then end.
type failedConn struct {
	net.Conn
	err error
}

func (f *failedConn) Write([]byte) (int, error)        { return 0, f.err }
func (f *failedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (f *failedConn) SetWriteDeadline(time.Time) error { return nil }

// A connection that failed in a write doesn't end in order. One whose target closed it in order
// does, also if the last write met that.
func TestEndAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	for _, tc := range []struct {
		err, want error
	}{
		{nil, io.EOF},
		{syscall.EPIPE, io.EOF},
		{os.ErrDeadlineExceeded, io.EOF},
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
	} {
		c := Conn{Conn: &failedConn{err: &net.OpError{Op: "write", Err: tc.err}}}
		if tc.err == nil {
			c.Conn = &failedConn{}
		}
		_, _ = c.Write([]byte("x"))
		_, err := c.Read(make([]byte, 1))
		is.True(errors.Is(err, tc.want))
	}
}
