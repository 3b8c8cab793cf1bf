package pimentogate

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
)

var errOtherTarget = errors.New("another target has the address")

// send is one request on its way to one target.
type send struct {
	candidate *candidate
	exchange  *pimentohttp.Exchange
	started   time.Time
	outcome   outcome
	err       error
}

// maxBufferedResponse is the length in bytes up to which an answer is held until it is
// whole, so that a broken one can be replaced.
const maxBufferedResponse = 4 << 20

// sendWithRetries sends a request until there is an answer or nothing more to try.
func (g *Gate) sendWithRetries(c *call) *response {
	var failed *send
	for {
		repeated := c.sends > 0
		if repeated && !g.spendRetry(c) {
			return g.failRequest(c, failed, reasonBudget)
		}
		p, why := g.chooseTarget(c, c.tried)
		if why = g.checkBeforeSend(c, p, why); why != reasonNone {
			p.releaseIfAny()
			if repeated {
				g.returnRetry(c)
			}
			return g.failRequest(c, failed, why)
		}
		s := g.sendHedged(c, p)
		a, again := g.handleOutcome(c, s, &failed)
		if !again {
			return a
		}
		if c.sends >= c.route.Attempts {
			return g.failRequest(c, failed, reasonAttempts)
		}
		g.metrics.countRetry(c.retryReason)
	}
}

// checkBeforeSend returns why a request isn't sent to the target that was chosen.
func (g *Gate) checkBeforeSend(c *call, p *candidate, why reason) reason {
	switch {
	case c.callerGone():
		return reasonCallerGone
	case time.Until(c.deadline) <= 0:
		return reasonTimeout
	case p == nil:
		return why
	}
	return reasonNone
}

// releaseIfAny releases a pick, which may be nil.
func (p *candidate) releaseIfAny() {
	if p != nil {
		p.release()
	}
}

// handleOutcome decides what follows from the outcome of a send. It returns the final
// answer, or that another target is to be tried.
func (g *Gate) handleOutcome(c *call, s *send, failed **send) (*response, bool) {
	switch s.outcome {
	case outcomeResponse:
		return g.forwardResponse(c, s), false
	case outcomeFailed:
		c.retryReason = "failed"
		if !c.retryable() {
			return g.forwardResponse(c, s), false
		}
		*failed = s
		return nil, true
	case outcomeNotExecuted:
		c.retryReason = "notrun"
		return nil, true
	case outcomeUnsent:
		c.retryReason = "unsent"
		return nil, true
	case outcomeCallerGone:
		return g.refusal(c, reasonCallerGone, 0), false
	case outcomeTimeout:
		return g.failRequest(c, *failed, reasonTimeout), false
	}
	c.retryReason = reasonIncomplete
	if !c.retryable() {
		return g.refusal(c, reasonIncomplete, 0), false
	}
	return nil, true
}

// failRequest returns the final answer of a request that isn't tried again: a
// target's own failure where there is one.
func (g *Gate) failRequest(c *call, failed *send, why reason) *response {
	if failed != nil && why != reasonCallerGone {
		return g.forwardResponse(c, failed)
	}
	comeBack := retryAfterBusy
	if g.traffic.overloaded(c.serviceName()) {
		comeBack = retryAfterOverload
	}
	return g.refusal(c, why, comeBack/2+randomUpTo(comeBack))
}

// forwardResponse returns a target's answer.
func (g *Gate) forwardResponse(c *call, s *send) *response {
	h := &s.exchange.Resp.Header
	for _, name := range g.dialect.InternalHeaders {
		h.Del(name)
	}
	removeHopResponseHeaders(h)
	return &response{resp: s.exchange.Resp}
}

// sendHedged sends a request to a target, and to a second one if the first takes
// longer than is worth waiting for. It returns the send that decides.
func (g *Gate) sendHedged(c *call, first *candidate) *send {
	ended := make(chan *send, 2)
	picks := make(chan *candidate, 1)
	running := 0
	launch := func(p *candidate) {
		running++
		c.sends++
		c.tried = append(c.tried, p.target.ID)
		c.lastCandidate, c.lastSentAt = p, time.Now()
		s := g.newSend(c, p)
		go func() {
			g.runSend(c, s)
			ended <- s
		}()
	}
	started := time.Now()
	launch(first)
	look := time.NewTimer(time.Duration(hedgeCheckShare * float64(first.expected)))
	defer look.Stop()
	deadline := time.NewTimer(time.Until(c.deadline))
	defer deadline.Stop()
	asking := false
	for {
		select {
		case s := <-ended:
			running--
			g.recordOutcome(c, s)
			if s.outcome == outcomeResponse || (running == 0 && !asking) {
				g.cancelLosers(c, s, running, ended)
				return s
			}
			if running == 0 && asking {
				// The second target is about to be known: let the outer loop choose.
				go func() { (<-picks).releaseIfAny() }()
				return s
			}
			discardSend(s)
		case <-look.C:
			if !g.mayHedge(c) {
				continue
			}
			asking = true
			tried := append([]pimentoroute.TargetID(nil), c.tried...)
			go func() { picks <- g.findHedgeTarget(c, first, time.Since(started), tried) }()
		case p := <-picks:
			asking = false
			if g.approveHedge(c, first, p, time.Since(started)) {
				launch(p)
				continue
			}
			p.releaseIfAny()
			look.Reset(hedgeCheckInterval)
		case <-deadline.C:
			return g.cancelAll(c, first, outcomeTimeout, running, asking, ended, picks)
		case <-c.callerLeft:
			return g.cancelAll(c, first, outcomeCallerGone, running, asking, ended, picks)
		}
	}
}

// cancelAll ends all sends of a request.
func (g *Gate) cancelAll(c *call, first *candidate, o outcome, running int, asking bool, ended chan *send, picks chan *candidate) *send {
	if asking {
		go func() { (<-picks).releaseIfAny() }()
	}
	if running > 0 {
		c.mayHaveRun = true
	}
	s := &send{candidate: first, outcome: o}
	g.cancelLosers(c, s, running, ended)
	return s
}

// cancelLosers ends the sends that lost and waits for them in the background.
func (g *Gate) cancelLosers(c *call, winner *send, running int, ended chan *send) {
	if running == 0 {
		return
	}
	c.mu.Lock()
	for _, x := range c.exchanges {
		if x != winner.exchange {
			x.Cancel()
		}
	}
	c.mu.Unlock()
	go func() {
		for range running {
			s := <-ended
			g.sendEnded(s.candidate.target)
			discardSend(s)
		}
	}()
}

func discardSend(s *send) {
	if s.exchange != nil && s.exchange.Resp != nil {
		_ = s.exchange.Resp.CloseBodyStream()
	}
}

// newSend prepares a request for one target.
func (g *Gate) newSend(c *call, p *candidate) *send {
	req := new(fasthttp.Request)
	c.req.Header.CopyTo(&req.Header)
	removeHopRequestHeaders(&req.Header)
	req.SetBodyRaw(c.req.Body())
	left := max(time.Millisecond, time.Until(c.deadline))
	req.Header.Set(g.dialect.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set(g.dialect.ExpectedTarget, string(p.target.ID))
	return &send{
		candidate: p,
		started:   time.Now(),
		exchange: &pimentohttp.Exchange{
			Address:      p.target.Address,
			Req:          req,
			Resp:         new(fasthttp.Response),
			Deadline:     c.deadline.Add(responseSlack),
			BodyDeadline: c.deadline.Add(responseSlack),
			MaxWhole:     maxBufferedResponse,
			Echo:         g.dialect.RequestID,
		},
	}
}

// responseSlack is how long after the request's end its target's answer is read.
const responseSlack = 50 * time.Millisecond

// runSend sends the request and reads the answer.
func (g *Gate) runSend(c *call, s *send) {
	f := &g.traffic
	f.mu.Lock()
	t := f.target(s.candidate.target.ID)
	t.inFlight++
	t.sentSinceReport++
	f.mu.Unlock()
	if s.err = g.ensureConn(c, s.candidate); s.err != nil {
		s.outcome = outcomeUnsent
		return
	}
	s.exchange.On = s.candidate.conn
	if !c.addExchange(s.exchange) {
		s.outcome = outcomeCallerGone
		s.candidate.release()
		return
	}
	s.err = g.client.Do(s.exchange)
	if s.err == nil && s.candidate.conn.Open() && !s.exchange.Resp.IsBodyStream() {
		s.candidate.conn.Release()
	}
	s.outcome = g.classify(c, s)
}

// sendEnded notes that a send to a target is over.
func (g *Gate) sendEnded(tg *pimentoroute.Target) {
	f := &g.traffic
	f.mu.Lock()
	f.target(tg.ID).inFlight--
	f.mu.Unlock()
}
