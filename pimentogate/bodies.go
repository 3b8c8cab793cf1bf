package pimentogate

import (
	"sync"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoroute"
)

// bodyTraffic is what passes this entry's link as large bodies.
type bodyTraffic struct {
	mu   sync.Mutex // Guards link.
	link pimentoload.Link
}

// hasLargeBody reports whether the request is one of a route with large bodies, and the rate of the
// link is known, so that its body counts as a load of the link.
func (g *Gate) hasLargeBody(c *call) bool {
	return c.route != nil && c.route.Kind == pimentoroute.KindUpload && g.settings.LinkMbps > 0
}

// refuseBody returns the response to a request whose body can't arrive and be sent to a target in
// time, given what is underway, or doesn't fit in the memory, and nil for one that is read, or refused
// by its length alone. The length of a chunked body isn't known; it counts when it has arrived.
func (g *Gate) refuseBody(c *call) *response {
	n := c.req.Header.ContentLength()
	if !g.hasLargeBody(c) || n <= 0 || n > g.limits().BodyBytes {
		return nil
	}
	b := &g.bodies
	work := g.usualWork(c)
	b.mu.Lock()
	wait, fits := b.link.Fits(g.now(), n, time.Until(c.deadline), work)
	b.mu.Unlock()
	why := reasonLink
	if fits {
		memory, release := g.memory.NewGrant()
		defer release()
		if memory.Fits(n) {
			return nil
		}
		why, wait = reasonMemory, retryAfterMemory
	}
	resp := g.refusal(c, why, wait+randomUpTo(wait/retrySpread))
	// A long rest of the body isn't read away on the narrow link.
	resp.closeConn = n > maxSkippedBody
	return resp
}

// maxSkippedBody is the size in bytes up to which the body of a refused request is read away, so that
// its connection can be kept.
const maxSkippedBody = 16 << 10

// retrySpread is the divisor of the time after which callers whose bodies were refused return, up to
// which their returns are spread.
const retrySpread = 4

// receiveBody counts n bytes of a large body that arrive.
func (g *Gate) receiveBody(c *call, n int) {
	if !g.hasLargeBody(c) {
		return
	}
	b := &g.bodies
	b.mu.Lock()
	b.link.Receive(g.now(), n)
	b.mu.Unlock()
}

// paceBody waits until a large body may be sent to a target beside others, so that small requests and
// responses pass the link between them. The target is chosen after that. It returns why the body isn't
// sent, at once if its turn comes too late, or reasonNone.
func (g *Gate) paceBody(c *call) reason {
	if !g.hasLargeBody(c) {
		return reasonNone
	}
	b := &g.bodies
	b.mu.Lock()
	now := g.now()
	c.bodyTurn = b.link.Send(now, len(c.req.Body()))
	wait := c.bodyTurn - now
	b.mu.Unlock()
	if wait <= 0 {
		return reasonNone
	}
	if wait >= time.Until(c.deadline) {
		g.unsendBody(c)
		return reasonLink
	}
	g.metrics.count("pimento_bodies_paced_total")
	select {
	case <-c.done:
	case <-g.cutoffReached:
	case <-time.After(wait):
		return reasonNone
	}
	g.unsendBody(c)
	return reasonStopping
}

// unsendBody takes back a body that was to be sent, when the request is refused instead.
func (g *Gate) unsendBody(c *call) {
	if !g.hasLargeBody(c) {
		return
	}
	b := &g.bodies
	b.mu.Lock()
	b.link.Unsend(g.now(), c.bodyTurn, len(c.req.Body()))
	b.mu.Unlock()
}

// linkBusy returns the time that the admitted large bodies need to arrive.
func (g *Gate) linkBusy() time.Duration {
	b := &g.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.link.Busy(g.now())
}

// bodyCost returns what a target in another region costs for the bytes of a large body, given the time
// until its response.
func (g *Gate) bodyCost(c *call, tg *pimentoroute.Target, expected time.Duration) time.Duration {
	if !g.hasLargeBody(c) || g.distance(tg) != otherRegion {
		return 0
	}
	left := c.route.Objective - time.Since(c.received)
	return pimentoload.BodyCost(len(c.req.Body()), otherRegionByteCost, left, expected)
}
