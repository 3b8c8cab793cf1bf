package pimentogate

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

// call is one request of a caller while it is served.
type call struct {
	req      *fasthttp.Request
	id       string
	from     string // The caller's IP.
	received time.Time
	// callerUntil is when the caller gives up, zero if it doesn't say.
	callerUntil time.Time
	// print identifies the request, which may come again. It is set by mayTry.
	print pimentoretry.Fingerprint

	table   *pimentoroute.Table
	route   *pimentoroute.Route
	service *pimentoroute.Service
	until   time.Time // When the final answer is due.

	tried   []pimentoroute.TargetID
	sends   int    // Sends that a target may have run or refused.
	mayRan  bool   // A send whose outcome isn't known, or that ran.
	lastWhy reason // Why the last send wasn't the last one.
	last    *pick  // The last choice of a target, and when it was sent there.
	lastAt  time.Time

	mu     sync.Mutex // Guards the fields below.
	active []*pimentohttp.Exchange
	gone   bool
	left   chan struct{} // Closed when the caller has gone.
}

// newCall takes a request that was read whole.
func newCall(req *fasthttp.Request, d *Dialect, from string, received time.Time) *call {
	c := &call{
		req:      req,
		id:       string(req.Header.Peek(d.RequestID)),
		from:     from,
		received: received,
		left:     make(chan struct{}),
	}
	if ms, err := strconv.ParseFloat(string(req.Header.Peek(d.Deadline)), 64); err == nil && ms >= 0 {
		c.callerUntil = received.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	return c
}

// setRoute notes the route and when the final answer is due.
func (c *call) setRoute(r *pimentoroute.Route) {
	c.route = r
	c.until = c.received.Add(r.Timeout)
	if !c.callerUntil.IsZero() && c.callerUntil.Before(c.until) {
		c.until = c.callerUntil
	}
}

// abandon ends the sends of a caller that has gone.
func (c *call) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	close(c.left)
	for _, x := range c.active {
		x.Cancel()
	}
}

// begin notes an exchange that ends with the caller. It reports false if the
// caller has gone.
func (c *call) begin(x *pimentohttp.Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return false
	}
	c.active = append(c.active, x)
	return true
}

// hasLeft reports whether the caller has gone.
func (c *call) hasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gone
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.route.Kind != pimentoroute.KindUnsafe }

// part names the service of the request.
func (c *call) part() pimentoregister.ServiceName { return c.service.Name }
