package pimentotarget

import (
	"slices"
	"time"

	"pimentoarch/pimentoregister"
)

// pauseReturn is the time after a pause in which a target gets one request at a time from
// each entry.
const pauseReturn = 500 * time.Millisecond

// isPaused reports whether the target has asked for a pause that hasn't ended.
func (t *Target) isPaused(now time.Duration) bool { return t.withdrawal.PauseLeft(now) > 0 }

// Pause records that a target wants no requests for a time, probes included. It reports
// whether the target wasn't paused before. A pause ends early when the target restarts.
// bootID is a hash of the boot header of the response that asked for the pause, or 0 if it
// had none.
func (t *Table) Pause(now time.Duration, tg *Target, bootID uint64, d time.Duration) bool {
	if bootID != 0 {
		t.recordBoot(now, tg, bootID)
	}
	return tg.withdrawal.Pause(now, d)
}

// AllPaused returns the time until the first target returns from its pause, and true if
// all targets in the regions that this entry may send to are paused. Empty regions mean any.
func (t *Table) AllPaused(now time.Duration, regions []pimentoregister.RegionName) (time.Duration, bool) {
	first, paused := time.Duration(0), false
	for _, tg := range t.targets {
		if !tg.usable() || t.sendLimit(now, tg) == 0 || (len(regions) > 0 && !slices.Contains(regions, tg.Region)) {
			continue
		}
		left := tg.withdrawal.PauseLeft(now)
		if left == 0 {
			return 0, false
		}
		if !paused || left < first {
			first, paused = left, true
		}
	}
	return first, paused
}
