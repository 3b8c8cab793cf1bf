package pimentoentry

import (
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentotarget"
)

const (
	// maxKeysPerCall bounds the keys that one call to the keys path returns.
	maxKeysPerCall = 64
	// keysPerResponse is the number of unused keys in each response on a
	// non-idempotent route.
	keysPerResponse = 2
	// successorTimeout bounds the time for which a request waits until the successor
	// of this stopping process is known.
	successorTimeout = 3 * time.Second
	// peerRetryPause is the time between two attempts to reach a key's holder.
	peerRetryPause = 50 * time.Millisecond
	// maxPeerAttempts bounds the attempts to reach a key's holder, or an entry of a
	// home region.
	maxPeerAttempts = 4
)

// scope returns the service and organisation for which the call's keys are valid.
func (c *call) scope() pimentokey.Scope {
	return pimentokey.Scope{Service: string(c.info.Name), Organisation: string(c.org)}
}

// serveNonIdempotent serves a non-idempotent request: the holder of its key runs it.
func (e *Entry) serveNonIdempotent(c *call) *refusal {
	text := string(c.req.Header.Peek(headerKey))
	if text == "" {
		if !e.mayIssueKeys(c) {
			return e.forwardHome(c)
		}
		return refuse(ReasonNoKey, RunNo, "the route needs a key in header "+headerKey)
	}
	key, err := pimentokey.Parse(text)
	if err != nil {
		return refuse(ReasonForged, RunNo, "the key was never issued").forAllCopies()
	}
	if _, here := e.keys.holder(key.Issuer); !here {
		return e.forwardToHolder(c, key)
	}
	if f := c.readBody(); f != nil {
		return f
	}
	return e.serveHeldKey(c, key)
}

// forwardToHolder forwards the request to the holder of its key. Retries are safe,
// because the holder runs the request at most once. A request whose organisation
// doesn't allow this region is retried only until it has been sent, because its body
// isn't kept here.
func (e *Entry) forwardToHolder(c *call, key pimentokey.Key) *refusal {
	if c.purpose == pimentolink.PurposeKeyHolder {
		return refuse(ReasonIssuer, RunUnknown, "the holder of the key has changed")
	}
	retryable := c.view.Allows(c.org, e.settings.Region)
	if retryable {
		if f := c.readBody(); f != nil {
			return f
		}
	}
	sent := false
	for n := 1; ; n++ {
		p, purpose := e.peerForKey(key)
		if p != nil {
			err := e.forward(c, p, purpose)
			if err == nil {
				return nil
			}
			e.counters.retries[RetryPeer].Inc()
			sent = sent || !isUnreachable(err)
			if !retryable && sent {
				break
			}
		}
		if n == maxPeerAttempts || time.Until(c.deadline) < peerRetryPause || c.ctx.Err() != nil {
			break
		}
		time.Sleep(peerRetryPause)
	}
	if !sent {
		return refuse(ReasonUnsent, RunUnknown, "the holder of the key wasn't reached, and this copy of the request not sent to it; an earlier copy may have run")
	}
	return refuse(ReasonIssuer, RunUnknown, "the link to the holder of the key broke; the request may have run")
}

// isUnreachable reports whether the peer wasn't reached, so that nothing was sent.
func isUnreachable(err error) bool {
	var linkErr *pimentolink.Error
	return errors.As(err, &linkErr) && linkErr.Kind == pimentolink.KindUnreachable
}

// peerForKey returns the peer to which a request with the key is forwarded, and the
// purpose of forwarding: the holder of the key or, if the holder isn't known and the
// key was issued in another region, an entry of that region. It returns nil if there is
// no such peer.
func (e *Entry) peerForKey(key pimentokey.Key) (*pimentopeer.Peer, pimentolink.Purpose) {
	holder, _ := e.keys.holder(key.Issuer)
	if p := e.peers.byIncarnation(holder); p != nil {
		return p, pimentolink.PurposeKeyHolder
	}
	if key.RegionHint == regionHint(e.settings.Region) {
		return nil, 0
	}
	return e.peers.byHint(e.now(), key.RegionHint), pimentolink.PurposeHomeRegion
}

// serveHeldKey serves a request whose key this entry holds, as the ledger decides.
func (e *Entry) serveHeldKey(c *call, key pimentokey.Key) *refusal {
	fingerprint := pimentokey.Fingerprint(c.contentHash())
	for {
		decision, response, resolved := e.keys.begin(key, c.scope(), fingerprint)
		switch decision {
		case pimentokey.DecisionDispatch:
			return e.dispatchOnce(c, key)
		case pimentokey.DecisionWait:
			if f := c.awaitResolved(resolved); f != nil {
				return f
			}
		case pimentokey.DecisionReplay:
			return replayResponse(c.resp, response)
		case pimentokey.DecisionEvicted:
			return refuse(ReasonForgotten, RunYes, "the request has run; its answer is no longer kept")
		case pimentokey.DecisionMismatch:
			return refuse(ReasonReused, RunNo, "another request was sent under the key").forAllCopies()
		case pimentokey.DecisionVoid:
			return refuse(ReasonVoid, RunNo, "the key was refused before and is void; a new one is needed").forAllCopies()
		case pimentokey.DecisionForged:
			return refuse(ReasonForged, RunNo, "the key was never issued for this service and organisation").forAllCopies()
		case pimentokey.DecisionStopped:
			return e.forwardToSuccessor(c)
		default:
			return refuse(ReasonLost, RunUnknown, "the answer to the request was lost; it may have run")
		}
	}
}

// awaitResolved waits until another dispatch under the same key is resolved. It
// returns a refusal if the caller disconnects or the deadline passes before.
func (c *call) awaitResolved(resolved <-chan struct{}) *refusal {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-resolved:
		return nil
	case <-c.ctx.Done():
		return refuse(ReasonGone, RunUnknown, "the caller has gone")
	case <-timer.C:
		return refuse(ReasonSlow, RunUnknown, "the request is still running")
	}
}

// forwardToSuccessor serves a request under an unused key after this entry has begun
// to stop: it forwards it to the successor, which runs it.
func (e *Entry) forwardToSuccessor(c *call) *refusal {
	timer := time.NewTimer(min(successorTimeout, time.Until(c.deadline)))
	defer timer.Stop()
	select {
	case <-e.keys.handoverEnded:
	case <-timer.C:
	}
	next := e.keys.currentSuccessor()
	if next == nil {
		return refuse(ReasonStopping, RunNo, "the holder of the key stops, and no other entry can take the key over").forAllCopies()
	}
	if err := e.forward(c, next.peer, pimentolink.PurposeKeyHolder); err != nil {
		return refuse(ReasonIssuer, RunUnknown, "the successor of the key's holder wasn't reached")
	}
	return nil
}

// currentSuccessor returns the successor of this process, or nil if there is none yet.
func (k *keyring) currentSuccessor() *successor {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.successor
}

// dispatchOnce dispatches a request that the ledger allows, and resolves its key. It
// tries another target only if the previous one has not executed the request.
func (e *Entry) dispatchOnce(c *call, key pimentokey.Key) *refusal {
	if o, ok := e.relayToOwner(c); ok {
		e.keys.resolve(key, o, storedResponse(c.resp))
		return nil
	}
	var avoid []*pimentotarget.Target
	for n := 1; ; {
		a, f := e.sendOnce(c, avoid)
		if f == ownerChanged {
			if o, ok := e.relayToOwner(c); ok {
				e.keys.resolve(key, o, storedResponse(c.resp))
				return nil
			}
			continue
		}
		if f != nil {
			e.keys.resolve(key, pimentokey.OutcomeNotExecuted, nil)
			return f.forAllCopies()
		}
		if a.succeeded() {
			e.keys.resolve(key, pimentokey.OutcomeExecuted, storedResponse(a.Resp))
			moveResponse(c.resp, a.Resp)
			e.paceResponse(c, a.target.Region)
			return nil
		}
		f = a.refusal()
		a.releaseResponse()
		switch {
		case f.run == RunUnknown:
			e.keys.resolve(key, pimentokey.OutcomeUnknown, nil)
			return refuse(ReasonLost, RunUnknown, "the target's answer was lost; the request may have run")
		case n == maxAttempts || time.Now().After(c.deadline):
			e.keys.resolve(key, pimentokey.OutcomeNotExecuted, nil)
			return f.forAllCopies()
		}
		e.counters.retries[a.retryReason()].Inc()
		avoid = append(avoid, a.target)
		n++
	}
}

// sendOnce waits for a target and sends the request to it on a new connection. A
// refusal means that nothing was sent.
func (e *Entry) sendOnce(c *call, avoid []*pimentotarget.Target) (*attempt, *refusal) {
	r := requestPool.Get().(*pimentotarget.Request)
	defer requestPool.Put(r)
	c.fillRequest(r, e.now(), avoid)
	if !e.store.View().Allows(c.org, e.settings.Region) {
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions don't include this one")
	}
	if f := e.acquireTarget(c, r); f != nil {
		return nil, f
	}
	a := c.newAttempt(r.Target, r.Sent)
	if !e.regionAllowed(c, r.Target) || !e.quarantine.allow(a.fingerprint, c.deadline) {
		e.recordResult(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		a.releaseResponse()
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions have changed")
	}
	a.NewConn = true
	e.send(c, c.body.retain(), a)
	return a, nil
}

// maxStoredBytes bounds in bytes the body of a response that is stored for resends.
const maxStoredBytes = 64 << 10

// storedResponse returns a copy of a response for resends, or nil if the response is
// streamed or its body is larger than maxStoredBytes.
func storedResponse(resp *fasthttp.Response) *pimentokey.Response {
	if resp.IsBodyStream() || len(resp.Body()) > maxStoredBytes {
		return nil
	}
	return &pimentokey.Response{
		Status: resp.StatusCode(),
		Header: bytes.Clone(resp.Header.Header()),
		Body:   bytes.Clone(resp.Body()),
	}
}

// replayResponse writes a stored response to resp. It returns a refusal if the stored
// header can't be parsed.
func replayResponse(resp *fasthttp.Response, stored *pimentokey.Response) *refusal {
	if err := pimentohttp.ReadHead(&resp.Header, stored.Header); err != nil {
		return refuse(ReasonForgotten, RunYes, "the request has run; its answer is no longer kept")
	}
	pimentohttp.DelHopHeaders(&resp.Header)
	resp.SetBody(stored.Body)
	return nil
}
