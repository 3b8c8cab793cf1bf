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
	callerIP string // The caller's IP.
	received time.Time
	// callerDeadline is when the caller gives up, zero if it doesn't say.
	callerDeadline time.Time
	// fingerprint identifies the request, which may come again. It is set by mayTry.
	fingerprint pimentoretry.Print

	table    *pimentoroute.Table
	route    *pimentoroute.Route
	service  *pimentoroute.Service
	deadline time.Time // When the final answer is due.

	tried         []pimentoroute.TargetID
	sends         int        // Sends that a target may have run or refused.
	mayHaveRun    bool       // A send whose outcome isn't known, or that ran.
	retryReason   reason     // Why the last send wasn't the last one.
	lastCandidate *candidate // The last choice of a target, and when it was sent there.
	lastSentAt    time.Time

	mu         sync.Mutex // Guards the fields below.
	exchanges  []*pimentohttp.Exchange
	abandoned  bool
	callerLeft chan struct{} // Closed when the caller has gone.
}

// newCall takes a request that was read whole.
func newCall(req *fasthttp.Request, d *Dialect, from string, received time.Time) *call {
	c := &call{
		req:        req,
		id:         string(req.Header.Peek(d.RequestID)),
		callerIP:   from,
		received:   received,
		callerLeft: make(chan struct{}),
	}
	if ms, err := strconv.ParseFloat(string(req.Header.Peek(d.Deadline)), 64); err == nil && ms >= 0 {
		c.callerDeadline = received.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	return c
}

// setRoute notes the route and when the final answer is due.
func (c *call) setRoute(r *pimentoroute.Route) {
	c.route = r
	c.deadline = c.received.Add(r.Timeout)
	if !c.callerDeadline.IsZero() && c.callerDeadline.Before(c.deadline) {
		c.deadline = c.callerDeadline
	}
}

// abandon ends the sends of a caller that has gone.
func (c *call) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	c.abandoned = true
	close(c.callerLeft)
	for _, x := range c.exchanges {
		x.Cancel()
	}
}

// addExchange notes an exchange that ends with the caller. It reports false if the
// caller has gone.
func (c *call) addExchange(x *pimentohttp.Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.exchanges = append(c.exchanges, x)
	return true
}

// callerGone reports whether the caller has gone.
func (c *call) callerGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// retryable reports whether the request may run more than once.
func (c *call) retryable() bool { return c.route.Kind != pimentoroute.KindUnsafe }

// serviceName names the service of the request.
func (c *call) serviceName() pimentoregister.ServiceName { return c.service.Name }
