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
	outAnswer  outcome = iota + 1 // A whole answer, to be passed on.
	outFailed                     // A whole answer that says that the target failed.
	outNotRun                     // The target's word that it hasn't run the request.
	outUnsent                     // Nothing was written.
	outBroken                     // No answer, or not a whole one; the request may have run.
	outTimeout                    // No answer in time.
	outLeft                       // The caller has gone.
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"", "answer", "failed", "notrun", "unsent", "broken", "timeout", "left"}[o]
}

// judge says what the end of an exchange means.
func (g *Gate) judge(c *call, s *send) outcome {
	if s.err != nil {
		return judgeError(c, s)
	}
	resp := s.x.Resp
	switch {
	case g.dialect.NotExecuted(resp):
		return outNotRun
	case promisesNotRun(resp.StatusCode()) && !c.repeatable():
		// The target doesn't vouch for what the status says.
		s.err = errNotGenuine
		return outBroken
	case resp.StatusCode() >= 500:
		return outFailed
	case resp.StatusCode() < 300 && !g.genuine(c, resp):
		s.err = errNotGenuine
		return outBroken
	}
	return outAnswer
}

// promisesNotRun reports whether a caller reads a status as the promise that
// the request hasn't run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

func judgeError(c *call, s *send) outcome {
	var e *pimentohttp.Error
	switch {
	case !s.x.Sent():
		return outUnsent
	case c.hasLeft():
		return outLeft
	case errors.As(s.err, &e) && e.Kind == pimentohttp.KindTimeout:
		return outTimeout
	}
	return outBroken
}

var errNotGenuine = errors.New("the answer isn't signed, or belongs to another request")

// genuine reports whether a success is the target's own answer to this request.
func (g *Gate) genuine(c *call, resp *fasthttp.Response) bool {
	return len(resp.Header.Peek(g.dialect.Signature)) > 0 &&
		len(resp.Header.Peek(fasthttp.HeaderContentEncoding)) == 0 &&
		string(resp.Header.Peek(g.dialect.RequestID)) == c.id
}

// learn takes what the end of a send tells of its target.
func (g *Gate) learn(c *call, s *send) {
	tg := s.pick.target
	g.ended(tg)
	if s.outcome != outAnswer {
		g.note(level.WarnValue(), "msg", "send failed", "id", c.id, "target", tg.ID, "outcome", s.outcome, "err", s.err,
			"status", s.status(), "stretch", s.pick.report.Slowdown, "running", s.pick.report.Running, "ms", time.Since(s.started).Milliseconds())
	}
	if s.outcome != outUnsent && s.outcome != outLeft {
		if now, changed := g.flow.sent(c.part(), s.outcome == outNotRun); changed {
			g.noteChange("msg", "overload of a service began or ended", "service", c.part(), "overloaded", now, "limit", shedLimit)
		}
	}
	switch s.outcome {
	case outAnswer:
		if r := &s.pick.report; r.Slowdown <= calmStretch && r.Running < r.Slots {
			g.flow.learn(c.route, time.Since(s.started)-g.distance(tg), r.Running, len(s.x.Resp.Body()))
		}
		g.passed(c)
	case outNotRun:
		g.flow.learnQueue(c.part(), g.dialect.ParseReport(s.x.Resp))
		g.rest(tg, shedRest)
		return
	case outUnsent:
		c.sends--
		g.rest(tg, failRest)
		return
	case outLeft:
		return
	case outBroken:
		c.mayRan = true
		go g.broke(c, tg)
	case outFailed, outTimeout:
		c.mayRan = true
	}
	f := &g.flow
	f.mu.Lock()
	f.target(tg.ID).failing.add(s.outcome != outAnswer, failWeight)
	f.mu.Unlock()
}

func (s *send) status() string {
	if s.err != nil || s.x == nil {
		return ""
	}
	return fmt.Sprint(s.x.Resp.StatusCode())
}
