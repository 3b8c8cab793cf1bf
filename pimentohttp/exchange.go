package pimentohttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request to one target. Its exported fields are set before
// Do. An Exchange is used once.
type Exchange struct {
	// Address is the target's IP and port.
	Address string
	// Req is written as it is.
	Req *fasthttp.Request
	// Resp takes the answer. A large body is left as a stream, which must be
	// read to its end or closed.
	Resp *fasthttp.Response
	// Deadline bounds the time until the head of the answer.
	Deadline time.Time
	// BodyDeadline bounds the time until the end of the answer. If it is zero,
	// a streamed body is broken after half a minute without a byte.
	BodyDeadline time.Time
	// Fresh asks for a new connection, which can't be one that the target has
	// closed already.
	Fresh bool
	// Ended is called when the whole answer was read or given up. It may be nil.
	// It isn't called when Do returns an error.
	Ended func(End)

	mu        sync.Mutex
	conn      *conn
	cancelled bool
	sent      bool
}

// End says how the body of an answer ended.
type End uint8

const (
	// EndWhole means that the body was read to its end.
	EndWhole End = iota + 1
	// EndBroken means that the target broke off.
	EndBroken
	// EndCancelled means that the reader closed the body before its end.
	EndCancelled
)

const (
	// maxBuffered is the body length in bytes up to which answers are read whole.
	maxBuffered = 64 << 10
	// bodyIdle is the time without a byte after which a streamed body is broken.
	bodyIdle = 30 * time.Second
	// maxInterim bounds the informational answers before the final one.
	maxInterim = 8
)

var (
	errCancelled = errors.New("the caller no longer wants the answer")
	errUnframed  = errors.New("the answer has neither a length nor chunks")
)

// Do performs the exchange. After an error, Sent tells whether the target may
// have run the request.
func (c *Client) Do(x *Exchange) error {
	cn, err := c.get(x.Address, x.Fresh, x.Deadline)
	if err != nil {
		return err
	}
	if !x.attach(cn) {
		cn.destroy()
		return x.fail("connect", errCancelled)
	}
	_ = cn.SetDeadline(x.Deadline)
	if err := x.write(cn); err != nil {
		cn.destroy()
		return x.fail("write", err)
	}
	if err := x.readHead(cn.r); err != nil {
		cn.destroy()
		return x.fail("read", err)
	}
	return x.readBody(cn)
}

// Sent reports whether any byte of the request may have reached the target.
func (x *Exchange) Sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

// Cancel closes the connection, which cancels the request at the target. It
// may be called at any time, also when the exchange has ended.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.conn != nil {
		x.conn.destroy()
	}
}

func (x *Exchange) attach(cn *conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = cn
	return !x.cancelled
}

// detach ends the power of Cancel over the connection. It reports false if the
// exchange was cancelled before.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.cancelled
}

func (x *Exchange) write(cn *conn) error {
	err := x.Req.Write(cn.w)
	if err == nil {
		err = cn.w.Flush()
	}
	x.mu.Lock()
	x.sent = err == nil || cn.written.Load() > 0
	x.mu.Unlock()
	return err
}

// readHead reads the head of the final answer.
func (x *Exchange) readHead(r *bufio.Reader) error {
	for range maxInterim {
		if err := x.Resp.Header.Read(r); err != nil {
			return err
		}
		if code := x.Resp.StatusCode(); code >= 200 {
			return nil
		}
	}
	return errors.New("too many informational answers")
}

func (x *Exchange) readBody(cn *conn) error {
	if x.noBody() {
		x.Resp.SkipBody = true
		x.finish(cn)
		return nil
	}
	size := x.Resp.Header.ContentLength()
	switch {
	case size < -1:
		cn.destroy()
		return &Error{Op: "read", Kind: KindInvalid, Address: x.Address, Err: errUnframed}
	case size >= 0 && size <= maxBuffered:
		if err := x.Resp.ReadBody(cn.r, maxBuffered); err != nil {
			cn.destroy()
			return x.fail("body", err)
		}
		x.finish(cn)
		return nil
	}
	x.Resp.SetBodyStream(x.stream(cn, size), size)
	return nil
}

func (x *Exchange) noBody() bool {
	code := x.Resp.StatusCode()
	return x.Req.Header.IsHead() || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// finish ends an exchange whose answer was read whole.
func (x *Exchange) finish(cn *conn) {
	if x.detach() && !x.Resp.ConnectionClose() {
		cn.put()
	} else {
		cn.destroy()
	}
	if x.Ended != nil {
		x.Ended(EndWhole)
	}
}

func (x *Exchange) stream(cn *conn, size int) *bodyStream {
	b := &bodyStream{x: x, cn: cn, size: size}
	if size >= 0 {
		b.r = io.LimitReader(cn.r, int64(size))
		return b
	}
	b.inner = fasthttp.AcquireResponse()
	x.Resp.Header.CopyTo(&b.inner.Header)
	b.inner.StreamBody = true
	if err := b.inner.ReadBody(cn.r, 0); err != nil {
		b.r = failingReader{err}
		return b
	}
	b.r = b.inner.BodyStream()
	return b
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// bodyStream is the body of an answer while it streams. It returns io.EOF only
// if the body was whole.
type bodyStream struct {
	x      *Exchange
	cn     *conn
	r      io.Reader
	inner  *fasthttp.Response // Holds the chunk decoder, if there is one.
	size   int                // -1 in chunks.
	read   int
	whole  bool
	broken bool
	ended  bool
}

// Read implements io.Reader.
func (b *bodyStream) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	_ = b.cn.SetReadDeadline(b.deadline())
	n, err := b.r.Read(p)
	b.read += n
	switch {
	case err == nil:
		if b.size >= 0 && b.read == b.size {
			b.whole = true
		}
		return n, nil
	case errors.Is(err, io.EOF) && (b.size < 0 || b.read == b.size):
		b.whole = true
		return n, io.EOF
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	b.broken = true
	return n, &Error{Op: "body", Kind: KindShort, Address: b.x.Address, Err: err}
}

func (b *bodyStream) end() End {
	switch {
	case b.whole:
		return EndWhole
	case b.broken:
		return EndBroken
	}
	return EndCancelled
}

func (b *bodyStream) deadline() time.Time {
	if !b.x.BodyDeadline.IsZero() {
		return b.x.BodyDeadline
	}
	return time.Now().Add(bodyIdle)
}

// Close implements io.Closer. A connection whose answer wasn't read to its end
// is closed, which cancels the request at the target.
func (b *bodyStream) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	if b.inner != nil {
		_ = b.inner.CloseBodyStream()
		fasthttp.ReleaseResponse(b.inner)
	}
	if b.x.detach() && b.whole && !b.x.Resp.ConnectionClose() {
		b.cn.put()
	} else {
		b.cn.destroy()
	}
	if b.x.Ended != nil {
		b.x.Ended(b.end())
	}
	return nil
}

// fail classifies an error.
func (x *Exchange) fail(op string, err error) error {
	x.mu.Lock()
	cancelled := x.cancelled
	x.mu.Unlock()
	kind := KindInvalid
	var netErr net.Error
	switch {
	case cancelled:
		kind = KindCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(x.Deadline):
		// The codec hides the cause of some errors.
		kind = KindTimeout
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		kind = KindBroken
		if op == "body" {
			kind = KindShort
		}
	}
	return &Error{Op: op, Kind: kind, Address: x.Address, Err: err}
}
