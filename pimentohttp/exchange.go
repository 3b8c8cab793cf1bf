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

	"pimentoarch/pimentomemory"
)

// Exchange is a request to a target and its response. Its exported fields are set
// before Do. An Exchange is used once.
type Exchange struct {
	// Address is the target's IP and port.
	Address string
	// Req is the request. It is written unchanged.
	Req *fasthttp.Request
	// Resp receives the response. A body that isn't buffered is left as a stream,
	// which must be closed, also after it was read to its end.
	Resp *fasthttp.Response
	// Deadline is the time limit for the head of the response, and for a buffered
	// body if MaxBuffered or BodyDeadline is zero.
	Deadline time.Time
	// BodyDeadline is the time limit for a streamed body, and for a buffered one if
	// MaxBuffered is set. If it is zero, a streamed body fails after 30 s without a
	// byte.
	BodyDeadline time.Time
	// NewConn makes Do open a new connection instead of using a pooled one, which
	// the target may have closed already.
	NewConn bool
	// UseConn is an acquired connection to use. It is closed if the exchange fails or
	// the connection can't be reused, and released when a streamed response is closed
	// after its end; otherwise it stays with the caller of Do. If it is nil, Do
	// acquires a connection and releases it.
	UseConn *Conn
	// MaxBuffered is the length in bytes up to which a body is buffered. A body with a
	// length of up to 64 KiB always is. If MaxBuffered isn't 0, a body without a length
	// is buffered as well, chunked or up to the orderly close of the connection by the
	// target; a longer one is an error. See FramingClose for what such a close means.
	MaxBuffered int
	// Memory is what the bytes of buffered bodies are counted in. A body that doesn't fit is
	// left as a stream, or is an error if it has no length and isn't chunked. The caller of
	// Do gives the bytes back. If Memory is nil, they aren't counted.
	Memory *pimentomemory.Grant
	// EchoHeader is a header whose value targets copy from the request to the
	// response. Responses with another value belong to other requests and are
	// skipped. "" disables the check.
	EchoHeader string
	// OnSkipped is called with each response that is skipped. It may be nil.
	OnSkipped func(*fasthttp.Response)
	// OnBodyEnd is called when the body has been buffered or there is none, or when
	// the stream of the body is closed. It may be nil. It isn't called when Do
	// returns an error.
	OnBodyEnd func(BodyEnd)

	// Framing is how the response states the end of its body. Do sets it.
	Framing Framing
	// BodyBytes is the number of body bytes that were buffered, -1 if the body is a
	// stream. Do sets it.
	BodyBytes int
	// Strays is the number of skipped responses to other requests. Do sets it.
	Strays int

	mu         sync.Mutex // Guards conn, cancelled, sent and responding.
	conn       *Conn
	earlier    int64 // Bytes that earlier exchanges have written to conn.
	cancelled  bool
	sent       bool
	responding bool // Part of the response has arrived.

	// writeDone is set with sent.
	writeDone   chan struct{} // Closed when a long request was written. Nil for others.
	writeFailed atomic.Bool
}

// BodyEnd is how the reading of a response's body ended.
type BodyEnd uint8

const (
	// BodyComplete means that the body was read to its end.
	BodyComplete BodyEnd = iota + 1
	// BodyIncomplete means that a read of the body failed.
	BodyIncomplete
	// BodyCancelled means that the reader closed the body before its end.
	BodyCancelled
)

const (
	// defaultMaxBuffered is the length in bytes up to which a body with a length is
	// buffered whatever Exchange.MaxBuffered is.
	defaultMaxBuffered = 64 << 10
	// bodyIdleTimeout is the time without a byte after which a streamed body fails.
	bodyIdleTimeout = 30 * time.Second
	// maxStrayResponses bounds the skipped responses to other requests.
	maxStrayResponses = 4
	// maxInformational bounds the informational (1xx) responses before the final one.
	maxInformational = 8
)

var (
	errCancelled = errors.New("the exchange was cancelled before the request was sent")
	errStray     = errors.New("the responses belong to other requests")
	errUnframed  = errors.New("the response has no Content-Length and isn't chunked")
)

// Do sends the request and reads the response. Errors have the type *Error. After
// an error, Sent reports whether the target may have executed the request.
func (c *Client) Do(x *Exchange) error {
	cn := x.UseConn
	if cn == nil {
		var err error
		if cn, err = c.acquire(x.Address, x.NewConn, x.Deadline); err != nil {
			return err
		}
	}
	if !x.attach(cn) {
		cn.destroy()
		return x.newError("connect", errCancelled)
	}
	_ = cn.SetDeadline(x.Deadline)
	if err := x.send(cn); err != nil {
		cn.destroy()
		return x.newError("write", err)
	}
	for range maxStrayResponses {
		if err := x.readHead(cn.r); err != nil {
			cn.destroy()
			return x.newError("read", err)
		}
		if x.matchesRequest() {
			return x.readBody(cn)
		}
		if err := x.skipBody(cn.r); err != nil {
			cn.destroy()
			return x.newError("read", err)
		}
		x.Strays++
		if x.OnSkipped != nil {
			x.OnSkipped(x.Resp)
		}
		x.Resp.Reset()
	}
	cn.destroy()
	return x.newError("read", errStray)
}

// matchesRequest reports whether the response belongs to the request. One without
// the echo header counts as belonging to it.
func (x *Exchange) matchesRequest() bool {
	if x.EchoHeader == "" {
		return true
	}
	got := x.Resp.Header.Peek(x.EchoHeader)
	return len(got) == 0 || bytes.Equal(got, x.Req.Header.Peek(x.EchoHeader))
}

// send writes the request. A long request is written by a goroutine while the
// response is read, since a target may respond before it has read the whole body.
// In that case the connection isn't reused.
func (x *Exchange) send(cn *Conn) error {
	if len(x.Req.Body()) <= writeBufferSize {
		return x.write(cn)
	}
	x.mu.Lock()
	x.sent = true
	x.writeDone = make(chan struct{})
	x.mu.Unlock()
	go func() {
		defer close(x.writeDone)
		if err := x.write(cn); err != nil {
			// The response may be complete all the same. Otherwise Conn.Read fails too.
			x.writeFailed.Store(true)
		}
	}()
	return nil
}

// fullyWritten reports whether the whole request was written.
func (x *Exchange) fullyWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case <-x.writeDone:
		return !x.writeFailed.Load()
	default:
		return false
	}
}

// write writes the request, and sets sent if any byte may have left.
func (x *Exchange) write(cn *Conn) error {
	err := x.Req.Write(cn.w)
	if err == nil {
		err = cn.w.Flush()
	}
	x.mu.Lock()
	x.sent = err == nil || cn.bytesWritten.Load() > x.earlier
	x.mu.Unlock()
	return err
}

// readHead reads the head of the final response, and skips informational ones.
func (x *Exchange) readHead(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	x.mu.Lock()
	x.responding = true
	x.mu.Unlock()
	for range maxInformational {
		if err := readHead(&x.Resp.Header, r); err != nil {
			return err
		}
		if code := x.Resp.StatusCode(); code >= 200 {
			return nil
		}
	}
	return errors.New("too many informational responses")
}

// readBody buffers the body and ends the exchange, or leaves the body as a stream.
func (x *Exchange) readBody(cn *Conn) error {
	if x.hasNoBody() {
		x.Resp.SkipBody = true
		x.finish(cn)
		return nil
	}
	size := x.Resp.Header.ContentLength()
	x.Framing = framingOf(size)
	switch {
	case x.MaxBuffered > 0 && size <= x.MaxBuffered && x.Memory.Grow(max(0, size)):
		return x.readBuffered(cn, size)
	case size < -1:
		cn.destroy()
		return &Error{Op: "read", Kind: KindInvalid, Address: x.Address, Err: errUnframed}
	case size >= 0 && size <= defaultMaxBuffered && x.Memory.Grow(size):
		if err := x.Resp.ReadBody(cn.r, defaultMaxBuffered); err != nil {
			cn.destroy()
			return x.newError("body", err)
		}
		x.finish(cn)
		return nil
	}
	x.BodyBytes = -1
	x.Resp.SetBodyStream(x.newBodyStream(cn, size), size)
	return nil
}

// readBuffered buffers a body of up to MaxBuffered bytes. size is its length, -1 if
// it is chunked, and less if it extends to the close of the connection. A connection
// that fails within the body is an error.
func (x *Exchange) readBuffered(cn *Conn, size int) error {
	if !x.BodyDeadline.IsZero() {
		_ = cn.SetReadDeadline(x.BodyDeadline)
	}
	if size < -1 {
		body, err := io.ReadAll(io.LimitReader(x.Memory.NewReader(cn.r), int64(x.MaxBuffered)+1))
		x.BodyBytes = len(body)
		if err == nil && len(body) > x.MaxBuffered {
			err = fasthttp.ErrBodyTooLarge
		}
		if err != nil {
			cn.destroy()
			return x.newError("body", err)
		}
		x.Resp.SetBodyRaw(body)
		x.Resp.Header.SetContentLength(len(body))
		x.Resp.SetConnectionClose()
		x.finish(cn)
		return nil
	}
	var err error
	if size == -1 {
		err = x.readChunks(cn)
	} else {
		err = x.Resp.ReadBody(cn.r, x.MaxBuffered)
	}
	if err != nil {
		cn.destroy()
		return x.newError("body", err)
	}
	if !x.Resp.IsBodyStream() {
		x.finish(cn)
	}
	return nil
}

func (x *Exchange) hasNoBody() bool { return x.Req.Header.IsHead() || x.statusHasNoBody() }

// statusHasNoBody reports whether no response with the status has a body.
func (x *Exchange) statusHasNoBody() bool {
	code := x.Resp.StatusCode()
	return code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified
}

// finish ends an exchange whose response was read completely.
func (x *Exchange) finish(cn *Conn) {
	written := x.fullyWritten()
	x.BodyBytes = len(x.Resp.Body())
	cn.keepAlive = keepAliveTimeout(x.Resp)
	switch {
	case !x.detach() || !written || x.Resp.ConnectionClose() || cn.r.Buffered() > 0:
		cn.destroy()
	case x.UseConn == nil:
		cn.release()
	}
	if x.OnBodyEnd != nil {
		x.OnBodyEnd(BodyComplete)
	}
}

// keepAliveMargin is how long before the target's keep-alive timeout this end stops
// using an idle connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTimeout returns the time for which an idle connection may be used: the
// timeout in the response's Keep-Alive header less keepAliveMargin. It returns 0 if the
// header states none.
func keepAliveTimeout(resp *fasthttp.Response) time.Duration {
	for part := range bytes.SplitSeq(resp.Header.Peek("Keep-Alive"), []byte(",")) {
		name, value, ok := bytes.Cut(bytes.TrimSpace(part), []byte("="))
		if !ok || !bytes.EqualFold(name, []byte("timeout")) {
			continue
		}
		if n, err := strconv.Atoi(string(value)); err == nil && n > 0 {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return 0
}

// Reusable reports whether the connection can carry another exchange.
func (c *Conn) Reusable() bool { return !c.closed.Load() }

// newError returns err as an *Error with its kind.
func (x *Exchange) newError(op string, err error) error {
	x.mu.Lock()
	cancelled := x.cancelled
	x.mu.Unlock()
	kind := KindInvalid
	var netErr net.Error
	switch {
	case cancelled:
		kind = KindCancelled
	case errors.Is(err, os.ErrDeadlineExceeded), !time.Now().Before(x.Deadline):
		// Some errors of fasthttp don't wrap their cause, so the time is checked too.
		kind = KindTimeout
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		kind = KindConnFailed
		if op == "body" {
			kind = KindIncomplete
		}
	}
	return &Error{Op: op, Kind: kind, Address: x.Address, Err: err}
}
