package pimentoentry

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/bytebufferpool"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentoregister"
)

// Names of headers.
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

// call is one request while it is served.
type call struct {
	view    *pimentoregister.View
	info    *pimentoregister.ServiceView
	service *service
	org     pimentoregister.OrganisationName
	home    []pimentoregister.RegionName
	method  string
	rest    []byte // The path and query below the service.
	purpose pimentolink.Purpose

	deadline time.Time
	// limited is set if the caller has named a time, which then bounds the
	// body of the answer as well.
	limited bool

	req    *fasthttp.Request
	source io.Reader // The body of the request, before it is read.
	body   *body
	resp   *fasthttp.Response
	ctx    context.Context // Ends when the caller has gone.
}

// body is the body of a request. It is shared by the attempts to send it.
type body struct {
	buf  *bytebufferpool.ByteBuffer
	refs atomic.Int32
}

func (b *body) retain() *body {
	b.refs.Add(1)
	return b
}

func (b *body) release() {
	if b.refs.Add(-1) == 0 {
		bytebufferpool.Put(b.buf)
	}
}

// parse finds what the request asks for. It looks at the head only.
func (e *Entry) parse(c *call) *refusal {
	c.view = e.store.View()
	if c.view.Revision == 0 {
		return refuse(ReasonConfig, RunNo, "no configuration is known yet")
	}
	name, rest, ok := splitPath(c.req.Header.RequestURI())
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
	c.rest = rest
	c.method = string(c.req.Header.Method())
	return c.setLimits()
}

// setLimits finds the caller's organisation, its home regions, and the deadline.
func (c *call) setLimits() *refusal {
	c.org = pimentoregister.OrganisationName(c.req.Header.Peek(headerOrg))
	home, ok := c.view.HomeRegions(c.org)
	if !ok {
		return refuse(ReasonOrganisation, RunNo, "header "+headerOrg+": the register has no such organisation")
	}
	c.home = home
	return c.setDeadline()
}

// setDeadline bounds the time by the service and by the caller.
func (c *call) setDeadline() *refusal {
	limit := millis(c.info.Timeout)
	value := c.req.Header.Peek(headerTimeout)
	if len(value) > 0 {
		ms, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || ms == 0 {
			return refuse(ReasonTimeout, RunNo, "header "+headerTimeout+": a positive number of milliseconds is required")
		}
		c.limited = true
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	own := time.Now().Add(limit)
	if c.deadline.IsZero() || own.Before(c.deadline) {
		c.deadline = own
	}
	return nil
}

// splitPath splits /{service}/{path}?{query}.
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

// isOnce reports whether the request is non-idempotent. Targets may decode the
// path, so a rule is matched against both its forms.
func (c *call) isOnce() bool {
	if len(c.info.OnceRoutes) == 0 {
		return false
	}
	raw, _, _ := bytes.Cut(c.rest, []byte{'?'})
	if c.info.IsNonIdempotent(c.method, string(raw)) {
		return true
	}
	uri := fasthttp.AcquireURI()
	defer fasthttp.ReleaseURI(uri)
	if err := uri.Parse(nil, c.rest); err != nil {
		return true
	}
	return c.info.IsNonIdempotent(c.method, string(uri.Path()))
}

// readBody reads the body of the request.
func (c *call) readBody() *refusal {
	b := &body{buf: bytebufferpool.Get()}
	b.refs.Store(1)
	c.body = b
	want := c.req.Header.ContentLength()
	if want > maxBody {
		return refuse(ReasonLarge, RunNo, "the body has more than "+strconv.Itoa(maxBody)+" bytes")
	}
	if c.source == nil {
		_, _ = b.buf.Write(c.req.Body())
		return nil
	}
	n, err := b.buf.ReadFrom(io.LimitReader(c.source, maxBody+1))
	switch {
	case n > maxBody:
		return refuse(ReasonLarge, RunNo, "the body has more than "+strconv.Itoa(maxBody)+" bytes")
	case err != nil:
		return refuse(ReasonBody, RunNo, "the body was cut short")
	case want >= 0 && n != int64(want):
		return refuse(ReasonBody, RunNo, "the body was cut short")
	}
	return nil
}

// digest hashes the method, path, query and body.
func (c *call) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.rest)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.body.buf.B)
	return d.Sum64()
}

// print identifies the request for the quarantine.
func (c *call) print() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(c.info.Name))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(c.org))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.req.Header.Peek(headerKey))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.method)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.rest)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.body.buf.B)
	return d.Sum64()
}

// outgoing returns the request as it is sent to a target, with the time left.
func (c *call) outgoing(left time.Duration) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	c.req.Header.CopyTo(&out.Header)
	pimentohttp.DelHopHeaders(&out.Header)
	out.Header.SetRequestURIBytes(c.rest)
	out.UseHostHeader = true
	if len(out.Header.Host()) == 0 {
		out.Header.SetHost(string(c.info.Name))
	}
	out.Header.Set(headerTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	out.SetBodyRaw(c.body.buf.B)
	return out
}

// move transfers an answer. src can then be released.
func move(dst, src *fasthttp.Response) {
	src.Header.CopyTo(&dst.Header)
	pimentohttp.DelHopHeaders(&dst.Header)
	dst.SkipBody = src.SkipBody
	if src.IsBodyStream() {
		stream := src.BodyStream()
		size := src.Header.ContentLength()
		dst.SetBodyStream(&movedStream{Reader: stream, close: src.CloseBodyStream, resp: src}, size)
		return
	}
	dst.SwapBody(src.SwapBody(nil))
	fasthttp.ReleaseResponse(src)
}

// movedStream is a body stream with the answer that owns it.
type movedStream struct {
	io.Reader
	close func() error
	resp  *fasthttp.Response
}

// Close implements io.Closer.
func (m *movedStream) Close() error {
	if m.resp == nil {
		return nil
	}
	err := m.close()
	fasthttp.ReleaseResponse(m.resp)
	m.resp = nil
	return err
}
