package pimentotarget

import "time"

// quietTerm is the time without an answer after which traffic tells nothing of
// a target.
const quietTerm = 5 * time.Second

// DueProbes returns the targets that this entry should probe now, and counts them
// as probed. Only the owner of a target probes it, and only while traffic tells
// nothing of it. An owner spends half of the budget, so that two entries that
// own a target by different lists keep it together.
func (t *Table) DueProbes(now time.Duration) []*Target {
	if t.service.ProbePath == "" {
		return nil
	}
	interval := t.probeInterval()
	var due []*Target
	for _, tg := range t.targets {
		if !tg.owned || !tg.usable() || now-tg.heardAt < quietTerm || now-tg.probedAt < interval {
			continue
		}
		tg.probedAt = now
		due = append(due, tg)
	}
	return due
}

// probeInterval is the time between two probes of one target.
func (t *Table) probeInterval() time.Duration {
	perSecond := float64(t.service.ProbeBudget) / float64(t.service.ProbeCost) / 2
	return max(quietTerm, time.Duration(float64(time.Second)/perSecond))
}

// ProbeDone takes the end of a probe. boot is a hash of the boot mark in the
// answer, or 0 if there was none.
func (t *Table) ProbeDone(now time.Duration, tg *Target, ok bool, boot uint64) {
	if !ok {
		t.backOff(now, tg)
		t.turnCold(now, tg)
		return
	}
	tg.heardAt = now
	if boot != 0 {
		t.noteBoot(now, tg, boot)
	}
}

// State names the state of a target, and says why it gets no work or less.
func (t *Table) State(now time.Duration, tg *Target) (state, why string) {
	switch {
	case tg.OutOfService:
		return "out", "its failure domain is out of service"
	case tg.Leaving:
		return "leaving", "the platform lists it as leaving"
	case now < tg.notBefore:
		return "failing", "its last requests failed"
	case tg.Phase.Value == PhaseCold && tg.owned:
		return "cold", "this entry warms it up"
	case tg.Phase.Value == PhaseCold:
		return "cold", "its owner hasn't announced that it is warm"
	case tg.oldest(now) > slowFactor*t.mean():
		return "slow", "its oldest request takes unusually long"
	}
	return "warm", ""
}
