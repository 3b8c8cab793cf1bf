package pimentogate

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
)

// Whether the platform is away for all entries, or only for this one and a few others, can't be
// seen from here alone. So each entry states when the platform has failed to answer it, and the
// statements are forwarded like readings. The platform is away for all if most of the fleet say
// that it failed them, and an answer to any reader is so long overdue that one would have been
// heard of. Membership is no evidence: entries of other domains still count as members long after
// the links to them were cut. Statements soon expire instead.

const (
	// failureTTL is the time for which a failure counts. An entry that is cut off from the
	// others goes by what it heard from them for that long. Entries that can't read state a new
	// one in less time, the way to the others included.
	failureTTL = 3 * time.Second
	// answerSpread is the time in which entries of all regions hear that a reader got an answer:
	// sync messages to another region are sent once in crossRegionSyncInterval.
	answerSpread = crossRegionSyncInterval + 100*time.Millisecond
	// failuresPerDomain bounds the failures of a failure domain that are forwarded. So many show
	// that the platform fails the domain, not only a few of its entries.
	failuresPerDomain = 8
	// maxFailures bounds the failures in a sync message.
	maxFailures = 128
	// failureRenewal is the time after which an entry that still waits for an overdue answer
	// states that again.
	failureRenewal = 250 * time.Millisecond
	// failureSignalGap is the minimum time between two failures of which the sync peers are
	// informed at once, and renewalSignalGap that while most entries are known to have failed.
	// The others are in the messages that are sent at intervals.
	failureSignalGap = 100 * time.Millisecond
	renewalSignalGap = 500 * time.Millisecond
	// readDue is the time within which the answer to a read of all items is due.
	readDue = time.Second
	// outageSyncInterval takes the place of crossRegionSyncInterval while most entries can't read
	// the platform, so that their statements don't expire on the way.
	outageSyncInterval = 500 * time.Millisecond
	// outageCheck is the time for which the count of failures is used again.
	outageCheck = 50 * time.Millisecond
)

// failure is an entry's statement that the platform has just failed to answer it. Its number is
// like that of a reading: it keeps an old statement from being taken for a new one.
type failure struct {
	run    uint64 // The run ID of the entry.
	number uint64
	at     time.Duration // When it was made, by the receiver's clock.
}

// platformOutage is what is known about the platform not answering entries.
type platformOutage struct {
	failures map[uint64]failure // The last failure of each entry, by its run ID.
	// answerDue is when the answer to the read of this entry that is under way is due, 0
	// without one.
	answerDue   time.Duration
	signalledAt time.Duration // When the sync peers were last informed at once.
	// changed is closed and replaced when the platform fails more domains than before.
	changed chan struct{}
	// failing is the number of entries of the domains that it fails, and majority whether these
	// are most, as of countedAt. counted is set if nothing has changed since.
	failing           int
	majority, counted bool
	countedAt         time.Duration
	awayAt            time.Duration // When the platform was last found to be away for all entries, 0 if never.
	logged            bool          // The platform was logged as away for all entries.
}

// isAwayForAll reports whether the platform is away for the whole fleet, as far as this entry
// knows. It is called with mu held.
func (cs *clusterState) isAwayForAll(now time.Duration) bool {
	if cs.due != 0 && cs.overdue(now) < answerSpread || !cs.mostFail(now) {
		return false
	}
	cs.outage.awayAt = now
	return true
}

// mostFail reports whether the failure domains that the platform fails have more than half of the
// fleet's entries. It is called with mu held.
func (cs *clusterState) mostFail(now time.Duration) bool {
	o := &cs.outage
	cs.renewFailure(now)
	if len(o.failures) == 0 {
		return false
	}
	if !o.counted || now-o.countedAt >= outageCheck {
		cs.countFailing(now)
	}
	return o.majority
}

// countFailing counts the entries of the failure domains that the platform fails. If they are more
// than before, all sync peers are informed at once. It is called with mu held.
func (cs *clusterState) countFailing(now time.Duration) {
	o := &cs.outage
	failing, all := cs.failingEntries(now)
	if failing > o.failing {
		close(o.changed)
		o.changed = make(chan struct{})
		cs.signalConfirmed()
	}
	o.failing, o.majority, o.counted, o.countedAt = failing, 2*failing > all, true, now
}

// syncInterval returns the time between two sync messages to a peer, where usual is that of its
// policy.
func (g *Gate) syncInterval(usual time.Duration) time.Duration {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if usual == crossRegionSyncInterval && cs.mostFail(g.now()) {
		return outageSyncInterval
	}
	return usual
}

// outageSignal returns a channel that is closed when the platform fails more domains than before.
func (cs *clusterState) outageSignal() <-chan struct{} {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.outage.changed
}

// failingEntries returns the number of entries in the failure domains that the platform fails,
// and that of the fleet. Entries that are down count as well, and the largest size that was seen:
// an entry that is cut off soon takes others for down. It is called with mu held.
func (cs *clusterState) failingEntries(now time.Duration) (failing, all int) {
	size := cs.size.value()
	if size < 2 {
		return 0, 0 // This entry hasn't met others, and may be the only one that is cut off.
	}
	counts := make(map[pimentoregister.DomainName]int)
	for run, f := range cs.outage.failures {
		if m, ok := cs.members.ByRun(run); ok && now-f.at < failureTTL {
			counts[m.Domain]++
		}
	}
	for domain, n := range counts {
		if members := len(cs.members.DomainMembers(domain)); n >= failuresNeeded(members) {
			failing += members
		}
	}
	return failing, max(size, len(cs.members.OtherRecords())+1)
}

// failuresNeeded returns how many entries of a failure domain must have failed for it to count as
// failed by the platform: more than half, up to failuresPerDomain.
func failuresNeeded(members int) int { return min(members/2+1, failuresPerDomain) }

// recordFailure records that the platform failed to answer this entry. It is called with mu held.
func (cs *clusterState) recordFailure(now time.Duration) {
	run := cs.members.Self().RunID
	cs.addFailure(now, failure{run: run, number: cs.outage.failures[run].number + 1, at: now})
}

// renewFailure records a failure while this entry's read is overdue. It is called with mu held.
func (cs *clusterState) renewFailure(now time.Duration) {
	o := &cs.outage
	if o.answerDue == 0 || now < o.answerDue {
		return
	}
	if last, ok := o.failures[cs.members.Self().RunID]; !ok || now-last.at >= failureRenewal {
		cs.recordFailure(now)
	}
}

// addFailure stores a failure. If others of its domain have failed as well, the sync peers are
// informed soon. It is called with mu held.
func (cs *clusterState) addFailure(now time.Duration, f failure) {
	o := &cs.outage
	if o.failures == nil {
		o.failures = make(map[uint64]failure)
	}
	o.failures[f.run] = f
	o.counted = false
	gap := failureSignalGap
	if o.majority {
		gap = renewalSignalGap
	}
	if now-o.signalledAt >= gap && cs.hasCompany(now, f.run) {
		o.signalledAt = now
		cs.signalConfirmed()
	}
}

// hasCompany reports whether the entry that made a failure isn't the only one of its domain that
// has failed, or has no other one there. It is called with mu held.
func (cs *clusterState) hasCompany(now time.Duration, run uint64) bool {
	self, _ := cs.members.ByRun(run)
	if len(cs.members.DomainMembers(self.Domain)) <= 1 {
		return true
	}
	for other, f := range cs.outage.failures {
		m, ok := cs.members.ByRun(other)
		if ok && other != run && m.Domain == self.Domain && now-f.at < failureTTL {
			return true
		}
	}
	return false
}

// mergeFailures stores the failures that are new, of entries that are known. It is called with mu
// held.
func (cs *clusterState) mergeFailures(now time.Duration, list []failure) {
	if len(list) == 0 {
		return
	}
	own := cs.members.Self().RunID
	for _, f := range list {
		_, isMember := cs.members.ByRun(f.run)
		if isMember && f.run != own && f.number > cs.outage.failures[f.run].number {
			cs.addFailure(now, f)
		}
	}
	if !cs.outage.counted && !cs.outage.majority {
		cs.countFailing(now)
	}
}

// currentFailures returns the failures that are forwarded: the newest ones of each domain, newest
// first. It is called with mu held.
func (cs *clusterState) currentFailures(now time.Duration) []failure {
	cs.renewFailure(now)
	if len(cs.outage.failures) == 0 {
		return nil
	}
	var list []failure
	for run, f := range cs.outage.failures {
		if now-f.at < failureTTL {
			list = append(list, f)
		} else if now-f.at > readingRetention && run != cs.members.Self().RunID {
			delete(cs.outage.failures, run)
		}
	}
	slices.SortFunc(list, func(a, b failure) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.run, b.run)) })
	counts := make(map[pimentoregister.DomainName]int)
	list = slices.DeleteFunc(list, func(f failure) bool {
		m, ok := cs.members.ByRun(f.run)
		counts[m.Domain]++
		return !ok || counts[m.Domain] > failuresPerDomain
	})
	return list[:min(len(list), maxFailures)]
}

// expireFailures makes what is known of failures count no longer, after a time in which this entry
// couldn't hear. The numbers of failures are kept. It is called with mu held.
func (cs *clusterState) expireFailures(now time.Duration) {
	cs.cutOffAt = 0
	for run := range cs.outage.failures {
		cs.expireFailure(now, run)
	}
}

// expireFailure does the same as expireFailures for one entry. It is called with mu held.
func (cs *clusterState) expireFailure(now time.Duration, run uint64) {
	if f, ok := cs.outage.failures[run]; ok {
		f.at = min(f.at, now-failureTTL)
		cs.outage.failures[run] = f
		cs.outage.counted = false
	}
}

// noteFailure records the failure of a read. An error that the platform has answered with is none.
func (g *Gate) noteFailure(err error) {
	g.metrics.count("pimento_platform_failures_total")
	if isAnswer(err) {
		return
	}
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.recordFailure(g.now())
}

// isAnswer reports whether the platform has read the request that ended with an error and answered
// it from its items.
func isAnswer(err error) bool {
	var e *pimentoplatform.Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Kind == pimentoplatform.KindCompacted || e.Kind == pimentoplatform.KindTooLarge || e.Kind == pimentoplatform.KindRestored
}

// timedSource returns the platform as a source that records when each answer is due.
func (g *Gate) timedSource() pimentoplatform.Source {
	return pimentoplatform.Source{
		Read: func(stale bool) (pimentofeed.Update, error) {
			ended := g.expectAnswer(readDue, platformMargin)
			u, err := g.source.Read(stale)
			ended(err)
			return u, err
		},
		Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
			ended := g.expectAnswer(wait+platformMargin, wait+platformMargin)
			u, err := g.source.Watch(after, wait)
			ended(err)
			return u, err
		},
	}
}

// expectAnswer records that an answer is due within a time, and checks this entry's link from
// checkAfter on. The function that it returns is called when the answer has come, or with the error
// of the read.
func (g *Gate) expectAnswer(within, checkAfter time.Duration) func(error) {
	set := func(due time.Duration) {
		cs := g.cluster
		cs.mu.Lock()
		defer cs.mu.Unlock()
		cs.outage.answerDue = due
	}
	began, ended := g.now(), make(chan struct{})
	set(began + within)
	check := time.AfterFunc(checkAfter, func() { g.checkLink(ended) })
	return func(err error) {
		set(0)
		check.Stop()
		close(ended)
		g.noteRefusedRead(err, g.now()-began)
	}
}

// logOutage logs when the platform is away for all entries, and when it no longer is. It is called
// with clusterState.mu held.
func (g *Gate) logOutage(now time.Duration) {
	cs := g.cluster
	away := cs.isAwayForAll(now)
	if away == cs.outage.logged {
		return
	}
	cs.outage.logged = away
	failing, all := cs.failingEntries(now)
	if away {
		g.logChange("msg", "platform away for all entries", "failing", failing, "entries", all, "overdue", cs.overdue(now))
		return
	}
	g.logChange("msg", "platform no longer away for all entries", "failing", failing, "entries", all, "overdue", cs.overdue(now))
}
