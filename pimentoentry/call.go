package pimentoentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentoregister"
)

// Names of HTTP headers.
const (
	headerOrg     = "Pimento-Org"
	headerTimeout = "Pimento-Timeout"
	headerKeys    = "Pimento-Keys"
	headerRun     = "Pimento-Run"
	headerReason  = "Pimento-Reason"
	headerKey     = "Idempotency-Key"
)

// maxBody bounds the body of a request in bytes.
const maxBody = 4 << 20

// call is the state of one request while it is served.
type call struct {
	view        *pimentoregister.View
	info        *pimentoregister.ServiceView
	service     *service
	org         pimentoregister.OrganisationName
	homeRegions []pimentoregister.RegionName
	method      string
	targetURI   []byte              // Path and query without the service.
	purpose     pimentolink.Purpose // Why a peer forwarded it; 0 if a caller sent it.

	deadline time.Time
	// callerTimeout is set if the caller has sent a timeout, which then bounds the
	// transfer of the response's body as well.
	callerTimeout bool

	req    *fasthttp.Request
	source io.Reader // Unread body of the request; nil if req holds it.
	memory *pimentomemory.Budget
	body   *body
	resp   *fasthttp.Response
	ctx    context.Context // Ends when the caller disconnects.
}

// body is the body of a request. The attempts to send the request share it, and
// the last release returns the buffer to its pool.
type body struct {
	buf  *bytebufferpool.ByteBuffer
	refs atomic.Int32
	// releaseMemory gives back the memory in which the body is counted.
	releaseMemory func()
}

func (b *body) retain() *body {
	b.refs.Add(1)
	return b
}

func (b *body) release() {
	if b.refs.Add(-1) == 0 {
		bytebufferpool.Put(b.buf)
		b.releaseMemory()
	}
}

// parseHead sets the service, the limits and the target URI from the head of the
// request.
func (e *Entry) parseHead(c *call) *refusal {
	c.view = e.store.View()
	if c.view.Revision == 0 {
		return refuse(ReasonConfig, RunNo, "no configuration is known yet")
	}
	name, targetURI, ok := splitPath(c.req.Header.RequestURI())
	if !ok {
		return refuse(ReasonPath, RunNo, "the path has the form /{service}/{path}")
	}
	c.info = c.view.Service(pimentoregister.ServiceName(name))
	if c.info == nil {
		return refuse(ReasonService, RunNo, "the register has no such service")
	}
	c.service = e.service(c.info.Name)
	if c.service == nil {
		return refuse(ReasonService, RunNo, "the service was just removed")
	}
	c.targetURI = targetURI
	c.method = string(c.req.Header.Method())
	return c.setLimits()
}

// setLimits sets the caller's organisation, its home regions and the deadline.
func (c *call) setLimits() *refusal {
	c.org = pimentoregister.OrganisationName(c.req.Header.Peek(headerOrg))
	homeRegions, ok := c.view.HomeRegions(c.org)
	if !ok {
		return refuse(ReasonOrganisation, RunNo, "header "+headerOrg+": the register has no such organisation")
	}
	c.homeRegions = homeRegions
	return c.setDeadline()
}

// setDeadline sets the deadline to the earliest of the service's timeout, the
// caller's timeout and the deadline of the peer that forwarded the request.
func (c *call) setDeadline() *refusal {
	limit := millis(c.info.Timeout)
	value := c.req.Header.Peek(headerTimeout)
	if len(value) > 0 {
		ms, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || ms == 0 {
			return refuse(ReasonTimeout, RunNo, "header "+headerTimeout+": a positive number of milliseconds is required")
		}
		c.callerTimeout = true
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	own := time.Now().Add(limit)
	if c.deadline.IsZero() || own.Before(c.deadline) {
		c.deadline = own
	}
	return nil
}

// splitPath splits /{service}/{path}?{query} into the service and the rest, which
// begins with a slash.
func splitPath(uri []byte) (service, rest []byte, ok bool) {
	if len(uri) < 2 || uri[0] != '/' {
		return nil, nil, false
	}
	uri = uri[1:]
	i := bytes.IndexByte(uri, '/')
	if i <= 0 {
		return nil, nil, false
	}
	return uri[:i], uri[i:], true
}

// isNonIdempotent reports whether the request is non-idempotent. Targets may decode
// and normalise the path, so the rules are matched against the raw and the normalised
// path. A path that can't be parsed counts as non-idempotent.
func (c *call) isNonIdempotent() bool {
	if len(c.info.OnceRoutes) == 0 {
		return false
	}
	raw, _, _ := bytes.Cut(c.targetURI, []byte{'?'})
	if c.info.IsNonIdempotent(c.method, string(raw)) {
		return true
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if err := uri.Parse(nil, c.targetURI); err != nil {
		return true
	}
	return c.info.IsNonIdempotent(c.method, string(uri.Path()))
}

// readBody reads the body of the request into c.body.
func (c *call) readBody() *refusal {
	b := &body{buf: bytebufferpool.Get()}
	b.refs.Store(1)
	c.body = b
	var memory *pimentomemory.Grant
	memory, b.releaseMemory = c.memory.NewGrant()
	size := c.req.Header.ContentLength()
	if size > maxBody {
		return refuse(ReasonLarge, RunNo, "the body has more than "+strconv.Itoa(maxBody)+" bytes")
	}
	if size > 0 && !memory.Grow(size) {
		return refuseMemory()
	}
	if c.source == nil {
		_, _ = b.buf.Write(c.req.Body())
		return nil
	}
	source := c.source
	if size < 0 {
		source = memory.NewReader(source)
	}
	n, err := b.buf.ReadFrom(io.LimitReader(source, maxBody+1))
	switch {
	case errors.Is(err, pimentomemory.ErrUsedUp):
		return refuseMemory()
	case n > maxBody:
		return refuse(ReasonLarge, RunNo, "the body has more than "+strconv.Itoa(maxBody)+" bytes")
	case isTimeout(err):
		return refuse(ReasonLate, RunNo, "the body didn't arrive in time")
	case err != nil:
		return refuse(ReasonBody, RunNo, "the body was cut short")
	case size >= 0 && n != int64(size):
		return refuse(ReasonBody, RunNo, "the body was cut short")
	}
	return nil
}

// retryAfterMemory is the Retry-After time of requests whose body doesn't fit.
const retryAfterMemory = 500 * time.Millisecond

// refuseMemory returns the refusal of a request whose body doesn't fit beside those that are
// held.
func refuseMemory() *refusal {
	f := refuse(ReasonMemory, RunNo, "the body doesn't fit in the memory for bodies now")
	f.retryAfter = retryAfterMemory
	return f
}

// contentHash hashes the method, path, query and body, so that another request
// under the same key is detected.
func (c *call) contentHash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.targetURI)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.body.buf.B)
	return d.Sum64()
}

// quarantineFingerprint hashes the service, organisation, key, method, path, query
// and body, which identify the request in the quarantine.
func (c *call) quarantineFingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(c.info.Name))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(c.org))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.req.Header.Peek(headerKey))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.targetURI)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.body.buf.B)
	return d.Sum64()
}

// targetRequest returns the request as it is sent to a target. left is the time
// until the deadline, for the timeout header.
func (c *call) targetRequest(left time.Duration) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	c.req.Header.CopyTo(&out.Header)
	pimentohttp.DelHopHeaders(&out.Header)
	out.Header.SetRequestURIBytes(c.targetURI)
	out.UseHostHeader = true
	if len(out.Header.Host()) == 0 {
		out.Header.SetHost(string(c.info.Name))
	}
	out.Header.Set(headerTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	out.SetBodyRaw(c.body.buf.B)
	return out
}

// moveResponse moves a response from src to dst without copying its body. It
// releases src, for a streamed body when dst's stream is closed.
func moveResponse(dst, src *fasthttp.Response) {
	src.Header.CopyTo(&dst.Header)
	pimentohttp.DelHopHeaders(&dst.Header)
	dst.SkipBody = src.SkipBody
	if src.IsBodyStream() {
		stream := src.BodyStream()
		size := src.Header.ContentLength()
		dst.SetBodyStream(&responseStream{Reader: stream, close: src.CloseBodyStream, resp: src}, size)
		return
	}
	dst.SwapBody(src.SwapBody(nil))
	fasthttp.ReleaseResponse(src)
}

// responseStream is a body stream that releases the response it belongs to when it
// is closed.
type responseStream struct {
	io.Reader
	close func() error
	resp  *fasthttp.Response
}

// Close closes the stream and releases its response. Further calls do nothing.
func (s *responseStream) Close() error {
	if s.resp == nil {
		return nil
	}
	err := s.close()
	fasthttp.ReleaseResponse(s.resp)
	s.resp = nil
	return err
}
