package pimentogate

import (
	"cmp"
	"slices"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// chooseTarget probes targets until one is good enough for the time that the
// request has left, and returns it, or nil and the reason. While all targets are
// busy or slow, or none replies, it waits, because load changes within fractions of
// a second, and a request at a slow target takes as long as many requests at other
// targets. It doesn't wait while the service is overloaded: slots that become free
// then are taken by newer requests.
func (g *Gate) chooseTarget(c *call, tried []pimentoroute.TargetID) (*candidate, reason) {
	if l := g.lineOf(c); l != nil {
		return g.chooseInLine(l, c, tried)
	}
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		best, why := g.probeNearest(c, tried)
		if why == reasonTargets {
			return nil, why
		}
		switch g.decide(c, best) {
		case pimentoload.Send:
			return best, reasonNone
		case pimentoload.Refuse:
			c.rejected = best
			best.releaseIfAny()
			return nil, reasonBusy
		}
		best.releaseIfAny()
		left := time.Until(c.deadline)
		if left <= 0 {
			return nil, reasonTimeout
		}
		select {
		case <-c.done:
			return nil, reasonCallerGone
		case <-g.cutoffReached:
			return nil, reasonStopping
		case <-time.After(min(wait, left)):
		}
	}
}

const (
	// firstWait is the time until targets are probed again when none is good
	// enough. It doubles up to maxWait.
	firstWait = 25 * time.Millisecond
	maxWait   = 100 * time.Millisecond
)

// decide returns what to do with a request, given its best target at the moment. cand is nil
// if no target reported its load in time, or none that did may be used at the moment.
func (g *Gate) decide(c *call, cand *candidate) pimentoload.Decision {
	return pimentoload.Decide(g.loadRequest(c), cand.offer())
}

// loadRequest returns what is known about a request that is to be sent.
func (g *Gate) loadRequest(c *call) pimentoload.Request {
	return pimentoload.Request{
		Waited:     time.Since(c.received),
		Objective:  c.route.Objective,
		Usual:      g.usualWork(c),
		Urgent:     c.urgent,
		Repeat:     c.repeat,
		Pressure:   g.traffic.pressure(c.serviceName()),
		Overloaded: g.traffic.overloaded(c.serviceName()),
	}
}

// offer returns what a candidate offers, nil for none.
func (cand *candidate) offer() *pimentoload.Offer {
	if cand == nil || cand.full {
		return nil
	}
	return &pimentoload.Offer{Expected: cand.expected, Queued: cand.queued, Idle: cand.idle, Room: cand.room}
}

// probeNearest probes targets in rounds, nearest first, and returns the best one,
// or nil and the reason. It stops when another round is unlikely to find a better
// one in time.
func (g *Gate) probeNearest(c *call, tried []pimentoroute.TargetID) (*candidate, reason) {
	h := g.newestHomes(c)
	targets, lastResort := g.rankTargets(c, h, tried)
	if len(targets)+len(lastResort) == 0 {
		return nil, reasonTargets
	}
	best := g.probeInRounds(c, targets)
	if best == nil {
		best = g.probeInRounds(c, lastResort)
	}
	if best = g.reprobe(c, best); best == nil {
		return nil, reasonBusy
	}
	best.homes = h
	return best, reasonNone
}

// probeInRounds probes targets in rounds, in their order, and returns the best one, or
// nil.
func (g *Gate) probeInRounds(c *call, targets []*pimentoroute.Target) *candidate {
	var best *candidate
	for range maxProbeRounds {
		group := g.nextGroup(targets)
		if len(group) == 0 || time.Until(c.deadline) < 0 || c.isAbandoned() {
			break
		}
		if best != nil && best.score() <= g.idleScore(c, group[0]) {
			break
		}
		probed := g.probeTargets(c, group)
		targets = targets[len(group):]
		best = g.keepBest(c, best, probed)
	}
	return best
}

// reprobeAge is the age of a near target's load report above which the target is
// probed once more before it gets a request.
const reprobeAge = 12 * time.Millisecond

// reprobe probes a candidate's target once more if its report is older than
// reprobeAge because targets farther away were probed since: its slots may have been
// taken meanwhile. It returns nil if the target doesn't reply or is cold now and may
// not be used. A target in another region isn't probed again: its new report would be
// as old on arrival as this one.
func (g *Gate) reprobe(c *call, old *candidate) *candidate {
	if old == nil || time.Since(old.reportedAt) <= reprobeAge || g.distance(old.target) == otherRegion {
		return old
	}
	old.release()
	cand := g.probeForSend(c, old.target)
	if cand.err != nil {
		return nil
	}
	if cand.cold && !old.cold && !g.admitCold(c, cand) {
		cand.release()
		return nil
	}
	return cand
}

// nextGroup returns the leading targets that are equally near, at most probeFanout.
func (g *Gate) nextGroup(targets []*pimentoroute.Target) []*pimentoroute.Target {
	n := 0
	for n < len(targets) && n < probeFanout && g.distance(targets[n]) == g.distance(targets[0]) {
		n++
	}
	return targets[:n]
}

// idleScore returns the score of a target that is probed now and turns out to be idle.
func (g *Gate) idleScore(c *call, tg *pimentoroute.Target) time.Duration {
	score := g.usualWork(c) + 2*g.roundTrip(tg) + g.byteCost(c, tg)
	return score + g.bodyCost(c, tg, g.usualWork(c)+g.roundTrip(tg))
}

// usualWork returns the usual work time of the request's route with a small margin.
func (g *Gate) usualWork(c *call) time.Duration {
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	return time.Duration(usualFactor * float64(g.traffic.routeWork(c.route).alone))
}

// keepBest returns the best of a candidate and newly probed ones, and releases the
// others.
func (g *Gate) keepBest(c *call, best *candidate, probed []*candidate) *candidate {
	slices.SortFunc(probed, func(a, b *candidate) int { return cmp.Compare(a.score(), b.score()) })
	for _, cand := range probed {
		switch {
		case best != nil && cand.score() >= best.score():
			cand.release()
		case cand.cold && !g.admitCold(c, cand):
			cand.release()
		default:
			if best != nil {
				best.release()
			}
			best = cand
		}
	}
	return best
}

// admitCold counts one request against this entry's share of a cold target's limit.
// It reports false if the share is used up.
func (g *Gate) admitCold(c *call, cand *candidate) bool {
	share := g.coldShare(c.service, cand.target)
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.target(cand.target.ID).coldLimiter.Allow(g.now(), share)
}

// coldLimitFraction is the fraction of a cold target's limit that is used, because
// member lists of entries may differ, and requests may arrive closer together than
// they were sent.
const coldLimitFraction = 0.8

// coldShare returns the requests per second that this entry may send to a cold target
// of its domain. It is 0 while the size of the domain is unknown.
func (g *Gate) coldShare(s *pimentoroute.Service, tg *pimentoroute.Target) int {
	entries := int(g.domainSize.Load())
	if entries == 0 {
		return 0
	}
	limit := (s.ColdRate*g.settings.ColdRateFactor + g.settings.ColdRateExtra) * coldLimitFraction
	return pimentotarget.ColdShare(limit, entries, pimentotarget.ColdRank(string(tg.ID), *g.domainNames.Load(), g.settings.Name))
}

// serviceTargets returns the published targets of the request's service.
func (g *Gate) serviceTargets(c *call) []*pimentoroute.Target {
	return g.table.Load().Targets[c.serviceName()]
}
