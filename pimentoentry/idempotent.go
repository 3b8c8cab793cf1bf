package pimentoentry

import (
	"context"
	"sync"
	"time"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// maxAttempts bounds the targets that one request is sent to, not counting hedges.
const maxAttempts = 3

// serveIdempotent serves an idempotent request: it sends it to a target, or
// forwards it to the owner of a cold target, and retries within the budget.
func (e *Entry) serveIdempotent(c *call) *refusal {
	if f := c.readBody(); f != nil {
		return f
	}
	if c.purpose != pimentolink.PurposeColdTarget && e.forwardToOwner(c) {
		return nil
	}
	s := c.service
	s.mu.Lock()
	s.budget.Earn()
	s.mu.Unlock()
	var avoid []*pimentotarget.Target
	var last *attempt
	for n := 1; ; {
		a, f := e.sendIdempotent(c, avoid)
		switch {
		case f == ownerChanged:
			if e.forwardToOwner(c) {
				return nil
			}
			continue
		case f != nil && last != nil:
			return last.refusal()
		case f != nil:
			return f
		case a.succeeded():
			moveResponse(c.resp, a.Resp)
			e.paceResponse(c, a.target.Region)
			return nil
		}
		a.releaseResponse()
		if n == maxAttempts || a.errorKind() == pimentohttp.KindCancelled || !e.mayRetry(c, a) {
			return a.refusal()
		}
		e.counters.retries[a.retryReason()].Inc()
		avoid = append(avoid, a.target)
		last = a
		n++
	}
}

// mayRetry reports whether the request may be sent again after the attempt, and
// charges the retry to the budget. A retry is free if the target couldn't be dialed
// or had closed the pooled connection: nothing was sent, so the attempt put no load on
// the target.
func (e *Entry) mayRetry(c *call, a *attempt) bool {
	if time.Now().After(c.deadline) || c.ctx.Err() != nil {
		return false
	}
	if a.errorKind() == pimentohttp.KindDial || a.errorKind() == pimentohttp.KindStale {
		return true
	}
	s := c.service
	s.mu.Lock()
	ok := s.budget.Spend()
	s.mu.Unlock()
	if !ok {
		e.counters.retriesDenied.Inc()
	}
	return ok
}

// ownerTimeout bounds the time that the owner of a cold target has for a request
// that this entry could send itself.
const ownerTimeout = 250 * time.Millisecond

// forwardToOwner forwards the request to the owner of a cold target if this entry
// may send to no target, or the owner needs traffic to warm the target up. It
// reports whether c has a response from there; a refusal by the owner doesn't
// count.
func (e *Entry) forwardToOwner(c *call) bool {
	owner, must, ok := e.coldOwner(c)
	if !ok {
		return false
	}
	p := e.peers.find(owner)
	if p == nil {
		return false
	}
	forwarded := *c
	if limit := time.Now().Add(ownerTimeout); !must && limit.Before(c.deadline) {
		forwarded.deadline = limit
	}
	if e.forward(&forwarded, p, pimentolink.PurposeColdTarget) != nil {
		return false
	}
	if len(c.resp.Header.Peek(headerReason)) == 0 {
		return true
	}
	_ = c.resp.CloseBodyStream()
	c.resp.Reset()
	return false
}

// sendIdempotent waits for a target and sends the request to it, with a hedge if the
// response takes unusually long. It returns a refusal if nothing was sent.
func (e *Entry) sendIdempotent(c *call, avoid []*pimentotarget.Target) (*attempt, *refusal) {
	r := requestPool.Get().(*pimentotarget.Request)
	defer requestPool.Put(r)
	c.fillRequest(r, e.now(), avoid)
	if f := e.acquireTarget(c, r); f != nil {
		return nil, f
	}
	if !e.regionAllowed(c, r.Target) {
		e.recordResult(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions have changed")
	}
	a := c.newAttempt(r.Target, r.Sent)
	if !e.quarantine.allow(a.fingerprint, c.deadline) {
		e.recordResult(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		a.releaseResponse()
		return nil, refuse(ReasonQuarantine, RunUnknown, "the request has made targets drop their connections")
	}
	return e.sendHedged(c, a), nil
}

// fillRequest sets the fields of r from the call. avoid lists the targets that were
// tried before.
func (c *call) fillRequest(r *pimentotarget.Request, now time.Duration, avoid []*pimentotarget.Target) {
	r.Class = c.info.Class
	r.Arrived = now
	r.Deadline = now + time.Until(c.deadline)
	r.Regions = c.homeRegions
	r.Avoid = avoid
	r.Target = nil
}

// hedgedAttempt is an attempt and its hedge, a second attempt at another target.
// The first of the two that gets a response cancels the other.
type hedgedAttempt struct {
	e     *Entry
	c     *call
	first *attempt

	mu         sync.Mutex // Guards the fields below.
	hedge      *attempt
	winner     *attempt
	closed     bool          // No hedge may start any more.
	hedgeEnded chan struct{} // Closed when the hedge has ended.
}

// sendHedged performs an attempt, and a hedge if no response arrives within the
// hedge delay. It returns the one that got a response first, or a if neither did.
func (e *Entry) sendHedged(c *call, a *attempt) *attempt {
	stop := context.AfterFunc(c.ctx, a.Cancel)
	defer stop()
	delay, ok := e.hedgeDelay(c)
	if !ok {
		e.send(c, c.body.retain(), a)
		return a
	}
	r := &hedgedAttempt{e: e, c: c, first: a}
	body := c.body.retain()
	timer := time.AfterFunc(delay, func() {
		if e.workers.Submit(r.runHedge) != nil {
			return
		}
	})
	e.send(c, c.body.retain(), a)
	timer.Stop()
	winner := r.finish()
	body.release()
	return winner
}

// hedgeDelay returns the time after which the call is hedged. It reports false if
// the call isn't hedged: the service isn't of class read, or has no delay yet.
func (e *Entry) hedgeDelay(c *call) (time.Duration, bool) {
	if c.info.Class != pimentoregister.ClassRead {
		return 0, false
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.service.delay.Value()
}

// runHedge sends the request to a second target, and cancels the first attempt if
// the second one gets a response first.
func (r *hedgedAttempt) runHedge() {
	h := r.startHedge()
	if h == nil {
		return
	}
	defer close(r.hedgeEnded)
	r.e.counters.retries[RetryHedge].Inc()
	stop := context.AfterFunc(r.c.ctx, h.Cancel)
	defer stop()
	r.e.send(r.c, r.c.body.retain(), h)
	if h.succeeded() && r.claimWin(h) {
		r.first.Cancel()
		r.e.client.CloseIdleTo(r.first.Address)
	}
}

// startHedge creates the hedge, unless the first attempt has ended. It returns nil
// if there is none.
func (r *hedgedAttempt) startHedge() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	r.hedge = r.e.newHedge(r.c, r.first)
	if r.hedge != nil {
		r.hedgeEnded = make(chan struct{})
	}
	return r.hedge
}

// newHedge returns an attempt at a second target, or nil if none is free, the
// budget is spent or the quarantine doesn't allow it.
func (e *Entry) newHedge(c *call, first *attempt) *attempt {
	if !e.quarantine.tryAllow(first.fingerprint) {
		return nil
	}
	s := c.service
	var r pimentotarget.Request
	now := e.now()
	c.fillRequest(&r, now, []*pimentotarget.Target{first.target})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.Spend() {
		e.quarantine.release(first.fingerprint)
		e.counters.retriesDenied.Inc()
		return nil
	}
	tg := s.table.BindNow(now, &r)
	if tg == nil {
		s.budget.Refund()
		e.quarantine.release(first.fingerprint)
		return nil
	}
	return c.newAttempt(tg, now)
}

// claimWin records a as the winner and reports true if it is the first of the two
// with a response.
func (r *hedgedAttempt) claimWin(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return false
	}
	r.winner = a
	return true
}

// finish returns the attempt whose result counts, after the first attempt has ended.
// If that has not succeeded, finish waits for the hedge. It releases the response of
// the other attempt.
func (r *hedgedAttempt) finish() *attempt {
	if r.first.succeeded() && r.claimWin(r.first) {
		r.cancelHedge()
		return r.first
	}
	r.mu.Lock()
	r.closed = true
	hedgeEnded := r.hedgeEnded
	r.mu.Unlock()
	if hedgeEnded != nil {
		<-hedgeEnded
	}
	if r.winner == nil {
		if r.hedge != nil {
			r.hedge.releaseResponse()
		}
		return r.first
	}
	r.first.releaseResponse()
	return r.winner
}

// cancelHedge cancels the hedge, if there is one, and releases its response.
func (r *hedgedAttempt) cancelHedge() {
	r.mu.Lock()
	r.closed = true
	hedge, hedgeEnded := r.hedge, r.hedgeEnded
	r.mu.Unlock()
	if hedge == nil {
		return
	}
	hedge.Cancel()
	<-hedgeEnded
	hedge.releaseResponse()
}

// tryAllow is like allow, but returns false instead of waiting.
func (q *quarantine) tryAllow(fp pimentoretry.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Allow(q.now(), fp)
}
