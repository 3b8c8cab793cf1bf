package pimentogate

import (
	"time"

	"pimentoarch/pimentoroute"
)

// estimate sets what follows from a candidate's report, and updates the target's cold state.
func (g *Gate) estimate(c *call, cand *candidate) {
	if g.updateEstimate(c, cand) {
		g.logChange("msg", "target's cold state changed", "target", cand.target.ID, "cold", cand.cold, "left_ms", cand.report.ColdLeft.Milliseconds())
	}
}

// updateEstimate does what estimate does, and reports whether the cold state has changed.
func (g *Gate) updateEstimate(c *call, cand *candidate) (coldChanged bool) {
	now := g.now()
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.target(cand.target.ID)
	wasCold := s.coldUntil > now
	s.coldUntil = 0
	if cand.report.ColdLeft > 0 {
		s.coldUntil = now + cand.report.ColdLeft
	}
	cand.cold = s.coldUntil > now
	running := max(cand.report.Running+s.sentSinceReport, s.inFlight)
	slots := max(1, cand.report.Slots)
	if cand.report.Slots == 0 {
		slots = max(1, cand.target.Slots)
	}
	w, service := ts.routeWork(c.route), ts.service(c.serviceName())
	curve := &service.curve
	expected := g.roundTrip(cand.target)
	cand.byteCost = g.byteCostOf(w, cand.target)
	alone := float64(w.alone) * float64(max(1, cand.report.Slowdown)) / 100
	workTime := time.Duration(alone * curve.Ratio(min(running, slots-1)))
	expected += workTime
	if limit := service.fullQueue; limit > 0 && cand.report.Waiting+s.sentSinceReport >= limit {
		expected += fullQueuePenalty
	}
	if cand.queued = running >= slots; cand.queued {
		expected += workTime * time.Duration(cand.report.Waiting+running-slots+1) / time.Duration(slots)
	}
	cand.idle, cand.room = running == 0, curve.Knee(slots)-running
	cand.crowdCost = 0
	if cand.room <= 0 {
		cand.crowdCost = time.Duration(alone * float64(min(running, slots)) * (curve.Ratio(slots-1) - 1) / 2)
	}
	if cand.full = g.isFull(c, cand, service, s.sentSinceReport); cand.full {
		cand.crowdCost += fullCost
	}
	cand.byteCost += g.bodyCost(c, cand.target, expected)
	expected += time.Duration(float64(s.failureRate) * float64(failurePenalty))
	if !cand.report.Healthy {
		expected += unhealthyPenalty
	}
	cand.expected = expected
	return cand.cold != wasCold
}

// recordReport updates a target's last load report with the one in its response to a
// request, which doesn't say whether the target is healthy or cold.
func (g *Gate) recordReport(tg *pimentoroute.Target, r LoadReport) {
	if r.Slots == 0 {
		return
	}
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.target(tg.ID)
	if !s.hasReport {
		return
	}
	s.report.Running, s.report.Waiting, s.report.Slots, s.report.Slowdown = r.Running, r.Waiting, r.Slots, r.Slowdown
	s.reportedAt, s.askedAt, s.sentSinceReport = g.now()-g.roundTrip(tg)/2, 0, 0
}

// distance says how far away a target is.
type distance uint8

const (
	sameDomain distance = iota // In this entry's failure domain.
	sameRegion                 // In another failure domain of this entry's region.
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

// roundTrip returns the round-trip time that is assumed for a target's distance.
func (g *Gate) roundTrip(tg *pimentoroute.Target) time.Duration { return roundTrips[g.distance(tg)] }

// byteCost returns the transfer cost of a response from a target, expressed as a time.
func (g *Gate) byteCost(c *call, tg *pimentoroute.Target) time.Duration {
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	return g.byteCostOf(g.traffic.routeWork(c.route), tg)
}

// byteCostOf returns the same as byteCost. It is called with trafficStats.mu held.
func (g *Gate) byteCostOf(w *workStats, tg *pimentoroute.Target) time.Duration {
	return time.Duration(w.meanBytes * float64(byteCosts[g.distance(tg)]))
}

// roundTrips and byteCosts are indexed by distance. byteCosts are per byte.
var (
	roundTrips = [...]time.Duration{sameDomain: sameDomainRTT, sameRegion: sameRegionRTT, otherRegion: otherRegionRTT}
	byteCosts  = [...]time.Duration{sameDomain: 0, sameRegion: sameRegionByteCost, otherRegion: otherRegionByteCost}
)

// Round-trip times, costs of response bytes, and penalties, all as times.
const (
	sameDomainRTT  = 500 * time.Microsecond
	sameRegionRTT  = 2 * time.Millisecond
	otherRegionRTT = 61 * time.Millisecond
	// sameRegionByteCost and otherRegionByteCost are added for each byte of a
	// response from another domain of the region or from another region, because
	// that traffic is charged for.
	sameRegionByteCost  = 12 * time.Microsecond
	otherRegionByteCost = 30 * time.Microsecond
	// unhealthyPenalty is added for targets that report themselves unhealthy.
	unhealthyPenalty = 2 * time.Second
	// fullQueuePenalty is added for a target whose queue is as long as those of
	// targets that refused requests.
	fullQueuePenalty = time.Second
	// failurePenalty times its failure rate is added for each target.
	failurePenalty = 1500 * time.Millisecond
)
