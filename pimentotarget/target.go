package pimentotarget

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Target is one entry's state of one target. Only its Table changes its fields.
type Target struct {
	pimentoregister.TargetView

	// Phase is the target's phase with its epoch.
	Phase VersionedPhase
	// Outstanding is the number of this entry's requests at the target that
	// haven't ended.
	Outstanding int
	// Share is this entry's share of the target's slots.
	Share int
	// Leaving is set while the platform lists the VM as leaving.
	Leaving bool

	owned         bool            // This entry is the owner.
	ownedSince    time.Duration   // When this entry became the owner, or was last stalled.
	removed       bool            // The register no longer has the target.
	backoffUntil  time.Duration   // No requests are sent earlier, after failures or refusals.
	failures      int             // Consecutive failures.
	refusals      int             // Consecutive refusals within the share.
	latency       movingAverage   // Of this entry's own exchanges.
	latencyAt     time.Duration   // When latency was last updated.
	started       []time.Duration // When the outstanding requests were sent, oldest first.
	bootID        uint64          // Hash of the last boot header value, 0 if none was received.
	coldSince     time.Duration   // When it became cold, or first responded after that.
	coldSuccesses int             // Successful responses since the target became cold.
	respondedAt   time.Duration   // When the last response other than a refusal arrived.
	probedAt      time.Duration
	withdrawal    Withdrawal // Pauses that the target has asked for.
}

// usable reports whether the target may get new requests at all.
func (t *Target) usable() bool {
	return !t.OutOfService && !t.Leaving && !t.removed
}

// oldestAge returns the age of the oldest outstanding request, or 0 if there is none.
func (t *Target) oldestAge(now time.Duration) time.Duration {
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

// averageWindow is the inverse of the least weight of a new sample. The first samples
// have equal weights.
const averageWindow = 16

// movingAverage is an exponentially weighted moving average. The zero value is empty.
type movingAverage struct {
	value time.Duration
	count int
}

func (a *movingAverage) add(d time.Duration) {
	a.count++
	n := time.Duration(min(a.count, averageWindow))
	a.value += (d - a.value) / n
}
