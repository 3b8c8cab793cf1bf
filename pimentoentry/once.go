package pimentoentry

import (
	"bufio"
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
	// maxIssue is the number of keys that one call hands out.
	maxIssue = 64
	// freshKeys is the number of keys in each answer on a non-idempotent route.
	freshKeys = 2
	// successorWait is the time for which a request waits until the successor
	// of a process that stops is known.
	successorWait = 3 * time.Second
	// peerPause is the time between two attempts to reach a key's holder.
	peerPause = 50 * time.Millisecond
	// maxPeerAttempts bounds the attempts to reach a key's holder.
	maxPeerAttempts = 4
)

func (c *call) scope() pimentokey.Scope {
	return pimentokey.Scope{Service: string(c.info.Name), Organisation: string(c.org)}
}

// once serves a non-idempotent request.
func (e *Entry) once(c *call) *refusal {
	text := string(c.req.Header.Peek(headerKey))
	if text == "" {
		if !e.issues(c) {
			return e.passOn(c)
		}
		return refuse(ReasonNoKey, RunNo, "the route needs a key in header "+headerKey)
	}
	key, err := pimentokey.Parse(text)
	if err != nil {
		return refuse(ReasonForged, RunNo, "the key was never issued").prove()
	}
	if _, here := e.keys.holder(key.Issuer); !here {
		return e.onceElsewhere(c, key)
	}
	if f := c.readBody(); f != nil {
		return f
	}
	return e.onceHere(c, key)
}

// onceElsewhere forwards the request to the holder of its key. It is safe to do
// so again, because the holder runs it once.
func (e *Entry) onceElsewhere(c *call, key pimentokey.Key) *refusal {
	if c.purpose == pimentolink.PurposeKeyHolder {
		return refuse(ReasonIssuer, RunUnknown, "the holder of the key has changed")
	}
	again := c.view.Allows(c.org, e.settings.Region)
	if again {
		if f := c.readBody(); f != nil {
			return f
		}
	}
	sent := false
	for n := 1; ; n++ {
		p, purpose := e.wayTo(key)
		if p != nil {
			err := e.forward(c, p, purpose)
			if err == nil {
				return nil
			}
			e.counters.retries[RetryPeer].Inc()
			sent = sent || !unreachable(err)
			if !again && sent {
				break
			}
		}
		if n == maxPeerAttempts || time.Until(c.deadline) < peerPause || c.ctx.Err() != nil {
			break
		}
		time.Sleep(peerPause)
	}
	if !sent {
		return refuse(ReasonUnsent, RunUnknown, "the holder of the key wasn't reached, and this copy of the request not sent to it; an earlier copy may have run")
	}
	return refuse(ReasonIssuer, RunUnknown, "the link to the holder of the key broke; the request may have run")
}

func unreachable(err error) bool {
	var linkErr *pimentolink.Error
	return errors.As(err, &linkErr) && linkErr.Kind == pimentolink.KindUnreachable
}

// wayTo returns the peer to which a request with the key is forwarded: the
// holder, or an entry of the region where the key was issued. It returns nil if
// neither is known.
func (e *Entry) wayTo(key pimentokey.Key) (*pimentopeer.Peer, pimentolink.Purpose) {
	holder, _ := e.keys.holder(key.Issuer)
	if p := e.peers.byIncarnation(holder); p != nil {
		return p, pimentolink.PurposeKeyHolder
	}
	if key.RegionHint == hint(e.settings.Region) {
		return nil, 0
	}
	return e.peers.byHint(e.now(), key.RegionHint), pimentolink.PurposeHomeRegion
}

// onceHere serves a request whose key this entry holds.
func (e *Entry) onceHere(c *call, key pimentokey.Key) *refusal {
	fingerprint := pimentokey.Fingerprint(c.digest())
	for {
		v, answer, settled := e.keys.begin(key, c.scope(), fingerprint)
		switch v {
		case pimentokey.DecisionDispatch:
			return e.runOnce(c, key)
		case pimentokey.DecisionWait:
			if f := c.wait(settled); f != nil {
				return f
			}
		case pimentokey.DecisionReplay:
			return replay(c.resp, answer)
		case pimentokey.DecisionEvicted:
			return refuse(ReasonForgotten, RunYes, "the request has run; its answer is no longer kept")
		case pimentokey.DecisionMismatch:
			return refuse(ReasonReused, RunNo, "another request was sent under the key").prove()
		case pimentokey.DecisionVoid:
			return refuse(ReasonVoid, RunNo, "the key was refused before and is void; a new one is needed").prove()
		case pimentokey.DecisionForged:
			return refuse(ReasonForged, RunNo, "the key was never issued for this service and organisation").prove()
		case pimentokey.DecisionStopped:
			return e.onceStopped(c)
		default:
			return refuse(ReasonLost, RunUnknown, "the answer to the request was lost; it may have run")
		}
	}
}

// wait waits for the end of another dispatch under the same key.
func (c *call) wait(settled <-chan struct{}) *refusal {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-settled:
		return nil
	case <-c.ctx.Done():
		return refuse(ReasonGone, RunUnknown, "the caller has gone")
	case <-timer.C:
		return refuse(ReasonSlow, RunUnknown, "the request is still running")
	}
}

// onceStopped serves a request under an unused key after this entry has begun
// to stop: its successor runs it.
func (e *Entry) onceStopped(c *call) *refusal {
	timer := time.NewTimer(min(successorWait, time.Until(c.deadline)))
	defer timer.Stop()
	select {
	case <-e.keys.settled:
	case <-timer.C:
	}
	next := e.keys.next()
	if next == nil {
		return refuse(ReasonStopping, RunNo, "the holder of the key stops, and no other entry can take the key over").prove()
	}
	if err := e.forward(c, next.peer, pimentolink.PurposeKeyHolder); err != nil {
		return refuse(ReasonIssuer, RunUnknown, "the successor of the key's holder wasn't reached")
	}
	return nil
}

func (k *keyring) next() *successor {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.successor
}

// runOnce dispatches a request that the ledger has allowed, and settles its key.
func (e *Entry) runOnce(c *call, key pimentokey.Key) *refusal {
	if o, ok := e.relayed(c); ok {
		e.keys.settle(key, o, keep(c.resp))
		return nil
	}
	var avoid []*pimentotarget.Target
	for n := 1; ; {
		a, f := e.sendOnce(c, avoid)
		if f == handOver {
			if o, ok := e.relayed(c); ok {
				e.keys.settle(key, o, keep(c.resp))
				return nil
			}
			continue
		}
		if f != nil {
			e.keys.settle(key, pimentokey.OutcomeNotExecuted, nil)
			return f.prove()
		}
		if a.ok() {
			e.keys.settle(key, pimentokey.OutcomeExecuted, keep(a.Resp))
			move(c.resp, a.Resp)
			e.pace(c, a.target.Region)
			return nil
		}
		f = a.refusal()
		a.discard()
		switch {
		case f.run == RunUnknown:
			e.keys.settle(key, pimentokey.OutcomeUnknown, nil)
			return refuse(ReasonLost, RunUnknown, "the target's answer was lost; the request may have run")
		case n == maxAttempts || time.Now().After(c.deadline):
			e.keys.settle(key, pimentokey.OutcomeNotExecuted, nil)
			return f.prove()
		}
		e.counters.retries[a.retryReason()].Inc()
		avoid = append(avoid, a.target)
		n++
	}
}

// sendOnce waits for a target and sends the request to it on a new connection.
// A refusal says that nothing was sent.
func (e *Entry) sendOnce(c *call, avoid []*pimentotarget.Target) (*attempt, *refusal) {
	r := requests.Get().(*pimentotarget.Request)
	defer requests.Put(r)
	c.fill(r, e.now(), avoid)
	if !e.store.View().Allows(c.org, e.settings.Region) {
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions don't include this one")
	}
	if f := e.bind(c, r); f != nil {
		return nil, f
	}
	a := c.newAttempt(r.Target, r.Sent)
	if !e.allowed(c, r.Target) || !e.quarantine.allow(a.print, c.deadline) {
		e.done(c.service, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
		a.discard()
		return nil, refuse(ReasonHome, RunNo, "the organisation's home regions have changed")
	}
	a.NewConn = true
	e.send(c, c.body.retain(), a)
	return a, nil
}

// maxKept bounds the body in bytes of an answer that is kept.
const maxKept = 64 << 10

// keep returns a copy of an answer for resends, or nil if it isn't kept.
func keep(resp *fasthttp.Response) *pimentokey.Response {
	if resp.IsBodyStream() || len(resp.Body()) > maxKept {
		return nil
	}
	return &pimentokey.Response{
		Status: resp.StatusCode(),
		Header: bytes.Clone(resp.Header.Header()),
		Body:   bytes.Clone(resp.Body()),
	}
}

// replay writes a kept answer.
func replay(resp *fasthttp.Response, a *pimentokey.Response) *refusal {
	if err := resp.Header.Read(bufio.NewReaderSize(bytes.NewReader(a.Header), len(a.Header)+1)); err != nil {
		return refuse(ReasonForgotten, RunYes, "the request has run; its answer is no longer kept")
	}
	pimentohttp.DelHopHeaders(&resp.Header)
	resp.SetBody(a.Body)
	return nil
}
