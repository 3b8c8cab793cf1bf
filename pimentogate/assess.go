package pimentogate

import (
	"time"

	"pimentoarch/pimentoroute"
)

// assess works out how long the target would take.
func (g *Gate) assess(c *call, p *pick) {
	now := g.now()
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.target(p.target.ID)
	was := s.coldUntil > now
	s.coldUntil = 0
	if p.report.ColdLeft > 0 {
		s.coldUntil = now + p.report.ColdLeft
	}
	p.cold = s.coldUntil > now
	if p.cold != was {
		g.noteChange("msg", "target's cold state changed", "target", p.target.ID, "cold", p.cold, "left_ms", p.report.ColdLeft.Milliseconds())
	}
	running := max(p.report.Running+s.sentSince, s.sending)
	slots := max(1, p.report.Slots)
	if p.report.Slots == 0 {
		slots = max(1, p.target.Slots)
	}
	w := f.work(c.route)
	expected := g.distance(p.target)
	p.cost = g.costOf(w, p.target)
	run := w.alone
	if running > 0 {
		run = w.beside
	}
	run = run * time.Duration(max(1, p.report.Slowdown)) / 100
	expected += run
	if limit := f.queues[c.part()]; limit > 0 && p.report.Waiting+s.sentSince >= limit {
		expected += fullPenalty
	}
	if p.queued = running >= slots; p.queued {
		expected += run * time.Duration(p.report.Waiting+running-slots+1) / time.Duration(slots)
	}
	expected += time.Duration(float64(s.failing) * float64(failPenalty))
	if !p.report.Healthy {
		expected += illPenalty
	}
	p.expected = expected
}

// nearness says how far away a target is.
type nearness uint8

const (
	nearDomain nearness = iota // In the own failure domain.
	nearRegion                 // In another one of the own region.
	nearNot
)

func (g *Gate) nearness(tg *pimentoroute.Target) nearness {
	switch {
	case tg.Domain == g.settings.Domain:
		return nearDomain
	case tg.Region == g.region:
		return nearRegion
	}
	return nearNot
}

// distance is the time on the way to a target and back.
func (g *Gate) distance(tg *pimentoroute.Target) time.Duration { return distances[g.nearness(tg)] }

// cost stands for the price of the bytes of an answer from a target.
func (g *Gate) cost(c *call, tg *pimentoroute.Target) time.Duration {
	g.flow.mu.Lock()
	defer g.flow.mu.Unlock()
	return g.costOf(g.flow.work(c.route), tg)
}

func (g *Gate) costOf(w *work, tg *pimentoroute.Target) time.Duration {
	return time.Duration(w.bytes * float64(byteCosts[g.nearness(tg)]))
}

// distances and byteCosts are by the nearness of a target.
var (
	distances = [...]time.Duration{nearDomain: sameDomain, nearRegion: sameRegion, nearNot: otherRegion}
	byteCosts = [...]time.Duration{nearDomain: 0, nearRegion: domainCost, nearNot: regionCost}
)

// Distances of targets, as what a request and its answer take on the way.
const (
	sameDomain  = 500 * time.Microsecond
	sameRegion  = 2 * time.Millisecond
	otherRegion = 61 * time.Millisecond
	// domainCost and regionCost are added for each byte of an answer from
	// another domain or region, whose bytes are paid for.
	domainCost = 12 * time.Microsecond
	regionCost = 30 * time.Microsecond
	// illPenalty is added for targets that call themselves unwell.
	illPenalty = 2 * time.Second
	// fullPenalty is added for a target whose queue is as long as those that
	// refused.
	fullPenalty = time.Second
	// failPenalty is added for a target that fails all sends.
	failPenalty = 1500 * time.Millisecond
)
