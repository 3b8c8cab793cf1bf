package pimentohttp

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// Write implements net.Conn and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the target has closed the connection in
// order.
//
// The kernel reports the failure of a connection, such as a reset, to a single system call. If
// that is a Write, a later read ends as if the connection had been closed in order. So at the
// end, the error of the Write counts too.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.endWrite(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// endWrite ends a Write that is in progress, and returns the error with which a Write of the
// connection has failed if that was the end of the connection. After an orderly close by the
// target, a Write succeeds, reaches its deadline, or fails with EPIPE.
func (c *Conn) endWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}
