package pimentogate

import (
	"time"

	"pimentoarch/pimentofeed"
)

// A refusal with a 4xx status tells the caller not to send the request again. Where it follows
// from the configuration, it needs proof that no newer one may allow the request. Without
// proof the status is 503: the request wasn't executed, and may be sent again.

const (
	// provenAge is the age of the feed above which the configuration proves nothing. By then
	// each entry has begun to read the platform itself, and may have had an answer.
	provenAge = pimentofeed.MaxTakeoverAge + answerTime
	// provenOverdue is the same for the time since the last moment at which an answer to an
	// entry that reads the platform was due.
	provenOverdue = pimentofeed.MaxTakeoverDelay + answerTime
	// answerTime is the time for an entry's first answer after it has begun to read the
	// platform.
	answerTime = 400 * time.Millisecond
)

const (
	// proofWait is the time for which a request waits for the proof that the first
	// configuration of an entry is current.
	proofWait = 500 * time.Millisecond
	// proofCheckInterval is the time between two checks.
	proofCheckInterval = 10 * time.Millisecond
)

// doubt returns why the configuration doesn't prove that a request is wrong, or reasonNone. The
// table that refuses the request must be loaded afterwards.
func (g *Gate) doubt() reason {
	if t := g.table.Load(); t == nil || t.Config == nil {
		return reasonUnconfigured
	}
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	proven := cs.isProven(g.now())
	if g.applyBound.InForce() {
		proven = g.currentStaleness() == fresh && cs.isConclusive()
	}
	if !proven {
		return reasonUnconfirmed
	}
	return reasonNone
}

// isConclusive reports whether the newest configuration is among the items, if they are recent. It
// is called with mu held.
func (cs *clusterState) isConclusive() bool {
	return !cs.staleRead && !cs.undecoded && !cs.configRemoved && cs.clock.suspended() <= pauseLimit
}

// isProven reports whether no newer configuration than that of the items may be in force. It is
// for entries without a bound of the age: it goes by the stated one, which leaves out the time of
// messages. It is called with mu held.
func (cs *clusterState) isProven(now time.Duration) bool {
	age, known := cs.age(now)
	return known && age <= provenAge && cs.overdue(now) <= provenOverdue && cs.isConclusive()
}

// awaitProof returns what doubt does. While an entry has only the answer to its first read,
// which may be an older copy, a request waits a little for the next one. c is nil if its head
// wasn't read.
func (g *Gate) awaitProof(c *call) reason {
	for end := time.Now().Add(proofWait); g.mayBeStale() && time.Now().Before(end); {
		if c != nil && c.isAbandoned() {
			break
		}
		time.Sleep(proofCheckInterval)
	}
	return g.doubt()
}

// mayBeStale reports whether the items are those of a read that was allowed to be stale.
func (g *Gate) mayBeStale() bool {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.staleRead
}

// findRoute sets the call's table and route. It returns why the request is refused, or
// reasonNone.
func (g *Gate) findRoute(c *call) reason {
	t := g.awaitTable(c)
	if t == nil {
		return reasonUnconfigured
	}
	c.table = t
	route := matchRoute(t, c)
	if route == nil {
		if why := g.awaitProof(c); why != reasonNone {
			return why
		}
		c.table = g.table.Load() // After the proof, which may be that of a newer table.
		route = matchRoute(c.table, c)
	}
	if route == nil {
		return reasonRoute
	}
	c.setRoute(route)
	return reasonNone
}

// limitDoubt returns why a request that exceeds a limit may be allowed all the same, or
// reasonNone. c is nil if its head wasn't read.
func (cc *callerConn) limitDoubt(c *call, bad *badRequest) reason {
	if !bad.exceedsLimit() {
		return reasonNone
	}
	if why := cc.gate.awaitProof(c); why != reasonNone {
		return why
	}
	if now := cc.gate.limits(); now.HeaderBytes > cc.limits.HeaderBytes || now.BodyBytes > cc.limits.BodyBytes {
		return reasonUnconfirmed
	}
	return reasonNone
}

// retryAfterDoubt returns the Retry-After time of a request that is refused for lack of a
// configuration or of proof.
func retryAfterDoubt(why reason) time.Duration {
	if why == reasonUnconfigured {
		return retryAfterStart
	}
	return retryAfterUnconfirmed
}

// noteRead records an answer of the platform. The first one may be stale if it has all items, unless
// the age of keys is bounded. It is called with clusterState.mu held.
func (g *Gate) noteRead(u *pimentofeed.Update) {
	cs := g.cluster
	cs.staleRead = u.Full && !cs.answered && !g.revocation.InForce()
	cs.answered = true
}
