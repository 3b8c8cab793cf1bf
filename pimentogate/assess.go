package pimentogate

import (
	"time"

	"pimentoarch/pimentoroute"
)

// estimate works out how long the target would take.
func (g *Gate) estimate(c *call, p *candidate) {
	now := g.now()
	f := &g.traffic
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
		g.logChange("msg", "target's cold state changed", "target", p.target.ID, "cold", p.cold, "left_ms", p.report.ColdLeft.Milliseconds())
	}
	running := max(p.report.Running+s.sentSinceReport, s.inFlight)
	slots := max(1, p.report.Slots)
	if p.report.Slots == 0 {
		slots = max(1, p.target.Slots)
	}
	w := f.routeWork(c.route)
	expected := g.roundTrip(p.target)
	p.byteCost = g.byteCostOf(w, p.target)
	run := w.alone
	if running > 0 {
		run = w.concurrent
	}
	run = run * time.Duration(max(1, p.report.Slowdown)) / 100
	expected += run
	if limit := f.fullQueues[c.serviceName()]; limit > 0 && p.report.Waiting+s.sentSinceReport >= limit {
		expected += fullQueuePenalty
	}
	if p.queued = running >= slots; p.queued {
		expected += run * time.Duration(p.report.Waiting+running-slots+1) / time.Duration(slots)
	}
	expected += time.Duration(float64(s.failureRate) * float64(failurePenalty))
	if !p.report.Healthy {
		expected += unhealthyPenalty
	}
	p.expected = expected
}

// distance says how far away a target is.
type distance uint8

const (
	sameDomain distance = iota // In the own failure domain.
	sameRegion                 // In another one of the own region.
	otherRegion
)

func (g *Gate) distance(tg *pimentoroute.Target) distance {
	switch {
	case tg.Domain == g.settings.Domain:
		return sameDomain
	case tg.Region == g.region:
		return sameRegion
	}
	return otherRegion
}

// roundTrip is the time on the way to a target and back.
func (g *Gate) roundTrip(tg *pimentoroute.Target) time.Duration { return roundTrips[g.distance(tg)] }

// byteCost stands for the price of the bytes of an answer from a target.
func (g *Gate) byteCost(c *call, tg *pimentoroute.Target) time.Duration {
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	return g.byteCostOf(g.traffic.routeWork(c.route), tg)
}

func (g *Gate) byteCostOf(w *workStats, tg *pimentoroute.Target) time.Duration {
	return time.Duration(w.meanBytes * float64(byteCosts[g.distance(tg)]))
}

// roundTrips and byteCosts are by the nearness of a target.
var (
	roundTrips = [...]time.Duration{sameDomain: sameDomainRTT, sameRegion: sameRegionRTT, otherRegion: otherRegionRTT}
	byteCosts  = [...]time.Duration{sameDomain: 0, sameRegion: domainByteCost, otherRegion: regionByteCost}
)

// Distances of targets, as what a request and its answer take on the way.
const (
	sameDomainRTT  = 500 * time.Microsecond
	sameRegionRTT  = 2 * time.Millisecond
	otherRegionRTT = 61 * time.Millisecond
	// domainByteCost and regionCost are added for each byte of an answer from
	// another domain or region, whose bytes are paid for.
	domainByteCost = 12 * time.Microsecond
	regionByteCost = 30 * time.Microsecond
	// unhealthyPenalty is added for targets that call themselves unwell.
	unhealthyPenalty = 2 * time.Second
	// fullQueuePenalty is added for a target whose queue is as long as those that
	// refused.
	fullQueuePenalty = time.Second
	// failurePenalty is added for a target that fails all sends.
	failurePenalty = 1500 * time.Millisecond
)
