package pimentotarget

import "time"

// Result says how an exchange with a target ended.
type Result uint8

const (
	// ResultOK means that the target answered.
	ResultOK Result = iota + 1
	// ResultRefused means that the target said that it did not run the request.
	ResultRefused
	// ResultConnectFailed means that no connection could be opened.
	ResultConnectFailed
	// ResultIncomplete means that the connection broke, or the answer was invalid.
	ResultIncomplete
	// ResultTimeout means that no answer came in time.
	ResultTimeout
	// ResultCancelled means that the caller no longer wanted the answer.
	ResultCancelled
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// coldRefusals is the number of consecutive refusals within the own share
	// that turn a target cold.
	coldRefusals = 3
	// coldRest is the time after an exchange that ended without an answer in
	// which a cold target may still be working on it.
	coldRest = 250 * time.Millisecond
	// maxPrice bounds the price of exceeding the own shares, and priceDecay is
	// what each answer takes off it. Each refusal adds one.
	maxPrice   = 16
	priceDecay = 0.05
	// minColdOK is the number of answers that a target gives before it is warm.
	minColdOK = 3
)

// Done takes the end of an exchange that began at the time sent. boot is a
// hash of the boot mark in the answer, or 0 if there was none.
func (t *Table) Done(now time.Duration, tg *Target, sent time.Duration, res Result, boot uint64) {
	within := tg.Outstanding <= max(tg.Share, 1)
	tg.end(sent)
	t.running--
	if tg.Phase.Value == PhaseCold && res != ResultOK && res != ResultRefused {
		// The target may not have noticed yet that the exchange has ended.
		tg.notBefore = max(tg.notBefore, now+coldRest)
	}
	if boot != 0 {
		t.noteBoot(now, tg, boot)
	}
	switch res {
	case ResultOK:
		t.succeed(now, tg, now-sent)
	case ResultRefused:
		t.refuse(now, tg, within)
	case ResultConnectFailed, ResultIncomplete:
		t.backOff(now, tg)
		t.turnCold(now, tg)
	case ResultTimeout:
		t.measure(now, tg, now-sent)
		t.backOff(now, tg)
	case ResultCancelled:
		// Age is a lower bound of the latency.
		if age := now - sent; age > tg.latency.value {
			t.measure(now, tg, age)
		}
	}
}

func (t *Table) noteBoot(now time.Duration, tg *Target, boot uint64) {
	if tg.boot != 0 && tg.boot != boot {
		t.turnCold(now, tg)
	}
	tg.boot = boot
}

func (t *Table) succeed(now time.Duration, tg *Target, took time.Duration) {
	tg.failures = 0
	tg.refusals = 0
	tg.notBefore = 0
	t.price = max(t.price-priceDecay, 0)
	tg.heardAt = now
	t.measure(now, tg, took)
	t.latency.add(took)
	if tg.Phase.Value != PhaseCold || !tg.owned {
		return
	}
	tg.coldOK++
	if tg.coldOK == 1 {
		tg.coldSince = now
	}
	warmup := time.Duration(t.service.Warmup) * time.Millisecond
	if tg.coldOK >= minColdOK && now-tg.coldSince >= warmup {
		t.setMark(tg, VersionedPhase{Epoch: tg.Phase.Epoch, Value: PhaseWarm})
	}
}

// refuse waits for about the time in which a slot becomes free, and makes
// exceeding the own shares dearer. Refusals within the own share speak of more
// than a full target.
func (t *Table) refuse(now time.Duration, tg *Target, within bool) {
	tg.notBefore = now + t.mean()
	t.price = min(t.price+1, maxPrice)
	if !within {
		return
	}
	tg.refusals++
	tg.notBefore = now + min(maxBackoff, t.mean()<<min(tg.refusals, 10))
	if tg.refusals >= coldRefusals {
		t.turnCold(now, tg)
	}
}

func (t *Table) backOff(now time.Duration, tg *Target) {
	tg.notBefore = now + min(maxBackoff, minBackoff<<min(tg.failures, 10))
	tg.failures++
}

// turnCold starts a new epoch, unless the target is cold already.
func (t *Table) turnCold(now time.Duration, tg *Target) {
	tg.refusals = 0
	tg.coldOK = 0
	tg.coldSince = now
	if tg.Phase.Value == PhaseWarm {
		t.setMark(tg, VersionedPhase{Epoch: tg.Phase.Epoch + 1, Value: PhaseCold})
	}
}

// SuspectRestart counts a target as restarted, because it closed connections that
// were in use a moment ago.
func (t *Table) SuspectRestart(now time.Duration, tg *Target) { t.turnCold(now, tg) }

func (t *Table) setMark(tg *Target, m VersionedPhase) {
	tg.Phase = m
	t.changed = append(t.changed, tg)
}

// Changed returns the targets whose marks this entry has changed since the
// last call, for its peers.
func (t *Table) Changed() []*Target {
	list := t.changed
	t.changed = nil
	return list
}

// Merge takes a mark from a peer. It reports whether the mark was news.
func (t *Table) Merge(now time.Duration, tg *Target, m VersionedPhase) bool {
	if !tg.Phase.Less(m) {
		return false
	}
	tg.Phase = m
	if m.Value == PhaseCold {
		tg.coldOK = 0
		tg.coldSince = now
	}
	return true
}

// ResetToCold counts all warm marks as old, after this process has paused. Peers'
// marks of the same epoch restore them.
func (t *Table) ResetToCold(now time.Duration) {
	for _, tg := range t.targets {
		tg.Phase.Value = PhaseCold
		tg.ownedAt = now
		tg.coldOK = 0
	}
}
