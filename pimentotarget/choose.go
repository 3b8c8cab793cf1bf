package pimentotarget

import (
	"math"
	"slices"
	"time"
)

const (
	// domainRTT is the assumed network round-trip time between domains of a region.
	domainRTT = 2 * time.Millisecond
	// regionRTT is the assumed network round-trip time between regions.
	regionRTT = 60 * time.Millisecond
	// slowFactor is the multiple of the service's average latency above which the
	// age of an outstanding request adds to its target's expected delay.
	slowFactor = 3
	// overShareCost is the expected cost of one request above the entry's share, as
	// a fraction of the average time until a slot of the target becomes free.
	overShareCost = 0.5
	// excessHalfLife is the time without a new measurement in which the excess
	// latency of a target halves.
	excessHalfLife = time.Second
	// minExcessDivisor sets the least excess latency that counts: the average
	// latency divided by minExcessDivisor.
	minExcessDivisor = 8
	// defaultLatency is the assumed average latency before the first measurement.
	defaultLatency = 5 * time.Millisecond
)

// choose returns the candidate with the lowest expected delay. It returns nil if no
// candidate is eligible, or if no expected delay is below queueDelay.
func (t *Table) choose(now time.Duration, r *Request) *Target {
	var best *Target
	bestDelay := t.queueDelay()
	n := len(t.candidates)
	for i := range n {
		tg := t.candidates[(t.scanStart+i)%n]
		if !t.eligible(now, r, tg) {
			continue
		}
		if d := t.expectedDelay(now, tg); d < bestDelay {
			best = tg
			bestDelay = d
		}
	}
	if best != nil {
		t.scanStart++
	}
	return best
}

// eligible reports whether the request may be sent to the target now.
func (t *Table) eligible(now time.Duration, r *Request, tg *Target) bool {
	if !tg.usable() || now < tg.backoffUntil || tg.isPaused(now) {
		return false
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, tg.Region) {
		return false
	}
	if slices.Contains(r.Avoid, tg) {
		return false
	}
	return tg.Outstanding < t.sendLimit(now, tg)
}

// sendLimit returns the number of requests that this entry may have outstanding
// at the target. A warm target that has failed since its last valid response, or returned
// from a pause just now, gets one at a time.
func (t *Table) sendLimit(now time.Duration, tg *Target) int {
	if tg.Phase.Value == PhaseWarm {
		if tg.failures > 0 || tg.withdrawal.PausedWithin(now, pauseReturn) {
			return 1
		}
		return t.service.Slots + t.pipelineDepth(tg)
	}
	if !tg.owned || now-tg.ownedSince < t.OwnerWait {
		return 0
	}
	return t.ownerColdLimit()
}

// pipelineDepth returns the number of requests beyond the target's slots that keep
// it busy while other requests and responses are in transit.
func (t *Table) pipelineDepth(tg *Target) int {
	inTransit := float64(t.service.Slots) * float64(t.distance(tg)) / float64(t.meanLatency())
	return min(t.service.Slots, int(math.Ceil(inTransit)))
}

// ownerColdLimit returns the owner's half of the service's cold limit, at least 1. The
// other half is reserved for an entry that is the owner under a different list of
// entries.
func (t *Table) ownerColdLimit() int {
	return max(1, t.service.ColdLimit/2)
}

// expectedDelay returns the time that is expected in addition to the target's
// normal service time. It can be negative.
func (t *Table) expectedDelay(now time.Duration, tg *Target) time.Duration {
	meanLatency := t.meanLatency()
	d := t.distance(tg)
	if tg.Phase.Value == PhaseCold {
		// Without this bonus a cold target would never get requests while others
		// are warm.
		d -= domainRTT + meanLatency
	}
	if over := tg.Outstanding + 1 - tg.Share; over > 0 && tg.Phase.Value == PhaseWarm {
		d += time.Duration(float64(over) * float64(meanLatency) * (overShareCost + t.refusalPenalty) / float64(t.service.Slots))
	}
	if age := tg.oldestAge(now); age > slowFactor*meanLatency {
		d += age - slowFactor*meanLatency
	}
	return d + t.excessLatency(now, tg)
}

// excessLatency returns the excess of the target's latency over the average, or 0.
// It decays with time, because a target that gets no requests can't be measured
// again. A cold target has none, since its latency doesn't predict that of a warm
// one.
func (t *Table) excessLatency(now time.Duration, tg *Target) time.Duration {
	if tg.latency.count == 0 || tg.Phase.Value == PhaseCold {
		return 0
	}
	excess := tg.latency.value - t.meanLatency()
	if excess <= 0 {
		return 0
	}
	excess >>= min((now-tg.latencyAt)/excessHalfLife, 62)
	if excess < t.meanLatency()/minExcessDivisor {
		return 0
	}
	return excess
}

// recordLatency adds the duration of an exchange with the target, or the time
// that it has taken so far.
func (t *Table) recordLatency(now time.Duration, tg *Target, took time.Duration) {
	if now-tg.latencyAt >= excessHalfLife {
		// The average starts from what remains of the excess after its decay.
		tg.latency.value = min(tg.latency.value, t.meanLatency()+t.excessLatency(now, tg))
	}
	tg.latency.add(took)
	tg.latencyAt = now
}

// distance returns the assumed network round-trip time to the target.
func (t *Table) distance(tg *Target) time.Duration {
	switch {
	case tg.Region != t.Location.Region:
		return regionRTT
	case tg.Domain != t.Location.Domain:
		return domainRTT
	}
	return 0
}

// queueDelay returns the delay below which choose prefers a target to the queue. It is
// the expected time until a request that stays in the queue gets a slot, at least
// domainRTT, plus the average latency. The queue drains at the rate at which
// outstanding requests end. As expectedDelay leaves out the service time, a target may
// be up to one average latency worse than waiting. Without outstanding requests nothing
// drains the queue, and the result is an hour.
func (t *Table) queueDelay() time.Duration {
	if t.outstanding == 0 {
		return time.Hour
	}
	drainInterval := t.meanLatency() / time.Duration(t.outstanding)
	return max(drainInterval*time.Duration(len(t.queue.items)+1), domainRTT) + t.meanLatency()
}

func (t *Table) meanLatency() time.Duration {
	if t.latency.count == 0 {
		return defaultLatency
	}
	return max(t.latency.value, time.Microsecond)
}
