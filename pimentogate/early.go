package pimentogate

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoroute"
)

// refuseByHead returns the response to a request that is refused before its body is read,
// or nil. Without a configuration it decides nothing.
func (g *Gate) refuseByHead(c *call) *response {
	t := g.table.Load()
	if t == nil || t.Config == nil {
		return nil
	}
	route := matchRoute(t, c)
	if route == nil {
		return nil
	}
	c.table = t
	c.setRoute(route)
	if why := g.identify(c); why != reasonNone {
		return g.refusal(c, why, retryAfterUnconfirmed) // Only stated where a later try may succeed.
	}
	if why := g.awaitCopy(c); why != reasonNone {
		return g.refusal(c, why, retryAfterUnconfirmed)
	}
	if resp := g.refuseBody(c); resp != nil {
		return resp
	}
	if g.takeQuota(c) == pimentoquota.Denied {
		return g.refuseQuota(c)
	}
	return nil
}

// matchRoute returns the route of a request, or nil.
func matchRoute(t *pimentoroute.Table, c *call) *pimentoroute.Route {
	return t.Match(string(c.req.Header.Host()), string(c.req.Header.RequestURI()))
}

// respondEarly queues the response to a request that was refused by its head, and reads its
// body away so that the connection can serve the next request. It reports whether the
// connection goes on.
func (cc *callerConn) respondEarly(c *call) bool {
	resp := c.early
	// A caller that waits for permission to send its body may not send it any more.
	resp.closeConn = resp.closeConn || c.req.MayContinue()
	cc.gate.logServed(c, resp, resp.http.StatusCode(), time.Since(c.received))
	p := &pendingResponse{call: c, done: make(chan *response, 1)}
	p.done <- resp
	cc.pending <- p
	if resp.closeConn {
		cc.awaitResponses()
		return false
	}
	if err := cc.skipBody(c); err != nil {
		cc.setReadEnd(endCaller)
		cc.awaitResponses()
		return false
	}
	return true
}

// skipBody reads the body of a request and drops it.
func (cc *callerConn) skipBody(c *call) error {
	size := c.req.Header.ContentLength()
	if size == 0 || (size < 0 && size != -1) {
		return nil
	}
	_ = cc.SetReadDeadline(time.Now().Add(bodyTimeout))
	var body fasthttp.Request
	c.req.Header.CopyTo(&body.Header)
	if err := body.ContinueReadBodyStream(cc.r, cc.gate.limits().BodyBytes, false); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, body.BodyStream())
	if closeErr := body.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return err
}
