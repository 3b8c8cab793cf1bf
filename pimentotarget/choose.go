package pimentotarget

import (
	"math"
	"slices"
	"time"
)

const (
	// domainTrip is the time there and back between domains of a region.
	domainTrip = 2 * time.Millisecond
	// regionTrip is the time there and back between regions.
	regionTrip = 60 * time.Millisecond
	// slowFactor is the multiple of the service's average latency from which
	// an outstanding request's age counts as a delay of its target.
	slowFactor = 3
	// overPrice is the part of a slot's time that exceeding the own share by one
	// request is expected to cost.
	overPrice = 0.5
	// slownessHalf is the time without an answer in which the known slowness of
	// a target halves.
	slownessHalf = time.Second
	// slownessLeast is the part of the average latency, as 1/slownessLeast, below
	// which slowness no longer counts.
	slownessLeast = 8
	// defaultLatency is used before any latency is known.
	defaultLatency = 5 * time.Millisecond
)

// choose returns the target with the least expected delay, or nil if waiting
// is expected to be better.
func (t *Table) choose(now time.Duration, r *Request) *Target {
	var best *Target
	bestDelay := t.waitDelay()
	n := len(t.working)
	for i := range n {
		tg := t.working[(t.rotation+i)%n]
		if !t.allowed(now, r, tg) {
			continue
		}
		if d := t.delay(now, tg); d < bestDelay {
			best = tg
			bestDelay = d
		}
	}
	if best != nil {
		t.rotation++
	}
	return best
}

// allowed reports whether the request may go to the target now.
func (t *Table) allowed(now time.Duration, r *Request, tg *Target) bool {
	if !tg.usable() || now < tg.notBefore {
		return false
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, tg.Region) {
		return false
	}
	if slices.Contains(r.Avoid, tg) {
		return false
	}
	return tg.Outstanding < t.limit(now, tg)
}

// limit is the number of requests that this entry may have outstanding at the
// target.
func (t *Table) limit(now time.Duration, tg *Target) int {
	if tg.Phase.Value == PhaseWarm {
		if tg.failures > 0 {
			return 1
		}
		return t.service.Slots + t.slack(tg)
	}
	if !tg.owned || now-tg.ownedAt < t.OwnerWait {
		return 0
	}
	return t.coldLimit()
}

// slack is the number of requests beyond the slots that keep a target busy
// while others are on their way.
func (t *Table) slack(tg *Target) int {
	onWay := float64(t.service.Slots) * float64(t.distance(tg)) / float64(t.mean())
	return min(t.service.Slots, int(math.Ceil(onWay)))
}

// coldLimit is the owner's part of the cold limit. The other half is kept for
// an entry that is the owner according to another list.
func (t *Table) coldLimit() int {
	return max(1, t.service.ColdLimit/2)
}

// delay is the expected time that the target adds to its own work.
func (t *Table) delay(now time.Duration, tg *Target) time.Duration {
	mean := t.mean()
	d := t.distance(tg)
	if tg.Phase.Value == PhaseCold {
		// Without a start a cold target would never get work beside warm ones.
		d -= domainTrip + mean
	}
	if over := tg.Outstanding + 1 - tg.Share; over > 0 && tg.Phase.Value == PhaseWarm {
		d += time.Duration(float64(over) * float64(mean) * (overPrice + t.price) / float64(t.service.Slots))
	}
	if age := tg.oldest(now); age > slowFactor*mean {
		d += age - slowFactor*mean
	}
	return d + t.slowness(now, tg)
}

// slowness is what the target's own latency exceeds the average by. It fades,
// since a target that gets no work has no way to show that it is fast again. A
// cold target's latency says nothing of its time when warm.
func (t *Table) slowness(now time.Duration, tg *Target) time.Duration {
	if tg.latency.count == 0 || tg.Phase.Value == PhaseCold {
		return 0
	}
	excess := tg.latency.value - t.mean()
	if excess <= 0 {
		return 0
	}
	excess >>= min((now-tg.measuredAt)/slownessHalf, 62)
	if excess < t.mean()/slownessLeast {
		return 0
	}
	return excess
}

// measure takes how long an exchange with the target took, or has taken so far.
func (t *Table) measure(now time.Duration, tg *Target, took time.Duration) {
	if now-tg.measuredAt >= slownessHalf {
		tg.latency.value = min(tg.latency.value, t.mean()+t.slowness(now, tg))
	}
	tg.latency.add(took)
	tg.measuredAt = now
}

func (t *Table) distance(tg *Target) time.Duration {
	switch {
	case tg.Region != t.Location.Region:
		return regionTrip
	case tg.Domain != t.Location.Domain:
		return domainTrip
	}
	return 0
}

// waitDelay is the expected time until a request that stays in the queue gets
// a slot: the queue drains at the pace of the outstanding requests.
func (t *Table) waitDelay() time.Duration {
	if t.running == 0 {
		return time.Hour
	}
	perSlot := t.mean() / time.Duration(t.running)
	return max(perSlot*time.Duration(len(t.queue.items)+1), domainTrip) + t.mean()
}

func (t *Table) mean() time.Duration {
	if t.latency.count == 0 {
		return defaultLatency
	}
	return max(t.latency.value, time.Microsecond)
}
