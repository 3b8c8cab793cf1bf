package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoroute"
)

// staleness says how old this entry's copy of the published items may be, and why. It decides what
// the entry may do by the copy:
//
//	                                  fresh  platformAway  cutOff  outdated
//	refusal as wrong (4xx)            yes    no            no      no
//	send that home regions bind       yes    yes           no      no
//	other sends                       yes    yes           yes     no
//	target that has just become ill   no     yes           yes     no
//
// What isn't allowed gets 503, not run: most likely another entry knows more. An outage of the
// platform or a partition may last, so that entries go on by what they last knew.
type staleness uint8

const (
	// fresh means that the copy has all that must be in force now.
	fresh staleness = iota
	// platformAway means that the platform answers no entry, so that nothing newer is published.
	platformAway
	// cutOff means that neither the platform nor another entry has told this one what is newer,
	// although its own link has room, or that the newest configuration can't be used.
	cutOff
	// outdated means that others may know newer items.
	outdated
)

// String returns the name in logs.
func (s staleness) String() string {
	return [...]string{"fresh", "away", "cutoff", "outdated"}[s]
}

// staleness returns how stale the copy is. What depends on it must be read from the newest table
// afterwards.
func (g *Gate) staleness() staleness {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return g.currentStaleness()
}

// currentStaleness does what staleness does. It is called with clusterState.mu held.
func (g *Gate) currentStaleness() staleness {
	cs := g.cluster
	if g.applyBound.Allows(cs.ageAtMost(bootTime())) {
		return fresh
	}
	now := g.now()
	switch {
	case cs.isAwayForAll(now):
		return platformAway
	case cs.isCutOff(now), cs.undecoded, cs.configRemoved:
		return cutOff
	}
	return outdated
}

// copyDoubt returns why a request may not be sent by this entry's copy of the items, or reasonNone.
func (g *Gate) copyDoubt(c *call) reason {
	switch s := g.staleness(); {
	case s == fresh, s == platformAway, s == cutOff && !g.isBound(c):
		return reasonNone
	}
	return reasonUnconfirmed
}

// noticeTime is the time within which a target that leaves has published that, after its replies to
// probes began to say that it is unhealthy.
const noticeTime = 500 * time.Millisecond

// mayLeave reports whether an unhealthy target may be leaving: the items, as of noticeTime after it
// became unhealthy, aren't known yet. If they still publish it, it is only unhealthy.
func (g *Gate) mayLeave(tg *pimentoroute.Target) bool {
	if s := g.staleness(); !g.applyBound.InForce() || s == platformAway || s == cutOff {
		return false
	}
	age, known := g.feedAge()
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return !known || bootTime()-ts.target(tg.ID).illSince < age+noticeTime
}

// isBound reports whether home regions bind a request, by the configuration of its arrival or by
// the newest one.
func (g *Gate) isBound(c *call) bool {
	arrival, newest := c.arrivalHomes(), g.newestHomes(c)
	return arrival.bind() || newest.bind()
}

// awaitCopy returns what copyDoubt does. While the age of the items has never been known to
// this start of the entry, and can be, a request waits a little for it.
func (g *Gate) awaitCopy(c *call) reason {
	why := g.copyDoubt(c)
	for end := time.Now().Add(proofWait); why != reasonNone && time.Now().Before(end); why = g.copyDoubt(c) {
		if !g.awaitsAge() || c.isAbandoned() {
			break
		}
		time.Sleep(proofCheckInterval)
	}
	return why
}

// awaitsAge reports whether the age of the items isn't known yet, and the next answer of the
// platform or of another entry may tell it.
func (g *Gate) awaitsAge() bool {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	_, known := cs.ageAtMost(bootTime())
	return !known && !cs.undecoded && !cs.configRemoved
}

// logStaleness logs when the staleness of the copy has changed. It is called with clusterState.mu
// held.
func (g *Gate) logStaleness() {
	cs := g.cluster
	s := g.currentStaleness()
	if s == cs.loggedStaleness {
		return
	}
	cs.loggedStaleness = s
	fields := []any{"msg", "staleness changed", "staleness", s, "revision", cs.feed.AsOf()}
	if age, known := cs.ageAtMost(bootTime()); known {
		fields = append(fields, "items_age_max_ms", age.Milliseconds())
	}
	if s == outdated {
		g.metrics.count("pimento_state_outdated_total")
		g.logLine(level.WarnValue(), fields...)
		return
	}
	g.logChange(fields...)
}
