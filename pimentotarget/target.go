package pimentotarget

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Target is one target as seen by one entry. Its fields are changed only by
// its Table.
type Target struct {
	pimentoregister.TargetView

	// Phase is the target's phase.
	Phase VersionedPhase
	// Outstanding is the number of requests that this entry has sent and that
	// haven't ended.
	Outstanding int
	// Share is this entry's share of the target's slots.
	Share int
	// Leaving is set while the platform lists the VM as leaving.
	Leaving bool

	owned      bool          // This entry is the owner.
	ownedAt    time.Duration // When it became the owner.
	removed    bool          // The register no longer has the target.
	notBefore  time.Duration // No request is sent earlier, after failures.
	failures   int           // Consecutive failures.
	refusals   int           // Consecutive refusals within the own share.
	latency    average       // Of this entry's own exchanges.
	measuredAt time.Duration // When latency changed last.
	started    []time.Duration
	boot       uint64 // Hash of the last boot mark, 0 if none was seen.
	coldSince  time.Duration
	coldOK     int           // Successes since the target turned cold.
	heardAt    time.Duration // When it answered last.
	probedAt   time.Duration
}

// usable reports whether the target may get new work at all.
func (t *Target) usable() bool {
	return !t.OutOfService && !t.Leaving && !t.removed
}

// oldest returns the age of the oldest outstanding request.
func (t *Target) oldest(now time.Duration) time.Duration {
	if len(t.started) == 0 {
		return 0
	}
	return now - t.started[0]
}

func (t *Target) begin(now time.Duration) {
	t.Outstanding++
	t.started = append(t.started, now)
}

func (t *Target) end(started time.Duration) {
	t.Outstanding--
	for i, s := range t.started {
		if s == started {
			t.started = append(t.started[:i], t.started[i+1:]...)
			return
		}
	}
}

// averageWeight is the weight of a new sample, as 1/averageWeight.
const averageWeight = 16

// average is an exponentially weighted moving average. The zero value is empty.
type average struct {
	value time.Duration
	count int
}

func (a *average) add(d time.Duration) {
	a.count++
	n := time.Duration(min(a.count, averageWeight))
	a.value += (d - a.value) / n
}
