package pimentogate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// chooseTarget asks targets until one is good enough for the time that the request
// has, and returns it, or nil and the reason. While all are busy or slow, or none
// answers, it waits, because how busy they are changes within parts of a second,
// and a slow target would lose the time of many others. It doesn't wait while the
// service is overloaded: room that comes up then is taken by newer requests.
func (g *Gate) chooseTarget(c *call, tried []pimentoroute.TargetID) (*candidate, reason) {
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		best, why := g.probeNearest(c, tried)
		if why == reasonTargets {
			return nil, why
		}
		switch g.decide(c, best) {
		case decisionSend:
			return best, reasonNone
		case decisionRefuse:
			best.releaseIfAny()
			return nil, reasonBusy
		}
		best.releaseIfAny()
		select {
		case <-c.callerLeft:
			return nil, reasonCallerGone
		case <-time.After(wait):
		}
	}
}

const (
	// firstWait is the time until targets are asked again when none is good
	// enough. It doubles up to maxWait.
	firstWait = 25 * time.Millisecond
	maxWait   = 100 * time.Millisecond
	// refuseShare is the part of the objective after which a request is refused
	// that would be late because it waits behind others: its caller soon knows, and
	// those that can still be in time don't wait behind it.
	refuseShare = 0.125
	// waitShare is the part of the objective for which a request waits for a
	// target that answers in time, and patienceShare for one that isn't slow.
	waitShare     = 0.5
	slowWaitShare = 0.7
	// slowFactor is how many times the usual work makes a target slow.
	slowFactor = 3
)

// decision says what to do with the best target at the moment.
type decision uint8

const (
	decisionSend decision = iota
	decisionWait
	decisionRefuse
)

// decide says what to do, by the time that the request has and how long its
// best target would take. There is none while no target has said in time how
// busy it is, or none that did may be sent to at the moment.
func (g *Gate) decide(c *call, p *candidate) decision {
	elapsed := time.Since(c.received)
	within := func(share float64) bool { return elapsed < time.Duration(share*float64(c.route.Objective)) }
	switch {
	case (p == nil || elapsed+p.expected > c.route.Objective) && g.traffic.overloaded(c.serviceName()):
		return decisionRefuse
	case p == nil && within(waitShare):
		return decisionWait
	case p == nil:
		return decisionRefuse
	case elapsed+p.expected <= c.route.Objective:
		return decisionSend
	case p.queued && !within(refuseShare):
		return decisionRefuse
	case within(waitShare):
		return decisionWait
	case p.expected > slowFactor*g.usualWork(c) && within(slowWaitShare):
		return decisionWait
	}
	return decisionSend
}

// probeNearest asks targets in rounds, the near ones first, and returns the best
// one, or nil and the reason. It ends when another round could hardly find a
// better one in time.
func (g *Gate) probeNearest(c *call, tried []pimentoroute.TargetID) (*candidate, reason) {
	candidates := g.rankTargets(c, tried)
	if len(candidates) == 0 {
		return nil, reasonTargets
	}
	var best *candidate
	for range maxProbeRounds {
		group := g.nextGroup(candidates)
		if len(group) == 0 || time.Until(c.deadline) < 0 || c.callerGone() {
			break
		}
		if best != nil && best.score() <= g.idleScore(c, group[0]) {
			break
		}
		answers := g.probeTargets(c, group)
		candidates = candidates[len(group):]
		best = g.keepBest(c, best, answers)
	}
	if best = g.reprobe(c, best); best == nil {
		return nil, reasonBusy
	}
	return best, reasonNone
}

// reprobeAge is the age of a near target's report from which it is asked once
// more before it gets a request.
const reprobeAge = 12 * time.Millisecond

// reprobe asks the target of a pick once more if others were asked since that
// are farther away, because it may have been taken meanwhile. It returns nil if
// the target doesn't answer. A far target isn't asked: its next report would be
// as old as this one.
func (g *Gate) reprobe(c *call, old *candidate) *candidate {
	if old == nil || time.Since(old.reportedAt) <= reprobeAge || g.distance(old.target) == otherRegion {
		return old
	}
	old.release()
	p := g.probeTarget(c, old.target)
	if p.err != nil {
		return nil
	}
	if p.cold && !old.cold && !g.admitCold(c, p) {
		p.release()
		return nil
	}
	return p
}

// nextGroup returns the first candidates, as many as are asked at once, and all
// of them equally near.
func (g *Gate) nextGroup(candidates []*pimentoroute.Target) []*pimentoroute.Target {
	n := 0
	for n < len(candidates) && n < probeFanout && g.distance(candidates[n]) == g.distance(candidates[0]) {
		n++
	}
	return candidates[:n]
}

// idleScore is the time that an answer takes where a target is asked now and
// turns out to be idle.
func (g *Gate) idleScore(c *call, tg *pimentoroute.Target) time.Duration {
	return g.usualWork(c) + 2*g.roundTrip(tg) + g.byteCost(c, tg)
}

// usualWork is a little more than the usualWork work on a request.
func (g *Gate) usualWork(c *call) time.Duration {
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	return time.Duration(usualFactor * float64(g.traffic.routeWork(c.route).alone))
}

// keepBest returns the best of a pick and new ones, and releases the others.
func (g *Gate) keepBest(c *call, best *candidate, answers []*candidate) *candidate {
	slices.SortFunc(answers, func(a, b *candidate) int { return cmp.Compare(a.score(), b.score()) })
	for _, p := range answers {
		switch {
		case best != nil && p.score() >= best.score():
			p.release()
		case p.cold && !g.admitCold(c, p):
			p.release()
		default:
			if best != nil {
				best.release()
			}
			best = p
		}
	}
	return best
}

// admitCold takes one request of this entry's share of a cold target.
func (g *Gate) admitCold(c *call, p *candidate) bool {
	share := g.coldShare(c.service)
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target(p.target.ID).coldGate.Take(g.now(), share)
}

// coldMargin is the part of a cold target's limit that is used, since two
// lists of members may differ and requests bunch up on the way.
const coldMargin = 0.8

func (g *Gate) coldShare(s *pimentoroute.Service) int {
	entries, rank := int(g.domainSize.Load()), int(g.domainRank.Load())
	if entries == 0 {
		return 0
	}
	limit := (s.ColdRate*g.settings.ColdRateFactor + g.settings.ColdRateExtra) * coldMargin
	return pimentotarget.ColdShare(limit, entries, rank)
}

// rankTargets returns the targets that a request may go to, the near ones first
// and at random among equals.
func (g *Gate) rankTargets(c *call, tried []pimentoroute.TargetID) []*pimentoroute.Target {
	type ranked struct {
		target *pimentoroute.Target
		rank   int
	}
	now := g.now()
	var list []ranked
	f := &g.traffic
	f.mu.Lock()
	for _, tg := range g.serviceTargets(c) {
		if slices.Contains(tried, tg.ID) || !c.route.Allows(tg.Region) {
			continue
		}
		s := f.target(tg.ID)
		near := g.distance(tg)
		if s.coldUntil > now && near != sameDomain {
			continue
		}
		rank := int(near)
		if s.backoffUntil > now {
			rank += backoffRank
		}
		list = append(list, ranked{tg, rank})
	}
	f.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	targets := make([]*pimentoroute.Target, len(list))
	for i := range list {
		targets[i] = list[i].target
	}
	return targets
}

// backoffRank puts targets that rest behind all others.
const backoffRank = int(otherRegion) + 1

// serviceTargets returns the targets of a request's service that are known now.
func (g *Gate) serviceTargets(c *call) []*pimentoroute.Target {
	return g.table.Load().Targets[c.serviceName()]
}
