package pimentohttp

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentomemory"
)

// skipBody reads the body of a response to another request.
func (x *Exchange) skipBody(r *bufio.Reader) error {
	if !x.Memory.Grow(defaultMaxBuffered) {
		return pimentomemory.ErrUsedUp
	}
	defer x.Memory.Shrink(defaultMaxBuffered)
	size := x.Resp.Header.ContentLength()
	switch {
	case x.statusHasNoBody():
		return nil
	case size < -1:
		return errUnframed
	}
	n, err := io.Copy(io.Discard, io.LimitReader(newBodyReader(r, size), defaultMaxBuffered+1))
	switch {
	case err != nil:
		return err
	case n > defaultMaxBuffered:
		return fasthttp.ErrBodyTooLarge
	case n < int64(size):
		return io.ErrUnexpectedEOF
	}
	return nil
}

// AwaitWritten waits until nothing of the request is being written any more. It is called
// after Do has returned.
func (x *Exchange) AwaitWritten() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}

// AfterWritten calls f once nothing of the request is being written any more, at once if that is
// so already. It is called after Do has returned.
func (x *Exchange) AfterWritten(f func()) {
	if x.writeDone == nil {
		f()
		return
	}
	select {
	case <-x.writeDone:
		f()
	default:
		go func() {
			x.AwaitWritten()
			f()
		}()
	}
}
