package pimentoentry

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// attempt is one exchange with one target.
type attempt struct {
	pimentohttp.Exchange
	target *pimentotarget.Target
	sent   time.Duration
	print  pimentoretry.Fingerprint
	err    error
	// refused is set if the target said that it did not run the request.
	refused bool
}

// newAttempt returns an attempt at a target that was chosen at the time sent.
func (c *call) newAttempt(tg *pimentotarget.Target, sent time.Duration) *attempt {
	a := &attempt{target: tg, sent: sent, print: pimentoretry.Fingerprint(c.print())}
	a.Address = tg.Address
	a.Deadline = c.deadline
	if c.limited {
		a.BodyDeadline = c.deadline
	}
	a.Resp = fasthttp.AcquireResponse()
	return a
}

// send performs the attempt and reports its end to the service's table and to
// the quarantine. The quarantine has allowed it. The body is retained by the
// caller and released here.
func (e *Entry) send(c *call, b *body, a *attempt) {
	defer b.release()
	a.Req = c.outgoing(time.Until(c.deadline))
	defer fasthttp.ReleaseRequest(a.Req)
	a.OnBodyEnd = func(end pimentohttp.BodyEnd) { e.ended(c, a, end) }
	a.err = e.client.Do(&a.Exchange)
	if a.err == nil {
		a.refused = c.info.IsRefusal(a.Resp.StatusCode())
		sanitize(a.Resp)
		return
	}
	e.failed(c, a)
}

// ended takes the end of an answer.
func (e *Entry) ended(c *call, a *attempt, end pimentohttp.BodyEnd) {
	boot := uint64(0)
	if c.info.BootHeader != "" {
		boot = bootMark(a.Resp.Header.Peek(c.info.BootHeader))
	}
	res := pimentotarget.ResultOK
	switch {
	case end == pimentohttp.BodyIncomplete:
		e.counters.short.Inc()
		res = pimentotarget.ResultIncomplete
	case end == pimentohttp.BodyCancelled:
		res = pimentotarget.ResultCancelled
	case c.info.IsRefusal(a.Resp.StatusCode()):
		res = pimentotarget.ResultRefused
	}
	e.done(c.service, a.target, a.sent, res, boot)
	e.quarantine.passed(a.print)
}

// failed takes the end of an attempt without an answer.
func (e *Entry) failed(c *call, a *attempt) {
	res := pimentotarget.ResultIncomplete
	switch a.kind() {
	case pimentohttp.KindDial:
		res = pimentotarget.ResultConnectFailed
	case pimentohttp.KindConnLimit, pimentohttp.KindCancelled:
		res = pimentotarget.ResultCancelled
	case pimentohttp.KindTimeout:
		res = pimentotarget.ResultTimeout
		e.silent(a.Address)
	}
	e.done(c.service, a.target, a.sent, res, 0)
	if a.kind() == pimentohttp.KindConnFailed && a.Sent() {
		e.crashed(c, a)
		return
	}
	e.quarantine.ended(a.print)
}

// forgetPause is the least time between two losses of all idle connections.
const forgetPause = time.Second

// silent takes a connection that stayed silent. Whatever lost track of it has
// probably lost others, so that idle ones aren't used again.
func (e *Entry) silent(address string) {
	e.client.CloseIdleTo(address)
	now := int64(e.now())
	last := e.forgotAt.Load()
	if now-last >= int64(forgetPause) && e.forgotAt.CompareAndSwap(last, now) {
		e.client.CloseAllIdle()
	}
}

// kind returns the kind of the attempt's error, or zero.
func (a *attempt) kind() pimentohttp.Kind {
	var err *pimentohttp.Error
	if errors.As(a.err, &err) {
		return err.Kind
	}
	return 0
}

// ok reports whether the target answered the request.
func (a *attempt) ok() bool { return a.err == nil && !a.refused }

// discard gives up the answer of an attempt.
func (a *attempt) discard() {
	_ = a.Resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.Resp)
	a.Resp = nil
}

// retryReason says why another attempt is made after this one.
func (a *attempt) retryReason() RetryReason {
	if a.refused {
		return RetryRefused
	}
	switch a.kind() {
	case pimentohttp.KindDial, pimentohttp.KindConnLimit, pimentohttp.KindStale:
		return RetryConnect
	case pimentohttp.KindInvalid:
		return RetryInvalid
	case pimentohttp.KindTimeout:
		return RetrySilent
	}
	return RetryBroken
}

// refusal says to the caller how the last attempt failed.
func (a *attempt) refusal() *refusal {
	if a.refused {
		return refuse(ReasonRefused, RunNo, "the targets refused the request")
	}
	run := RunUnknown
	if !a.Sent() {
		run = RunNo
	}
	if a.kind() == pimentohttp.KindTimeout {
		return refuse(ReasonSlow, run, "the deadline passed while a target had the request")
	}
	return refuse(ReasonFailed, run, "the targets failed")
}

// allowed reports whether the organisation's requests may still be sent to the
// target's region, by the rules in force now.
func (e *Entry) allowed(c *call, tg *pimentotarget.Target) bool {
	return e.store.View().Allows(c.org, tg.Region)
}
