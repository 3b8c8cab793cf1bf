package pimentogate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
)

// outcome is the result of a send. A response above maxBufferedResponse counts as
// complete while its body is still being received. After all but
// outcomeNotExecuted and outcomeUnsent, the request may have been executed.
type outcome uint8

const (
	outcomeResponse    outcome = iota + 1 // A complete response, to be forwarded.
	outcomeFailed                         // A complete response with a server error.
	outcomeNotExecuted                    // Not executed, as the target states.
	outcomeUnsent                         // Nothing was written.
	outcomeIncomplete                     // No complete and authentic response.
	outcomeTimeout                        // No response in time.
	outcomeCallerGone                     // The call was abandoned.
	outcomeSilent                         // No response will come, see Gate.dropSilent.
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"", "answer", "failed", "notrun", "unsent", "broken", "timeout", "left", "silent"}[o]
}

// classify returns the outcome of an exchange that has ended.
func (g *Gate) classify(c *call, s *send) outcome {
	if s.err != nil {
		return classifyError(c, s)
	}
	resp := s.exchange.Resp
	switch {
	case g.dialect.NotExecuted(resp) && (c.retryable() || g.echoesID(c, resp)):
		return outcomeNotExecuted
	case !g.echoesID(c, resp): // Of any status: it may be a late one to another request.
		s.err = errForeign
		return outcomeIncomplete
	case impliesNotExecuted(resp.StatusCode()) && !c.retryable():
		// The status implies that a request wasn't executed, but the target gives no
		// proof that it was this one.
		s.err = errUnproven
		return outcomeIncomplete
	case resp.StatusCode() >= 500:
		return outcomeFailed
	case !g.isSigned(resp): // Below 500, callers act on what it says of the request.
		s.err = errUnsigned
		return outcomeIncomplete
	case resp.StatusCode() < 300 && len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) > 0:
		// The status is the target's, but the body isn't.
		s.err = errEncoded
		return outcomeIncomplete
	}
	return outcomeResponse
}

// impliesNotExecuted reports whether callers take a status as a promise that the
// request wasn't executed.
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
	case c.isAbandoned():
		return outcomeCallerGone
	case s.silent.Load():
		return outcomeSilent
	case errors.As(s.err, &e) && e.Kind == pimentohttp.KindTimeout:
		return outcomeTimeout
	}
	return outcomeIncomplete
}

// Errors of complete responses that aren't forwarded.
var (
	errForeign  = errors.New("the response doesn't have the request's ID")
	errUnproven = errors.New("the response says that the request wasn't executed, without proof")
	errUnsigned = errors.New("the response is unsigned")
	errEncoded  = errors.New("the response is content-encoded")
)

// isRejected reports whether an error is that of a complete response that isn't forwarded.
func isRejected(err error) bool {
	switch err {
	case errForeign, errUnproven, errUnsigned, errEncoded:
		return true
	}
	return false
}

// isSigned reports whether a response carries the signature of the target's own responses.
func (g *Gate) isSigned(resp *fasthttp.Response) bool {
	return len(resp.Header.Peek(g.dialect.Signature)) > 0
}

// echoesID reports whether a response carries the request's ID. One without it may be
// that to an earlier request on the connection.
func (g *Gate) echoesID(c *call, resp *fasthttp.Response) bool {
	return string(resp.Header.Peek(g.dialect.RequestID)) == c.id
}

// recordOutcome updates the statistics, backoff and quarantine with the outcome of
// a send.
func (g *Gate) recordOutcome(c *call, s *send) {
	tg := s.candidate.target
	g.sendEnded(tg)
	if s.outcome != outcomeResponse {
		fields := []any{"msg", "send failed", "id", c.id, "target", tg.ID, "outcome", s.outcome, "err", s.err,
			"status", s.status(), "stretch", s.candidate.report.Slowdown, "running", s.candidate.report.Running, "ms", time.Since(s.started).Milliseconds()}
		fields = append(fields, s.bodyFields()...)
		g.logLine(level.WarnValue(), append(fields, s.homesFields()...)...)
	}
	if s.outcome != outcomeUnsent && s.outcome != outcomeCallerGone {
		if overloaded, changed := g.traffic.recordSend(c.serviceName(), s.outcome == outcomeNotExecuted); changed {
			g.logChange("msg", "overload of a service began or ended", "service", c.serviceName(), "overloaded", overloaded, "limit", overloadLimit)
		}
	}
	switch s.outcome {
	case outcomeResponse:
		if r := &s.candidate.report; r.Slowdown <= calmSlowdown && r.Running < r.Slots {
			g.traffic.recordLatency(c.route, c.serviceName(), time.Since(s.started)-g.roundTrip(tg), r.Running, responseLength(s.exchange.Resp))
		}
		g.recordReport(tg, g.dialect.ParseReport(s.exchange.Resp))
		g.clearQuarantine(c)
	case outcomeNotExecuted:
		g.regainQuota(c, s)
		g.traffic.recordFullQueue(c.serviceName(), g.dialect.ParseReport(s.exchange.Resp))
		g.backOff(tg, refusalBackoff)
		return
	case outcomeUnsent:
		g.regainQuota(c, s)
		c.sends--
		switch {
		case errors.Is(s.err, errNotAllowed): // It isn't for the target.
		case errors.Is(s.err, errHomeMoved): // The target may be in a home again later.
			c.tried = slices.DeleteFunc(c.tried, func(id pimentoroute.TargetID) bool { return id == tg.ID })
		default:
			g.backOff(tg, failureBackoff)
		}
		return
	case outcomeCallerGone:
		return
	case outcomeSilent: // The target is full, and hasn't failed.
		c.mayHaveRun = true
		return
	case outcomeIncomplete:
		c.mayHaveRun = true
		s.crashChecked = make(chan struct{})
		go func() {
			defer close(s.crashChecked)
			g.checkCrash(c, s)
		}()
	case outcomeFailed, outcomeTimeout:
		c.mayHaveRun = true
		if s.asksForPause(&g.dialect) {
			return // The target's own wish, not a failure.
		}
	}
	ts := &g.traffic
	ts.mu.Lock()
	ts.target(tg.ID).failureRate.observe(s.outcome != outcomeResponse, failureWeight)
	ts.mu.Unlock()
}

// unknownLength is the length of a response that isn't known.
const unknownLength = -1

// responseLength returns the length of a response's body in bytes, or unknownLength. It
// doesn't read a body that is a stream, which is forwarded while it is received.
func responseLength(resp *fasthttp.Response) int {
	if resp.IsBodyStream() {
		return max(unknownLength, resp.Header.ContentLength())
	}
	return len(resp.Body())
}

// asksForPause reports whether the response asks for a pause.
func (s *send) asksForPause(d *Dialect) bool {
	return s.err == nil && s.exchange != nil && d.ParseNotice(s.exchange.Resp).Pause > 0
}

// status returns the status of the response for the log, "" without a complete one.
func (s *send) status() string {
	if s.exchange == nil || (s.err != nil && !isRejected(s.err)) {
		return ""
	}
	return fmt.Sprint(s.exchange.Resp.StatusCode())
}
