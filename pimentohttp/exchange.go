package pimentohttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
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
	// NewConn asks for a new connection, which can't be one that the target has
	// closed already.
	NewConn bool
	// UseConn is the connection to use, which the user has taken and keeps. It is
	// closed if the answer wasn't whole or the target closes it, and released at
	// the end of a streamed answer. If it is nil, the exchange takes one and
	// releases it.
	UseConn *Conn
	// MaxBuffered is the body length in bytes up to which answers are read whole.
	// 0 means 64 KiB. If it is set, an answer without a length is read whole as
	// well, up to the target's orderly end of the connection.
	MaxBuffered int
	// EchoHeader is a header whose value an answer repeats from the request. Answers
	// with another value belong to other requests and are skipped. "" means none.
	EchoHeader string
	// OnBodyEnd is called when the whole answer was read or given up. It may be nil.
	// It isn't called when Do returns an error.
	OnBodyEnd func(BodyEnd)

	mu        sync.Mutex
	conn      *Conn
	cancelled bool
	sent      bool

	writing     chan struct{} // Closed when a long request was written. May be nil.
	writeFailed atomic.Bool
}

// BodyEnd says how the body of an answer ended.
type BodyEnd uint8

const (
	// BodyComplete means that the body was read to its end.
	BodyComplete BodyEnd = iota + 1
	// BodyIncomplete means that the target broke off.
	BodyIncomplete
	// BodyCancelled means that the reader closed the body before its end.
	BodyCancelled
)

const (
	// maxBuffered is the body length in bytes up to which answers are read whole.
	maxBuffered = 64 << 10
	// bodyIdle is the time without a byte after which a streamed body is broken.
	bodyIdle = 30 * time.Second
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 4
	// maxInterim bounds the informational answers before the final one.
	maxInterim = 8
)

var (
	errCancelled = errors.New("the caller no longer wants the answer")
	errStray     = errors.New("the answers belong to other requests")
	errUnframed  = errors.New("the answer has neither a length nor chunks")
)

// Do performs the exchange. After an error, Sent tells whether the target may
// have run the request.
func (c *Client) Do(x *Exchange) error {
	cn := x.UseConn
	if cn == nil {
		var err error
		if cn, err = c.get(x.Address, x.NewConn, x.Deadline); err != nil {
			return err
		}
	}
	if !x.attach(cn) {
		cn.destroy()
		return x.fail("connect", errCancelled)
	}
	_ = cn.SetDeadline(x.Deadline)
	if err := x.send(cn); err != nil {
		cn.destroy()
		return x.fail("write", err)
	}
	for range maxStray {
		if err := x.readHead(cn.r); err != nil {
			cn.destroy()
			return x.fail("read", err)
		}
		if x.mine() {
			return x.readBody(cn)
		}
		if err := x.Resp.ReadBody(cn.r, maxBuffered); err != nil {
			cn.destroy()
			return x.fail("read", err)
		}
		x.Resp.Reset()
	}
	cn.destroy()
	return x.fail("read", errStray)
}

// mine reports whether the answer belongs to the request, as far as its header
// tells.
func (x *Exchange) mine() bool {
	if x.EchoHeader == "" {
		return true
	}
	got := x.Resp.Header.Peek(x.EchoHeader)
	return len(got) == 0 || bytes.Equal(got, x.Req.Header.Peek(x.EchoHeader))
}

// send writes the request. A long body is written beside the reading of the
// answer, since a target may answer before it has read the whole body. The
// connection isn't used again if it does.
func (x *Exchange) send(cn *Conn) error {
	if len(x.Req.Body()) <= writeBuffer {
		return x.write(cn)
	}
	x.mu.Lock()
	x.sent = true
	x.mu.Unlock()
	x.writing = make(chan struct{})
	go func() {
		defer close(x.writing)
		if err := x.write(cn); err != nil {
			// Ends the read as well; its error says what happened.
			x.writeFailed.Store(true)
		}
	}()
	return nil
}

// written reports whether the whole request was written.
func (x *Exchange) written() bool {
	if x.writing == nil {
		return true
	}
	select {
	case <-x.writing:
		return !x.writeFailed.Load()
	default:
		return false
	}
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

func (x *Exchange) attach(cn *Conn) bool {
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

func (x *Exchange) write(cn *Conn) error {
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
		if err := checkStart(r); err != nil {
			return err
		}
		if err := x.Resp.Header.Read(r); err != nil {
			return err
		}
		if code := x.Resp.StatusCode(); code >= 200 {
			return nil
		}
	}
	return errors.New("too many informational answers")
}

var errNoAnswer = errors.New("the bytes don't begin an HTTP/1 answer")

// checkStart checks the protocol and status of the answer that comes next,
// which the codec reads leniently: it takes a status of 0 for 200.
func checkStart(r *bufio.Reader) error {
	const form = "HTTP/1.x 200"
	start, err := r.Peek(len(form))
	if err != nil {
		return err
	}
	protocol, status := start[:7], start[9:]
	if string(protocol) != form[:7] || start[8] != ' ' || status[0] < '1' || status[0] > '9' {
		return errNoAnswer
	}
	return nil
}

func (x *Exchange) readBody(cn *Conn) error {
	if x.noBody() {
		x.Resp.SkipBody = true
		x.finish(cn)
		return nil
	}
	size := x.Resp.Header.ContentLength()
	switch {
	case x.MaxBuffered > 0 && size <= x.MaxBuffered:
		return x.readWhole(cn, size)
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

// readWhole reads a body of a known length, in chunks, or up to the end of the
// connection. A connection that breaks gives an error.
func (x *Exchange) readWhole(cn *Conn, size int) error {
	if !x.BodyDeadline.IsZero() {
		_ = cn.SetReadDeadline(x.BodyDeadline)
	}
	if size < -1 {
		body, err := io.ReadAll(io.LimitReader(cn.r, int64(x.MaxBuffered)+1))
		if err == nil && len(body) > x.MaxBuffered {
			err = fasthttp.ErrBodyTooLarge
		}
		if err != nil {
			cn.destroy()
			return x.fail("body", err)
		}
		x.Resp.SetBodyRaw(body)
		x.Resp.Header.SetContentLength(len(body))
		x.Resp.SetConnectionClose()
		x.finish(cn)
		return nil
	}
	if err := x.Resp.ReadBody(cn.r, x.MaxBuffered); err != nil {
		cn.destroy()
		return x.fail("body", err)
	}
	x.finish(cn)
	return nil
}

func (x *Exchange) noBody() bool {
	code := x.Resp.StatusCode()
	return x.Req.Header.IsHead() || code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// finish ends an exchange whose answer was read whole.
func (x *Exchange) finish(cn *Conn) {
	whole := x.written()
	cn.keep = keepFor(x.Resp)
	switch {
	case !x.detach() || !whole || x.Resp.ConnectionClose() || cn.r.Buffered() > 0:
		cn.destroy()
	case x.UseConn == nil:
		cn.put()
	}
	if x.OnBodyEnd != nil {
		x.OnBodyEnd(BodyComplete)
	}
}

// keepMargin is how much earlier than the target this end stops using an idle
// connection.
const keepMargin = 500 * time.Millisecond

// keepFor returns the time for which the target keeps an idle connection, or 0
// if its answer doesn't say.
func keepFor(resp *fasthttp.Response) time.Duration {
	for part := range bytes.SplitSeq(resp.Header.Peek("Keep-Alive"), []byte(",")) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !ok || !bytes.EqualFold(name, []byte("timeout")) {
			continue
		}
		if n, err := strconv.Atoi(string(value)); err == nil && n > 0 {
			return time.Duration(n)*time.Second - keepMargin
		}
	}
	return 0
}

// Reusable reports whether the connection can carry another exchange.
func (c *Conn) Reusable() bool { return !c.dead.Load() }

func (x *Exchange) stream(cn *Conn, size int) *bodyStream {
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
	cn     *Conn
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
	return n, &Error{Op: "body", Kind: KindIncomplete, Address: b.x.Address, Err: err}
}

func (b *bodyStream) end() BodyEnd {
	switch {
	case b.whole:
		return BodyComplete
	case b.broken:
		return BodyIncomplete
	}
	return BodyCancelled
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
	switch {
	case !b.x.detach() || !b.whole || !b.x.written() || b.x.Resp.ConnectionClose():
		b.cn.destroy()
	default:
		b.cn.put()
	}
	if b.x.OnBodyEnd != nil {
		b.x.OnBodyEnd(b.end())
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
		kind = KindConnFailed
		if op == "body" {
			kind = KindIncomplete
		}
	}
	return &Error{Op: op, Kind: kind, Address: x.Address, Err: err}
}
