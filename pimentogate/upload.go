package pimentogate

import (
	"errors"
	"io"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentomemory"
)

const (
	// bodyTimeout bounds the time to receive a body.
	bodyTimeout = 30 * time.Second
	// chunkedReadSize is the size in bytes of the buffer for the start of a chunked body.
	chunkedReadSize = 4 << 10
	// retryAfterMemory is the Retry-After time of requests whose body doesn't fit.
	retryAfterMemory = 500 * time.Millisecond
)

// readBody reads the body of a request of up to limit bytes, and counts it in the call's
// memory. A body with a length that doesn't fit isn't read at all. One that fits is counted
// once it begins to arrive, so that bodies that are only announced take no memory.
func (cc *callerConn) readBody(c *call, limit int) error {
	size := max(0, c.req.Header.ContentLength())
	if size > limit {
		return fasthttp.ErrBodyTooLarge
	}
	if !c.memory.Fits(size) {
		return pimentomemory.ErrUsedUp
	}
	if c.req.MayContinue() {
		if err := cc.sendContinue(); err != nil {
			return err
		}
	}
	_ = cc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if c.req.Header.ContentLength() == -1 {
		return cc.readChunked(c, limit)
	}
	if size > 0 {
		if _, err := cc.r.Peek(1); err != nil {
			return err
		}
	}
	if !c.growBody(size) {
		return pimentomemory.ErrUsedUp
	}
	cc.gate.receiveBody(c, size)
	return c.req.ContinueReadBody(cc.r, limit, false)
}

// readChunked reads a chunked body and its trailer.
func (cc *callerConn) readChunked(c *call, limit int) error {
	if err := c.req.ContinueReadBodyStream(cc.r, limit, false); err != nil {
		return err
	}
	stream := c.req.BodyStream()
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(chunkedReadSize, len(body))
			if !c.growBody(more) {
				return pimentomemory.ErrUsedUp
			}
			body = append(make([]byte, 0, len(body)+more), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			c.setBody(body)
			cc.gate.receiveBody(c, len(body))
			return nil
		case err != nil:
			return err
		}
	}
}

// setBody replaces the stream of a chunked body by the body.
func (c *call) setBody(body []byte) {
	c.req.SetBodyRaw(body)
	if len(body) == 0 {
		c.req.Header.SetContentLength(0)
	}
}

// growBody counts n more bytes of the request's body. It reports false if they don't fit.
func (c *call) growBody(n int) bool {
	if !c.memory.Grow(n) {
		return false
	}
	c.bodyBytes += n
	return true
}

// useBody returns the request's body for a send, which drops it when it has ended.
func (c *call) useBody() []byte {
	c.bodyUsers.Add(1)
	return c.req.Body()
}

// dropBody drops the body of a request whose response is decided.
func (c *call) dropBody() {
	if c.bodyBytes > 0 {
		c.req.SwapBody(nil)
	}
	c.releaseBody()
}

// dropBody drops the body of the request of a send that has ended, as soon as nothing of
// it is being written any more.
func (s *send) dropBody(c *call) {
	s.exchange.AwaitWritten()
	s.exchange.Req.SetBodyRaw(nil)
	c.releaseBody()
}

// releaseBody gives back the memory of the request's body after its last use.
func (c *call) releaseBody() {
	if c.bodyUsers.Add(-1) == 0 {
		c.memory.Shrink(c.bodyBytes)
	}
}

// end gives back what a call still holds: the connections of responses that aren't
// forwarded, and its memory. The call may be nil.
func (c *call) end() {
	if c == nil {
		return
	}
	c.mu.Lock()
	for _, x := range c.exchanges {
		x.Cancel()
	}
	c.mu.Unlock()
	if c.releaseMemory != nil {
		c.releaseMemory()
	}
}

// refuseUnread responds to a request whose body doesn't fit in the memory, and closes the
// connection, since the rest of the body isn't read.
func (cc *callerConn) refuseUnread(c *call) {
	resp := cc.gate.refusal(c, reasonMemory, retryAfterMemory)
	resp.closeConn = true
	cc.gate.logLine(level.WarnValue(), "msg", "request refused", "reason", reasonMemory, "id", c.id, "from", cc.callerIP, "length", c.req.Header.ContentLength(), "held", cc.gate.memory.Used())
	p := &pendingResponse{done: make(chan *response, 1)}
	p.done <- resp
	if cc.addCall(nil) {
		cc.pending <- p
	}
}
