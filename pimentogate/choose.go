package pimentogate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// choose asks targets until one is good enough for the time that the request
// has, and returns it, or nil and the reason. While all are busy or slow, or none
// answers, it waits, because how busy they are changes within parts of a second,
// and a slow target would lose the time of many others. It doesn't wait while the
// service is overloaded: room that comes up then is taken by newer requests.
func (g *Gate) choose(c *call, tried []pimentoroute.TargetID) (*pick, reason) {
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		best, why := g.nearest(c, tried)
		if why == reasonTargets {
			return nil, why
		}
		switch g.decide(c, best) {
		case verdictSend:
			return best, reasonNone
		case verdictRefuse:
			best.drop()
			return nil, reasonBusy
		}
		best.drop()
		select {
		case <-c.left:
			return nil, reasonLeft
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
	// hopeShare is the part of the objective for which a request waits for a
	// target that answers in time, and patienceShare for one that isn't slow.
	hopeShare     = 0.5
	patienceShare = 0.7
	// slowFactor is how many times the usual work makes a target slow.
	slowFactor = 3
)

// verdict says what to do with the best target at the moment.
type verdict uint8

const (
	verdictSend verdict = iota
	verdictWait
	verdictRefuse
)

// decide says what to do, by the time that the request has and how long its
// best target would take. There is none while no target has said in time how
// busy it is, or none that did may be sent to at the moment.
func (g *Gate) decide(c *call, p *pick) verdict {
	elapsed := time.Since(c.received)
	within := func(share float64) bool { return elapsed < time.Duration(share*float64(c.route.Objective)) }
	switch {
	case (p == nil || elapsed+p.expected > c.route.Objective) && g.flow.overloaded(c.part()):
		return verdictRefuse
	case p == nil && within(hopeShare):
		return verdictWait
	case p == nil:
		return verdictRefuse
	case elapsed+p.expected <= c.route.Objective:
		return verdictSend
	case p.queued && !within(refuseShare):
		return verdictRefuse
	case within(hopeShare):
		return verdictWait
	case p.expected > slowFactor*g.usual(c) && within(patienceShare):
		return verdictWait
	}
	return verdictSend
}

// nearest asks targets in rounds, the near ones first, and returns the best
// one, or nil and the reason. It ends when another round could hardly find a
// better one in time.
func (g *Gate) nearest(c *call, tried []pimentoroute.TargetID) (*pick, reason) {
	candidates := g.candidates(c, tried)
	if len(candidates) == 0 {
		return nil, reasonTargets
	}
	var best *pick
	for range maxRounds {
		group := g.nextGroup(candidates)
		if len(group) == 0 || time.Until(c.until) < 0 || c.hasLeft() {
			break
		}
		if best != nil && best.price() <= g.potential(c, group[0]) {
			break
		}
		answers := g.ask(c, group)
		candidates = candidates[len(group):]
		best = g.better(c, best, answers)
	}
	if best = g.refresh(c, best); best == nil {
		return nil, reasonBusy
	}
	return best, reasonNone
}

// refreshAge is the age of a near target's report from which it is asked once
// more before it gets a request.
const refreshAge = 12 * time.Millisecond

// refresh asks the target of a pick once more if others were asked since that
// are farther away, because it may have been taken meanwhile. It returns nil if
// the target doesn't answer. A far target isn't asked: its next report would be
// as old as this one.
func (g *Gate) refresh(c *call, old *pick) *pick {
	if old == nil || time.Since(old.at) <= refreshAge || g.nearness(old.target) == nearNot {
		return old
	}
	old.release()
	p := g.askOne(c, old.target)
	if p.err != nil {
		return nil
	}
	if p.cold && !old.cold && !g.takeCold(c, p) {
		p.release()
		return nil
	}
	return p
}

// nextGroup returns the first candidates, as many as are asked at once, and all
// of them equally near.
func (g *Gate) nextGroup(candidates []*pimentoroute.Target) []*pimentoroute.Target {
	n := 0
	for n < len(candidates) && n < askAtOnce && g.nearness(candidates[n]) == g.nearness(candidates[0]) {
		n++
	}
	return candidates[:n]
}

// potential is the time that an answer takes where a target is asked now and
// turns out to be idle.
func (g *Gate) potential(c *call, tg *pimentoroute.Target) time.Duration {
	return g.usual(c) + 2*g.distance(tg) + g.cost(c, tg)
}

// usual is a little more than the usual work on a request.
func (g *Gate) usual(c *call) time.Duration {
	g.flow.mu.Lock()
	defer g.flow.mu.Unlock()
	return time.Duration(usualFactor * float64(g.flow.work(c.route).alone))
}

// better returns the best of a pick and new ones, and releases the others.
func (g *Gate) better(c *call, best *pick, answers []*pick) *pick {
	slices.SortFunc(answers, func(a, b *pick) int { return cmp.Compare(a.price(), b.price()) })
	for _, p := range answers {
		switch {
		case best != nil && p.price() >= best.price():
			p.release()
		case p.cold && !g.takeCold(c, p):
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

// takeCold takes one request of this entry's share of a cold target.
func (g *Gate) takeCold(c *call, p *pick) bool {
	share := g.coldShare(c.service)
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target(p.target.ID).cold.Allow(g.now(), share)
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

// candidates returns the targets that a request may go to, the near ones first
// and at random among equals.
func (g *Gate) candidates(c *call, tried []pimentoroute.TargetID) []*pimentoroute.Target {
	type ranked struct {
		target *pimentoroute.Target
		rank   int
	}
	now := g.now()
	var list []ranked
	f := &g.flow
	f.mu.Lock()
	for _, tg := range g.targetsOf(c) {
		if slices.Contains(tried, tg.ID) || !c.route.Allows(tg.Region) {
			continue
		}
		s := f.target(tg.ID)
		near := g.nearness(tg)
		if s.coldUntil > now && near != nearDomain {
			continue
		}
		rank := int(near)
		if s.restUntil > now {
			rank += restRank
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

// restRank puts targets that rest behind all others.
const restRank = int(nearNot) + 1

// targetsOf returns the targets of a request's service that are known now.
func (g *Gate) targetsOf(c *call) []*pimentoroute.Target {
	return g.table.Load().Targets[c.part()]
}
