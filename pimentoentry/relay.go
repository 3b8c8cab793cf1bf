package pimentoentry

import (
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
)

// relayed dispatches a non-idempotent request through the owner of a cold
// target, if this entry may send to no target itself. It reports false if that
// provably did not send the request, so that this entry may still do so.
func (e *Entry) relayed(c *call) (pimentokey.Outcome, bool) {
	owner, must, ok := e.helper(c)
	if !ok || !must {
		return 0, false
	}
	p := e.peers.find(owner)
	if p == nil {
		return 0, false
	}
	err := e.forward(c, p, pimentolink.PurposeRelay)
	switch {
	case unreachable(err):
		return 0, false
	case err != nil:
		refuse(ReasonLost, RunUnknown, "the link to a target's owner broke; the request may have run").write(c.resp)
		return pimentokey.OutcomeUnknown, true
	}
	return e.relayOutcome(c)
}

// relayOutcome tells from the owner's answer how the dispatch ended.
func (e *Entry) relayOutcome(c *call) (pimentokey.Outcome, bool) {
	if len(c.resp.Header.Peek(headerReason)) == 0 {
		return pimentokey.OutcomeExecuted, true
	}
	if Run(c.resp.Header.Peek(headerRun)) == RunNo {
		c.resp.Reset()
		return 0, false
	}
	return pimentokey.OutcomeUnknown, true
}

// relay sends a non-idempotent request for the holder of its key, once at the
// most. The key itself is the holder's concern.
func (e *Entry) relay(c *call) *refusal {
	if f := c.readBody(); f != nil {
		return f.prove()
	}
	a, f := e.sendOnce(c, nil)
	if f != nil {
		return f.prove()
	}
	if a.ok() {
		move(c.resp, a.Resp)
		return nil
	}
	f = a.refusal()
	a.discard()
	return f.prove()
}

// ownHeaders are set by this system only.
var ownHeaders = []string{headerRun, headerReason, headerKeys}

// sanitize removes headers from a target's answer that only this system sets.
func sanitize(resp *fasthttp.Response) {
	for _, name := range ownHeaders {
		resp.Header.Del(name)
	}
}
