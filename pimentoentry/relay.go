package pimentoentry

import (
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
)

// relayToOwner dispatches a non-idempotent request through the owner of a cold
// target, if this entry may send to no target itself. It reports false if the request
// was certainly not executed, so that this entry may still send it.
func (e *Entry) relayToOwner(c *call) (pimentokey.Outcome, bool) {
	owner, must, ok := e.coldOwner(c)
	if !ok || !must {
		return 0, false
	}
	p := e.peers.find(owner)
	if p == nil {
		return 0, false
	}
	err := e.forward(c, p, pimentolink.PurposeRelay)
	switch {
	case isUnreachable(err):
		return 0, false
	case err != nil:
		refuse(ReasonLost, RunUnknown, "the link to a target's owner broke; the request may have run").write(c.resp)
		return pimentokey.OutcomeUnknown, true
	}
	return e.relayOutcome(c)
}

// relayOutcome derives the outcome of the dispatch from the owner's response. It
// reports false if the request was not executed.
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

// serveRelayed sends a non-idempotent request at most once, for the holder of its key,
// which alone checks the key.
func (e *Entry) serveRelayed(c *call) *refusal {
	if f := c.readBody(); f != nil {
		return f.forAllCopies()
	}
	a, f := e.sendOnce(c, nil)
	if f != nil {
		return f.forAllCopies()
	}
	if a.succeeded() {
		moveResponse(c.resp, a.Resp)
		return nil
	}
	f = a.refusal()
	a.releaseResponse()
	return f.forAllCopies()
}

// ownHeaders lists the response headers that only this system sets.
var ownHeaders = []string{headerRun, headerReason, headerKeys}

// sanitize removes headers that only this system sets from a target's response.
func sanitize(resp *fasthttp.Response) {
	for _, name := range ownHeaders {
		resp.Header.Del(name)
	}
}
