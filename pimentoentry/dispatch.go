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
	target    *pimentotarget.Target
	sent      time.Duration
	requestID pimentoretry.Print
	err       error
	// refused is set if the target said that it did not run the request.
	refused bool
}

// newAttempt returns an attempt at a target that was chosen at the time sent.
func (c *call) newAttempt(tg *pimentotarget.Target, sent time.Duration) *attempt {
	a := &attempt{target: tg, sent: sent, requestID: pimentoretry.Print(c.requestID())}
	a.Address = tg.Address
	a.Deadline = c.deadline
	if c.callerTimeout {
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
	a.Req = c.targetRequest(time.Until(c.deadline))
	defer fasthttp.ReleaseRequest(a.Req)
	a.Ended = func(end pimentohttp.End) { e.onResponseEnd(c, a, end) }
	a.err = e.client.Do(&a.Exchange)
	if a.err == nil {
		a.refused = c.info.IsRefusal(a.Resp.StatusCode())
		sanitize(a.Resp)
		return
	}
	e.onFailure(c, a)
}

// onResponseEnd takes the end of an answer.
func (e *Entry) onResponseEnd(c *call, a *attempt, end pimentohttp.End) {
	boot := uint64(0)
	if c.info.Boot != "" {
		boot = bootHash(a.Resp.Header.Peek(c.info.Boot))
	}
	res := pimentotarget.ResultOK
	switch {
	case end == pimentohttp.EndBroken:
		e.counters.incomplete.Inc()
		res = pimentotarget.ResultBroken
	case end == pimentohttp.EndCancelled:
		res = pimentotarget.ResultCancelled
	case c.info.IsRefusal(a.Resp.StatusCode()):
		res = pimentotarget.ResultRefused
	}
	e.recordResult(c.service, a.target, a.sent, res, boot)
	e.quarantine.completed(a.requestID)
}

// onFailure takes the end of an attempt without an answer.
func (e *Entry) onFailure(c *call, a *attempt) {
	res := pimentotarget.ResultBroken
	switch a.errorKind() {
	case pimentohttp.KindConnect:
		res = pimentotarget.ResultConnect
	case pimentohttp.KindBusy, pimentohttp.KindCancelled:
		res = pimentotarget.ResultCancelled
	case pimentohttp.KindTimeout:
		res = pimentotarget.ResultTimeout
		e.onSilentConnection(a.Address)
	}
	e.recordResult(c.service, a.target, a.sent, res, 0)
	if a.errorKind() == pimentohttp.KindBroken && a.Sent() {
		e.onCrash(c, a)
		return
	}
	e.quarantine.ended(a.requestID)
}

// poolClearInterval is the least time between two losses of all idle connections.
const poolClearInterval = time.Second

// onSilentConnection takes a connection that stayed onSilentConnection. Whatever lost track of it has
// probably lost others, so that idle ones aren't used again.
func (e *Entry) onSilentConnection(address string) {
	e.client.ForgetIdle(address)
	now := int64(e.now())
	last := e.poolClearedAt.Load()
	if now-last >= int64(poolClearInterval) && e.poolClearedAt.CompareAndSwap(last, now) {
		e.client.ForgetAll()
	}
}

// errorKind returns the errorKind of the attempt's error, or zero.
func (a *attempt) errorKind() pimentohttp.Kind {
	var err *pimentohttp.Error
	if errors.As(a.err, &err) {
		return err.Kind
	}
	return 0
}

// succeeded reports whether the target answered the request.
func (a *attempt) succeeded() bool { return a.err == nil && !a.refused }

// releaseResponse gives up the answer of an attempt.
func (a *attempt) releaseResponse() {
	_ = a.Resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.Resp)
	a.Resp = nil
}

// retryReason says why another attempt is made after this one.
func (a *attempt) retryReason() RetryReason {
	if a.refused {
		return RetryRefused
	}
	switch a.errorKind() {
	case pimentohttp.KindConnect, pimentohttp.KindBusy, pimentohttp.KindStale:
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
	if a.errorKind() == pimentohttp.KindTimeout {
		return refuse(ReasonSlow, run, "the deadline passed while a target had the request")
	}
	return refuse(ReasonFailed, run, "the targets failed")
}

// regionAllowed reports whether the organisation's requests may still be sent to the
// target's region, by the rules in force now.
func (e *Entry) regionAllowed(c *call, tg *pimentotarget.Target) bool {
	return e.store.View().Allows(c.org, tg.Region)
}
