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

// maxAttempts bounds the targets that one idempotent request is sent to, not
// counting hedges.
const maxAttempts = 3

// read serves an idempotent request.
func (e *Entry) read(c *call) *refusal {
	if f := c.readBody(); f != nil {
		return f
	}
	if c.purpose != pimentolink.PurposeColdTarget && e.readElsewhere(c) {
		return nil
	}
	s := c.service
	s.mu.Lock()
	s.budget.Earn()
	s.mu.Unlock()
	var avoid []*pimentotarget.Target
	var last *attempt
	for n := 1; ; {
		a, f := e.readOnce(c, avoid)
		switch {
		case f == handOver:
			if e.readElsewhere(c) {
				return nil
			}
			continue
		case f != nil && last != nil:
			return last.refusal()
		case f != nil:
			return f
		case a.ok():
			move(c.resp, a.Resp)
			e.pace(c, a.target.Region)
			return nil
		}
		a.discard()
		if n == maxAttempts || a.kind() == pimentohttp.KindCancelled || !e.mayRetry(c, a) {
			return a.refusal()
		}
		e.counters.retries[a.retryReason()].Inc()
		avoid = append(avoid, a.target)
		last = a
		n++
	}
}

// mayRetry takes a retry out of the budget. An attempt that sent nothing has
// cost its target nothing, and is free.
func (e *Entry) mayRetry(c *call, a *attempt) bool {
	if time.Now().After(c.deadline) || c.ctx.Err() != nil {
		return false
	}
	if a.kind() == pimentohttp.KindDial || a.kind() == pimentohttp.KindStale {
		return true
	}
	s := c.service
	s.mu.Lock()
	ok := s.budget.Spend()
	s.mu.Unlock()
	if !ok {
		e.counters.noBudget.Inc()
	}
	return ok
}

// donationTime bounds the time for which a request that this entry could send
// itself is left to the owner of a cold target.
const donationTime = 250 * time.Millisecond

// readElsewhere hands the request to the owner of a cold target if this entry
// may send to no target, or the owner needs traffic to warm it up. It reports
// whether that has answered. A refusal by the owner counts as no answer.
func (e *Entry) readElsewhere(c *call) bool {
	owner, must, ok := e.helper(c)
	if !ok {
		return false
	}
	p := e.peers.find(owner)
	if p == nil {
		return false
	}
	handed := *c
	if limit := time.Now().Add(donationTime); !must && limit.Before(c.deadline) {
		handed.deadline = limit
	}
	if e.forward(&handed, p, pimentolink.PurposeColdTarget) != nil {
		return false
	}
	if len(c.resp.Header.Peek(headerReason)) == 0 {
		return true
	}
	_ = c.resp.CloseBodyStream()
	c.resp.Reset()
	return false
}

// readOnce waits for a target and sends the request to it, and to a second one
// if the first takes unusually long.
func (e *Entry) readOnce(c *call, avoid []*pimentotarget.Target) (*attempt, *refusal) {
	r := requests.Get().(*pimentotarget.Request)
	defer requests.Put(r)
	c.fill(r, e.now(), avoid)
	if f := e.bind(c, r); f != nil {
		return nil, f
	}
	if !e.allowed(c, r.Target) {
		e.done(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions have changed")
	}
	a := c.newAttempt(r.Target, r.Sent)
	if !e.quarantine.allow(a.print, c.deadline) {
		e.done(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		a.discard()
		return nil, refuse(ReasonQuarantine, RunUnknown, "the request has made targets drop their connections")
	}
	return e.race(c, a), nil
}

// fill sets the fields of a request for a target.
func (c *call) fill(r *pimentotarget.Request, now time.Duration, avoid []*pimentotarget.Target) {
	r.Class = c.info.Class
	r.Arrived = now
	r.Deadline = now + time.Until(c.deadline)
	r.Regions = c.home
	r.Avoid = avoid
	r.Target = nil
}

// race is an attempt with its hedge. The first of them that has an answer
// cancels the other.
type race struct {
	e     *Entry
	c     *call
	first *attempt

	mu     sync.Mutex // Guards the fields below.
	hedge  *attempt
	winner *attempt
	over   bool          // No hedge may begin any more.
	ended  chan struct{} // Closed when the hedge has ended.
}

// race performs an attempt, and a hedge if it takes long, and returns the one
// that was answered first, or the first attempt if neither was.
func (e *Entry) race(c *call, a *attempt) *attempt {
	stop := context.AfterFunc(c.ctx, a.Cancel)
	defer stop()
	delay, ok := e.hedgeDelay(c)
	if !ok {
		e.send(c, c.body.retain(), a)
		return a
	}
	r := &race{e: e, c: c, first: a}
	body := c.body.retain()
	timer := time.AfterFunc(delay, func() {
		if e.workers.Submit(r.second) != nil {
			return
		}
	})
	e.send(c, c.body.retain(), a)
	timer.Stop()
	winner := r.settle()
	body.release()
	return winner
}

// hedgeDelay returns the time after which the call is hedged.
func (e *Entry) hedgeDelay(c *call) (time.Duration, bool) {
	if c.info.Class != pimentoregister.ClassRead {
		return 0, false
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	return c.service.delay.Value()
}

// second sends the request to a second target.
func (r *race) second() {
	h := r.begin()
	if h == nil {
		return
	}
	defer close(r.ended)
	r.e.counters.retries[RetryHedge].Inc()
	stop := context.AfterFunc(r.c.ctx, h.Cancel)
	defer stop()
	r.e.send(r.c, r.c.body.retain(), h)
	if h.ok() && r.win(h) {
		r.first.Cancel()
		r.e.client.CloseIdleTo(r.first.Address)
	}
}

// begin chooses the second target, unless the race is over.
func (r *race) begin() *attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return nil
	}
	r.hedge = r.e.bindHedge(r.c, r.first)
	if r.hedge != nil {
		r.ended = make(chan struct{})
	}
	return r.hedge
}

// bindHedge returns an attempt at a second target, if one is free and the
// budget allows it.
func (e *Entry) bindHedge(c *call, first *attempt) *attempt {
	if !e.quarantine.tryAllow(first.print) {
		return nil
	}
	s := c.service
	var r pimentotarget.Request
	now := e.now()
	c.fill(&r, now, []*pimentotarget.Target{first.target})
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.Spend() {
		e.quarantine.ended(first.print)
		e.counters.noBudget.Inc()
		return nil
	}
	tg := s.table.BindNow(now, &r)
	if tg == nil {
		s.budget.Refund()
		e.quarantine.ended(first.print)
		return nil
	}
	return c.newAttempt(tg, now)
}

// win reports whether the attempt is the first with an answer.
func (r *race) win(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner != nil {
		return false
	}
	r.winner = a
	return true
}

// settle ends the race after the first attempt has ended.
func (r *race) settle() *attempt {
	if r.first.ok() && r.win(r.first) {
		r.cancelHedge()
		return r.first
	}
	r.mu.Lock()
	r.over = true
	ended := r.ended
	r.mu.Unlock()
	if ended != nil {
		<-ended
	}
	if r.winner == nil {
		if r.hedge != nil {
			r.hedge.discard()
		}
		return r.first
	}
	r.first.discard()
	return r.winner
}

// cancelHedge gives up the hedge, if there is one.
func (r *race) cancelHedge() {
	r.mu.Lock()
	r.over = true
	hedge, ended := r.hedge, r.ended
	r.mu.Unlock()
	if hedge == nil {
		return
	}
	hedge.Cancel()
	<-ended
	hedge.discard()
}

// tryAllow is like allow, but doesn't wait.
func (q *quarantine) tryAllow(p pimentoretry.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Allow(q.now(), p)
}
