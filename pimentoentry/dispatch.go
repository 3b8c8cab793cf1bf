package pimentoentry

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// attempt is one exchange of a request and its response with one target.
type attempt struct {
	pimentohttp.Exchange
	target      *pimentotarget.Target
	sentAt      time.Duration // When the target was chosen.
	fingerprint pimentoretry.Fingerprint
	err         error
	// refused is set if the target's status means that the request was not executed.
	refused bool
}

// newAttempt returns an attempt to send the call to tg. sent is the time at which
// the target was chosen.
func (c *call) newAttempt(tg *pimentotarget.Target, sent time.Duration) *attempt {
	a := &attempt{target: tg, sentAt: sent, fingerprint: pimentoretry.Fingerprint(c.quarantineFingerprint())}
	a.Address = tg.Address
	a.Deadline = c.deadline
	if c.callerTimeout {
		a.BodyDeadline = c.deadline
	}
	a.Resp = fasthttp.AcquireResponse()
	return a
}

// send performs the attempt and reports its end to the service's table and to the
// quarantine, which must have allowed it. The caller has retained b, and send
// releases it, but not before the end of the write: a target may respond before it has
// read the whole body, and read on.
func (e *Entry) send(c *call, b *body, a *attempt) {
	req := c.targetRequest(time.Until(c.deadline))
	a.Req = req
	defer a.AfterWritten(func() {
		fasthttp.ReleaseRequest(req)
		b.release()
	})
	a.OnBodyEnd = func(end pimentohttp.BodyEnd) { e.onResponseEnd(c, a, end) }
	a.err = e.client.Do(&a.Exchange)
	if a.err == nil {
		a.refused = c.info.IsRefusal(a.Resp.StatusCode())
		sanitize(a.Resp)
		return
	}
	e.onFailure(c, a)
}

// onResponseEnd records the result of an attempt whose response has ended.
func (e *Entry) onResponseEnd(c *call, a *attempt, end pimentohttp.BodyEnd) {
	bootID := uint64(0)
	if c.info.BootHeader != "" {
		bootID = bootHash(a.Resp.Header.Peek(c.info.BootHeader))
	}
	res := pimentotarget.ResultOK
	switch {
	case end == pimentohttp.BodyIncomplete:
		e.counters.incomplete.Inc()
		res = pimentotarget.ResultIncomplete
	case end == pimentohttp.BodyCancelled:
		res = pimentotarget.ResultCancelled
	case c.info.IsRefusal(a.Resp.StatusCode()):
		res = pimentotarget.ResultRefused
	}
	e.recordPause(c.service, a.target, a.Resp, bootID)
	e.recordResult(c.service, a.target, a.sentAt, res, bootID)
	e.quarantine.completed(a.fingerprint)
}

// recordPause records the pause that a target's refusal of a request or probe asks for.
func (e *Entry) recordPause(s *service, tg *pimentotarget.Target, resp *fasthttp.Response, bootID uint64) {
	d, invalid := pimentohttp.RetryAfter(resp)
	if invalid != "" {
		e.counters.pausesIgnored.Inc()
		_ = level.Warn(e.log).Log("msg", "invalid pause ignored", "target", tg.Name, "value", invalid)
	}
	if d <= 0 {
		return
	}
	s.mu.Lock()
	began := s.table.Pause(e.now(), tg, bootID, d)
	s.mu.Unlock()
	if began {
		e.counters.targetPauses.Inc()
		_ = level.Info(e.log).Log("msg", "target paused", "target", tg.Name, "asked", d, "cut", d > pimentotarget.MaxPause)
	}
}

// onFailure records the result of an attempt without a response.
func (e *Entry) onFailure(c *call, a *attempt) {
	res := pimentotarget.ResultIncomplete
	switch a.errorKind() {
	case pimentohttp.KindDial:
		res = pimentotarget.ResultConnectFailed
	case pimentohttp.KindConnLimit, pimentohttp.KindCancelled:
		res = pimentotarget.ResultCancelled
	case pimentohttp.KindTimeout:
		res = pimentotarget.ResultTimeout
		e.onSilentConnection(a.Address)
	}
	e.recordResult(c.service, a.target, a.sentAt, res, 0)
	if a.errorKind() == pimentohttp.KindConnFailed && a.Sent() {
		e.onCrash(c, a)
		return
	}
	e.quarantine.release(a.fingerprint)
}

// poolClearInterval is the minimum time between two times that all idle connections
// are closed.
const poolClearInterval = time.Second

// onSilentConnection closes the idle connections to address after an exchange got no
// response before its deadline. The state of that connection was probably lost on the
// way or at the target, and that of other connections with it, so the idle connections
// to all targets are closed too, at most once per poolClearInterval; poolClearedAt is
// the time at which they were last closed.
func (e *Entry) onSilentConnection(address string) {
	e.client.CloseIdleTo(address)
	now := int64(e.now())
	last := e.poolClearedAt.Load()
	if now-last >= int64(poolClearInterval) && e.poolClearedAt.CompareAndSwap(last, now) {
		e.client.CloseAllIdle()
	}
}

// errorKind returns the kind of the attempt's error, or 0.
func (a *attempt) errorKind() pimentohttp.Kind {
	var err *pimentohttp.Error
	if errors.As(a.err, &err) {
		return err.Kind
	}
	return 0
}

// succeeded reports whether the target has executed the request and responded.
func (a *attempt) succeeded() bool { return a.err == nil && !a.refused }

// releaseResponse closes and releases the response of the attempt.
func (a *attempt) releaseResponse() {
	_ = a.Resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.Resp)
	a.Resp = nil
}

// retryReason returns the reason for a retry after this attempt.
func (a *attempt) retryReason() RetryReason {
	if a.refused {
		return RetryRefused
	}
	switch a.errorKind() {
	case pimentohttp.KindDial, pimentohttp.KindConnLimit, pimentohttp.KindStale:
		return RetryConnect
	case pimentohttp.KindInvalid:
		return RetryInvalid
	case pimentohttp.KindTimeout:
		return RetrySilent
	}
	return RetryBroken
}

// refusal returns the refusal that the caller gets if this was the last attempt.
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

// regionAllowed reports whether the active configuration still allows the
// organisation's requests in the target's region.
func (e *Entry) regionAllowed(c *call, tg *pimentotarget.Target) bool {
	return e.store.View().Allows(c.org, tg.Region)
}
