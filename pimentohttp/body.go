package pimentohttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentomemory"
)

const (
	// maxSmallChunks is the number of chunks of a body after which their mean size must
	// be at least minMeanChunk bytes. Without a limit, a body in tiny chunks costs much
	// processor time before it is too long.
	maxSmallChunks = 4096
	minMeanChunk   = 16
	// chunkReadSize is the size of the buffer for the first chunks, in bytes.
	chunkReadSize = 4 << 10
)

var errSmallChunks = errors.New("the body has too many small chunks")

// readChunks buffers a chunked body of up to MaxBuffered bytes, and reads its trailer. If
// Memory doesn't grow with the body, it leaves the body as a stream.
func (x *Exchange) readChunks(cn *Conn) error {
	b := x.newBodyStream(cn, -1)
	var body []byte
	for reads := 0; ; reads++ {
		if len(body) == cap(body) {
			more := max(chunkReadSize, len(body))
			if !x.Memory.Grow(more) {
				b.r = io.MultiReader(bytes.NewReader(body), b.r)
				x.Resp.SetBodyStream(b, -1)
				return nil
			}
			body = append(make([]byte, 0, len(body)+more), body...)
		}
		n, err := b.r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		x.BodyBytes = len(body)
		switch {
		case errors.Is(err, io.EOF):
			x.Resp.SetBodyRaw(body)
			return nil
		case err != nil:
			return err
		case len(body) > x.MaxBuffered:
			return fasthttp.ErrBodyTooLarge
		case reads > maxSmallChunks && len(body) < reads*minMeanChunk:
			return errSmallChunks
		}
	}
}

// newBodyStream returns a stream of the body. size is its length, -1 if it is chunked.
func (x *Exchange) newBodyStream(cn *Conn, size int) *bodyStream {
	return &bodyStream{x: x, cn: cn, size: size, r: newBodyReader(cn.r, size)}
}

// newBodyReader returns a reader of a body. size is its length, -1 if it is chunked.
func newBodyReader(r *bufio.Reader, size int) io.Reader {
	if size >= 0 {
		return io.LimitReader(r, int64(size))
	}
	return &chunkReader{r: r}
}

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

// bodyStream is a streamed response body. Read returns io.EOF only at the end of a
// complete body.
type bodyStream struct {
	x         *Exchange
	cn        *Conn
	r         io.Reader
	size      int // -1 if chunked.
	bytesRead int
	complete  bool
	failed    bool
	closed    bool
}

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	_ = b.cn.SetReadDeadline(b.deadline())
	n, err := b.r.Read(p)
	b.bytesRead += n
	switch {
	case err == nil:
		if b.size >= 0 && b.bytesRead == b.size {
			b.complete = true
		}
		return n, nil
	case errors.Is(err, io.EOF) && (b.size < 0 || b.bytesRead == b.size):
		b.complete = true
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	b.failed = true
	return n, &Error{Op: "body", Kind: KindIncomplete, Address: b.x.Address, Err: err}
}

// result returns how the body ended.
func (b *bodyStream) result() BodyEnd {
	switch {
	case b.complete:
		return BodyComplete
	case b.failed:
		return BodyIncomplete
	}
	return BodyCancelled
}

// deadline returns the time limit for the next Read.
func (b *bodyStream) deadline() time.Time {
	if !b.x.BodyDeadline.IsZero() {
		return b.x.BodyDeadline
	}
	return time.Now().Add(bodyIdleTimeout)
}

// Close implements io.Closer. If the body wasn't read to its end, it closes the
// connection, which cancels the request at the target.
func (b *bodyStream) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	switch {
	case !b.x.detach() || !b.complete || !b.x.fullyWritten() || b.x.Resp.ConnectionClose():
		b.cn.destroy()
	default:
		b.cn.release()
	}
	if b.x.OnBodyEnd != nil {
		b.x.OnBodyEnd(b.result())
	}
	return nil
}
