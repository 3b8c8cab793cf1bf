package pimentotarget

import "time"

// staleAfter is the time since a target's last response, refusals not counted, after
// which the state that its traffic has shown is stale.
const staleAfter = 5 * time.Second

// DueProbes returns the targets that this entry should probe now, and records them
// as probed. Only the owner of a target probes it, and only if no response other than
// refusals has arrived for staleAfter. An owner spends half of the probe budget, so
// that two entries that both own the target, under different lists of entries, keep
// within the budget.
func (t *Table) DueProbes(now time.Duration) []*Target {
	if t.service.ProbePath == "" {
		return nil
	}
	interval := t.probeInterval()
	var due []*Target
	for _, tg := range t.targets {
		if !tg.owned || !tg.usable() || tg.isPaused(now) || now-tg.respondedAt < staleAfter || now-tg.probedAt < interval {
			continue
		}
		tg.probedAt = now
		due = append(due, tg)
	}
	return due
}

// probeInterval returns the time between two probes of one target.
func (t *Table) probeInterval() time.Duration {
	perSecond := float64(t.service.ProbeBudget) / float64(t.service.ProbeCost) / 2
	return max(staleAfter, time.Duration(float64(time.Second)/perSecond))
}

// ProbeDone records the end of a probe. bootID is a hash of the response's boot
// header, or 0 if it had none.
func (t *Table) ProbeDone(now time.Duration, tg *Target, ok bool, bootID uint64) {
	if !ok {
		t.backOff(now, tg)
		t.setCold(now, tg)
		return
	}
	tg.respondedAt = now
	if bootID != 0 {
		t.recordBoot(now, tg, bootID)
	}
}

// State returns the name of a target's state, and the reason why it gets fewer
// requests than a warm target or none. The reason of a warm target is empty.
func (t *Table) State(now time.Duration, tg *Target) (state, reason string) {
	switch {
	case tg.OutOfService:
		return "out", "its failure domain is out of service"
	case tg.Leaving:
		return "leaving", "the platform lists it as leaving"
	case tg.isPaused(now):
		return "paused", "it has asked for a pause"
	case now < tg.backoffUntil:
		return "failing", "its last requests failed"
	case tg.Phase.Value == PhaseCold && tg.owned:
		return "cold", "this entry warms it up"
	case tg.Phase.Value == PhaseCold:
		return "cold", "its owner hasn't announced that it is warm"
	case tg.oldestAge(now) > slowFactor*t.meanLatency():
		return "slow", "its oldest request takes unusually long"
	}
	return "warm", ""
}
