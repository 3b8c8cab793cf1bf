package pimentogate

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// outcome says how a send ended.
type outcome uint8

const (
	outcomeResponse    outcome = iota + 1 // A whole answer, to be passed on.
	outcomeFailed                         // A whole answer that says that the target failed.
	outcomeNotExecuted                    // The target's word that it hasn't run the request.
	outcomeUnsent                         // Nothing was written.
	outcomeIncomplete                     // No answer, or not a whole one; the request may have run.
	outcomeTimeout                        // No answer in time.
	outcomeCallerGone                     // The caller has gone.
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"", "answer", "failed", "notrun", "unsent", "broken", "timeout", "left"}[o]
}

// classify says what the end of an exchange means.
func (g *Gate) classify(c *call, s *send) outcome {
	if s.err != nil {
		return classifyError(c, s)
	}
	resp := s.exchange.Resp
	switch {
	case g.dialect.NotExecuted(resp):
		return outcomeNotExecuted
	case impliesNotExecuted(resp.StatusCode()) && !c.retryable():
		// The target doesn't vouch for what the status says.
		s.err = errUnsigned
		return outcomeIncomplete
	case resp.StatusCode() >= 500:
		return outcomeFailed
	case resp.StatusCode() < 300 && !g.isSigned(c, resp):
		s.err = errUnsigned
		return outcomeIncomplete
	}
	return outcomeResponse
}

// impliesNotExecuted reports whether a caller reads a status as the promise that
// the request hasn't run.
func impliesNotExecuted(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

func classifyError(c *call, s *send) outcome {
	var e *pimentohttp.Error
	switch {
	case !s.exchange.Sent():
		return outcomeUnsent
	case c.callerGone():
		return outcomeCallerGone
	case errors.As(s.err, &e) && e.Kind == pimentohttp.KindTimeout:
		return outcomeTimeout
	}
	return outcomeIncomplete
}

var errUnsigned = errors.New("the answer isn't signed, or belongs to another request")

// isSigned reports whether a success is the target's own answer to this request.
func (g *Gate) isSigned(c *call, resp *fasthttp.Response) bool {
	return len(resp.Header.Peek(g.dialect.Signature)) > 0 &&
		len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) == 0 &&
		string(resp.Header.Peek(g.dialect.RequestID)) == c.id
}

// recordOutcome takes what the end of a send tells of its target.
func (g *Gate) recordOutcome(c *call, s *send) {
	tg := s.candidate.target
	g.sendEnded(tg)
	if s.outcome != outcomeResponse {
		g.logLine(level.WarnValue(), "msg", "send failed", "id", c.id, "target", tg.ID, "outcome", s.outcome, "err", s.err,
			"status", s.status(), "stretch", s.candidate.report.Slowdown, "running", s.candidate.report.Running, "ms", time.Since(s.started).Milliseconds())
	}
	if s.outcome != outcomeUnsent && s.outcome != outcomeCallerGone {
		if now, changed := g.traffic.recordSend(c.serviceName(), s.outcome == outcomeNotExecuted); changed {
			g.logChange("msg", "overload of a service began or ended", "service", c.serviceName(), "overloaded", now, "limit", overloadLimit)
		}
	}
	switch s.outcome {
	case outcomeResponse:
		if r := &s.candidate.report; r.Slowdown <= calmSlowdown && r.Running < r.Slots {
			g.traffic.recordLatency(c.route, time.Since(s.started)-g.roundTrip(tg), r.Running, len(s.exchange.Resp.Body()))
		}
		g.clearQuarantine(c)
	case outcomeNotExecuted:
		g.traffic.recordFullQueue(c.serviceName(), g.dialect.ParseReport(s.exchange.Resp))
		g.backOff(tg, refusalBackoff)
		return
	case outcomeUnsent:
		c.sends--
		g.backOff(tg, failureBackoff)
		return
	case outcomeCallerGone:
		return
	case outcomeIncomplete:
		c.mayHaveRun = true
		go g.checkCrash(c, tg)
	case outcomeFailed, outcomeTimeout:
		c.mayHaveRun = true
	}
	f := &g.traffic
	f.mu.Lock()
	f.target(tg.ID).failureRate.observe(s.outcome != outcomeResponse, failureWeight)
	f.mu.Unlock()
}

func (s *send) status() string {
	if s.err != nil || s.exchange == nil {
		return ""
	}
	return fmt.Sprint(s.exchange.Resp.StatusCode())
}
