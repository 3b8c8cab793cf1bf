package pimentogate

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoload"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

var (
	errOtherTarget  = errors.New("another target replied to the probe")
	errUnidentified = errors.New("the reply to the probe names no target")
	errHomeMoved    = errors.New("the target's region is no longer a home of the request")
)

// send is one attempt: a request sent to one target.
type send struct {
	candidate *candidate
	exchange  *pimentohttp.Exchange
	quota     *heldToken // That was spent on it, or nil.
	started   time.Time
	outcome   outcome
	err       error
	end       bodyEnd
	// crashChecked is closed once it is known whether the target crashed. It is nil for
	// outcomes after which that isn't checked.
	crashChecked chan struct{}
	// forwarded is set once the response, with its stream and connection, belongs to the
	// caller's response.
	forwarded bool
	// longest is the longest queue that the target reported when it was chosen and beside the
	// send, and sawLong is set if it may have been full.
	longest int
	sawLong bool
	// suspected is set when the target was recorded as silent because the response is overdue.
	suspected bool
	// deliveredBy is the age at which the target's kernel was first seen to have the whole
	// request, 0 if it wasn't.
	deliveredBy time.Duration
	// silent is set when the send is cancelled because no response will come.
	silent atomic.Bool
	// homes is set if home regions bind the request.
	homes *homesTrace
	// items is set once the send is written.
	items *itemsTrace
}

// close closes the stream of a response that isn't forwarded, which ends its use of the
// connection.
func (s *send) close() {
	if s.exchange != nil && !s.forwarded {
		_ = s.exchange.Resp.CloseBodyStream()
	}
}

// maxBufferedResponse is the size in bytes up to which a response is buffered until
// it is complete, so that an incomplete one can be replaced by a retry.
const maxBufferedResponse = 4 << 20

// sendWithRetries sends a request until there is a final response or no further
// attempt is allowed.
func (g *Gate) sendWithRetries(c *call) *response {
	var failed *send
	for {
		isRetry := c.sends > 0
		if g.crashCount(c) >= pimentoretry.MaxCrashes {
			return g.refusal(c, reasonCrash, 0)
		}
		if g.outlastsStop(c, nil) {
			return g.failRequest(c, failed, reasonStopping)
		}
		if why := g.checkRules(c, nil); why != reasonNone {
			return g.failRequest(c, failed, why)
		}
		if isRetry && !g.spendRetry(c) {
			return g.failRequest(c, failed, reasonBudget)
		}
		cand, why := g.chooseAndCheck(c)
		if why != reasonNone {
			cand.releaseIfAny()
			if isRetry {
				g.returnRetry(c)
			}
			return g.failRequest(c, failed, why)
		}
		s := g.sendHedged(c, cand)
		defer s.close()
		c.lastSend = s
		resp, tryNext := g.handleOutcome(c, s, &failed)
		if !tryNext {
			return resp
		}
		if c.sends >= c.route.Attempts {
			return g.failRequest(c, failed, reasonAttempts)
		}
		g.metrics.countRetry(c.retryReason)
		g.awaitCrashCheck(c, s)
	}
}

// chooseAndCheck chooses the target of the next send, once the request's body may be sent.
func (g *Gate) chooseAndCheck(c *call) (*candidate, reason) {
	if why := g.paceBody(c); why != reasonNone {
		return nil, g.checkBeforeSend(c, nil, why)
	}
	for {
		cand, why := g.chooseTarget(c, c.tried)
		switch why = g.checkBeforeSend(c, cand, why); why {
		case reasonHome: // It has moved meanwhile.
			cand.release()
			continue
		case reasonNone:
		default:
			g.unsendBody(c)
		}
		return cand, why
	}
}

// awaitCrashCheck waits until it is known whether a send that lost its connection crashed
// its target, because that decides whether the request is retried.
func (g *Gate) awaitCrashCheck(c *call, s *send) {
	if !s.lostConnection() {
		return
	}
	select {
	case <-s.crashChecked:
	case <-c.done:
	case <-g.cutoffReached:
	case <-time.After(time.Until(c.deadline)):
	}
}

// checkBeforeSend returns why a request isn't sent to the chosen target, or
// reasonNone.
func (g *Gate) checkBeforeSend(c *call, cand *candidate, why reason) reason {
	switch {
	case c.isAbandoned():
		return reasonCallerGone
	case time.Until(c.deadline) <= 0:
		return reasonTimeout
	case cand == nil:
		return why
	case g.outlastsStop(c, cand):
		return reasonStopping
	}
	if why := g.awaitQuota(c); why != reasonNone {
		return why
	}
	return g.checkRules(c, cand.target)
}

// releaseIfAny releases a candidate that may be nil.
func (cand *candidate) releaseIfAny() {
	if cand != nil {
		cand.release()
	}
}

// handleOutcome decides what follows from the outcome of a send. It returns the
// final response, or true if another target is to be tried.
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
		c.retryReason = retryNotExecuted
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
	if s.outcome == outcomeSilent {
		c.retryReason = reasonSilent
	}
	if !c.retryable() {
		return g.refusal(c, c.retryReason, 0), false
	}
	return nil, true
}

// failRequest returns the final response of a request that isn't retried: a
// target's own failure response if there is one.
func (g *Gate) failRequest(c *call, failed *send, why reason) *response {
	if failed != nil && why != reasonCallerGone {
		return g.forwardResponse(c, failed)
	}
	if after, paused := g.returnAfterPause(c); paused && why == reasonTargets {
		return g.refusal(c, reasonPaused, after)
	}
	switch why {
	case reasonStopping:
		return g.refusal(c, why, retryAfterStop)
	case reasonUnconfirmed, reasonMoved:
		return g.refusal(c, why, retryAfterUnconfirmed)
	case reasonQuota:
		return g.refuseQuota(c)
	}
	return g.refusal(c, why, g.returnAfter(c, why))
}

// returnAfter returns the time after which the caller of a refused request is to return.
func (g *Gate) returnAfter(c *call, why reason) time.Duration {
	left := time.Until(c.callerDeadline)
	if c.callerDeadline.IsZero() {
		left = c.route.Timeout
	}
	shed := (why == reasonBudget || why == reasonAttempts) && c.retryReason == retryNotExecuted && c.lastCandidate.room > 0
	r := pimentoload.Refusal{Left: left, Pressure: g.traffic.pressure(c.serviceName()), Urgent: c.urgent, Shed: shed}
	if !shed {
		r.Room = g.roomFor(c)
	}
	return r.ReturnAfter(rand.Float64())
}

// forwardResponse returns a target's response for the caller.
func (g *Gate) forwardResponse(c *call, s *send) *response {
	h := &s.exchange.Resp.Header
	g.metrics.countForwarded(h.StatusCode(), g.isSigned(s.exchange.Resp))
	for _, name := range g.dialect.InternalHeaders {
		h.Del(name)
	}
	removeHopResponseHeaders(h)
	s.forwarded = true
	return &response{http: s.exchange.Resp}
}

// newSend prepares a send to one target.
func (g *Gate) newSend(c *call, cand *candidate) *send {
	req := new(fasthttp.Request)
	c.req.Header.CopyTo(&req.Header)
	removeHopRequestHeaders(&req.Header, g.dialect.RequestID)
	req.SetBodyRaw(c.useBody())
	left := g.targetTime(c, cand)
	req.Header.Set(g.dialect.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	g.setOrganisation(c, &req.Header)
	req.Header.Set(g.dialect.ExpectedTarget, string(cand.target.ID))
	return &send{
		candidate: cand,
		started:   time.Now(),
		exchange: &pimentohttp.Exchange{
			Address:      cand.target.Address,
			Req:          req,
			Resp:         new(fasthttp.Response),
			Deadline:     c.deadline.Add(responseSlack),
			BodyDeadline: c.deadline.Add(responseSlack),
			MaxBuffered:  maxBufferedResponse,
			Memory:       c.memory,
			EchoHeader:   g.dialect.RequestID,
			OnSkipped:    func(resp *fasthttp.Response) { g.recordSkipped(cand.target, c.id, resp) },
		},
	}
}

// responseSlack is how long after the request's deadline the body of a response that
// is forwarded while it is received is still read. sendHedged cancels other sends at the
// deadline.
const responseSlack = 50 * time.Millisecond

// runSend sends the request, reads the response and sets the outcome.
func (g *Gate) runSend(c *call, s *send) {
	if !g.beginSend(s.candidate.target) {
		s.err, s.outcome = errWithdrawn, outcomeUnsent
		s.candidate.release()
		return
	}
	if s.err = g.ensureConn(c, s.candidate); s.err != nil {
		s.outcome = outcomeUnsent
		return
	}
	// A connection may have taken a while, and the machine may have been suspended.
	if why := g.checkRules(c, s.candidate.target); why != reasonNone {
		s.err, s.outcome = errNotAllowed, outcomeUnsent
		if why == reasonHome {
			s.err = errHomeMoved
		}
		s.candidate.release()
		return
	}
	if !g.staysInPlace(c, s.candidate.target) {
		s.err, s.outcome = errTargetMoved, outcomeUnsent
		s.candidate.release()
		return
	}
	s.exchange.UseConn = s.candidate.conn
	if !c.addExchange(s.exchange) {
		s.outcome = outcomeCallerGone
		s.candidate.release()
		return
	}
	g.traceHomes(c, s)
	g.traceItems(s)
	exchangeErr := g.client.Do(s.exchange)
	s.err = exchangeErr
	g.metrics.countBody(s.exchange)
	s.outcome = g.classify(c, s)
	g.confirmBody(c, s)
	tg := s.candidate.target
	if exchangeErr == nil {
		g.recordSendNotice(c, tg, s.exchange.Resp)
	}
	switch {
	case exchangeErr != nil || s.exchange.Resp.IsBodyStream() || !s.candidate.conn.Reusable():
	case g.echoesID(c, s.exchange.Resp) && !g.isLeaving(tg):
		s.candidate.conn.Release()
	default: // The response may be that to another request, and this one's still to come.
		s.candidate.conn.Discard()
	}
}

// sendEnded counts a send to a target as ended.
func (g *Gate) sendEnded(tg *pimentoroute.Target) {
	ts := &g.traffic
	ts.mu.Lock()
	ts.target(tg.ID).inFlight--
	ts.mu.Unlock()
}
