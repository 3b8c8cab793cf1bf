package pimentotarget

import "time"

// Result is the way in which an exchange with a target ended.
type Result uint8

const (
	// ResultOK means that the target sent a valid response.
	ResultOK Result = iota + 1
	// ResultRefused means that the target reported that it did not execute the
	// request.
	ResultRefused
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultIncomplete means that the connection failed before the response was
	// complete, or that the response was invalid.
	ResultIncomplete
	// ResultTimeout means that no response arrived in time.
	ResultTimeout
	// ResultCancelled means that the response was no longer needed.
	ResultCancelled
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// coldRefusals is the number of consecutive refusals within the entry's share
	// after which a target counts as cold.
	coldRefusals = 3
	// coldBackoff is the time after an exchange without a response during which a
	// cold target may still be executing the request.
	coldBackoff = 250 * time.Millisecond
	// Each refusal adds one to Table.refusalPenalty, up to maxRefusalPenalty, and
	// each valid response subtracts refusalPenaltyDecay.
	maxRefusalPenalty   = 16
	refusalPenaltyDecay = 0.05
	// minColdSuccesses is the least number of valid responses before a cold target
	// counts as warm.
	minColdSuccesses = 3
)

// Done records the end of an exchange that began at the time sent. bootID is a hash
// of the response's boot header, or 0 if it had none.
func (t *Table) Done(now time.Duration, tg *Target, sent time.Duration, res Result, bootID uint64) {
	withinShare := tg.Outstanding <= max(tg.Share, 1)
	tg.end(sent)
	t.outstanding--
	if tg.Phase.Value == PhaseCold && res != ResultOK && res != ResultRefused {
		// The target may not have detected yet that the exchange has ended.
		tg.backoffUntil = max(tg.backoffUntil, now+coldBackoff)
	}
	if bootID != 0 {
		t.recordBoot(now, tg, bootID)
	}
	switch res {
	case ResultOK:
		t.recordSuccess(now, tg, now-sent)
	case ResultRefused:
		t.recordRefusal(now, tg, withinShare)
	case ResultConnectFailed, ResultIncomplete:
		t.backOff(now, tg)
		t.setCold(now, tg)
	case ResultTimeout:
		t.recordLatency(now, tg, now-sent)
		t.backOff(now, tg)
	case ResultCancelled:
		// The age is a lower bound of the latency.
		if age := now - sent; age > tg.latency.value {
			t.recordLatency(now, tg, age)
		}
	}
}

// recordBoot sets the target's boot ID. A changed boot ID means that the target
// has restarted, so it is cold.
func (t *Table) recordBoot(now time.Duration, tg *Target, bootID uint64) {
	if tg.bootID != 0 && tg.bootID != bootID {
		tg.withdrawal = Withdrawal{}
		t.setCold(now, tg)
	}
	tg.bootID = bootID
}

// recordSuccess records a valid response. The owner of a cold target counts it as warm
// when minColdSuccesses valid responses have arrived and the service's warmup time has
// passed since the first.
func (t *Table) recordSuccess(now time.Duration, tg *Target, took time.Duration) {
	tg.failures = 0
	tg.refusals = 0
	tg.backoffUntil = 0
	t.refusalPenalty = max(t.refusalPenalty-refusalPenaltyDecay, 0)
	tg.respondedAt = now
	t.recordLatency(now, tg, took)
	t.latency.add(took)
	if tg.Phase.Value != PhaseCold || !tg.owned {
		return
	}
	tg.coldSuccesses++
	if tg.coldSuccesses == 1 {
		tg.coldSince = now
	}
	warmup := time.Duration(t.service.Warmup) * time.Millisecond
	if tg.coldSuccesses >= minColdSuccesses && now-tg.coldSince >= warmup {
		t.setPhase(tg, VersionedPhase{Epoch: tg.Phase.Epoch, Value: PhaseWarm})
	}
}

// recordRefusal backs off for the average latency, in which slots become free, and
// raises the cost of exceeding a share. Refusals within the entry's share have other
// causes than a full target: each one doubles the backoff, and coldRefusals of them
// in a row mean that the target is cold.
func (t *Table) recordRefusal(now time.Duration, tg *Target, withinShare bool) {
	tg.backoffUntil = now + t.meanLatency()
	t.refusalPenalty = min(t.refusalPenalty+1, maxRefusalPenalty)
	if !withinShare {
		return
	}
	tg.refusals++
	tg.backoffUntil = now + min(maxBackoff, t.meanLatency()<<min(tg.refusals, 10))
	if tg.refusals >= coldRefusals {
		t.setCold(now, tg)
	}
}

// backOff starts a backoff whose duration doubles with each consecutive failure.
func (t *Table) backOff(now time.Duration, tg *Target) {
	tg.backoffUntil = now + min(maxBackoff, minBackoff<<min(tg.failures, 10))
	tg.failures++
}

// setCold resets the warmup, and starts a new epoch unless the target is already
// cold.
func (t *Table) setCold(now time.Duration, tg *Target) {
	tg.refusals = 0
	tg.coldSuccesses = 0
	tg.coldSince = now
	if tg.Phase.Value == PhaseWarm {
		t.setPhase(tg, VersionedPhase{Epoch: tg.Phase.Epoch + 1, Value: PhaseCold})
	}
}

// SuspectRestart treats a target as restarted, because it closed idle connections
// that hadn't expired yet.
func (t *Table) SuspectRestart(now time.Duration, tg *Target) { t.setCold(now, tg) }

func (t *Table) setPhase(tg *Target, p VersionedPhase) {
	tg.Phase = p
	t.changed = append(t.changed, tg)
}

// Changed returns the targets whose phases this entry has changed since the last
// call, so that the caller can publish them to its peers.
func (t *Table) Changed() []*Target {
	list := t.changed
	t.changed = nil
	return list
}

// Merge sets the target's phase to one received from a peer, if that supersedes
// it. It reports whether the phase has changed.
func (t *Table) Merge(now time.Duration, tg *Target, p VersionedPhase) bool {
	if !tg.Phase.Less(p) {
		return false
	}
	tg.Phase = p
	if p.Value == PhaseCold {
		tg.coldSuccesses = 0
		tg.coldSince = now
	}
	return true
}

// ResetToCold sets all targets to cold without a new epoch. The caller uses it after
// this process was stalled, when the phases may be stale. Peers' warm phases of
// the same epoch supersede them again.
func (t *Table) ResetToCold(now time.Duration) {
	for _, tg := range t.targets {
		tg.Phase.Value = PhaseCold
		tg.ownedSince = now
		tg.coldSuccesses = 0
	}
}
