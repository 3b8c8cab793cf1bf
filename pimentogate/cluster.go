package pimentogate

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// clusterState is the state that entries exchange: published items and members.
type clusterState struct {
	mu      sync.Mutex                     // Guards the fields below.
	feed    pimentofeed.State              // This entry's copy of the published items.
	records map[string]pimentoroute.Record // Decoded items that exist.
	expired map[string]expiredRecord
	// tableChanges are the changes of records that the active table lacks.
	tableChanges tableChanges
	presentRuns  memberRuns
	// loggedChanges is the number of changes of members' records up to which
	// presentRuns is complete.
	loggedChanges uint64
	// sharedChanges is the number of changes that this entry's shares of limits follow.
	sharedChanges uint64
	members       *pimentopeer.GossipMembership
	size          fleetSize
	readPolicy    pimentofeed.ReadPolicy
	readings      map[uint64]reading // The last reading of each entry, by its run ID.
	reading       bool               // This entry reads the platform successfully.
	lastRead      time.Duration      // When the last read succeeded.
	// due is the last moment at which an answer to an entry that reads the platform is due.
	// 0 while none is known.
	due        time.Duration
	shouldRead bool // This entry is to read the platform.
	stale      bool // The feed is older than staleAge, or of unknown age.
	// confirmedBy is sourcePlatform or the name of the entry that last confirmed the feed.
	confirmedBy string
	changed     chan struct{} // Closed and replaced when peers are to be sent something.
	// freshness bounds the age of the feed, in time of bootTime. It is used while keys that
	// are taken away must be refused, see Settings.Revocation.
	freshness pimentofeed.Freshness
	stamps    pimentofeed.Stamps
	// clock shows whether the machine was suspended since the last tick of maintainCluster.
	clock pauseClock
	// answered is set once the platform has answered this entry.
	answered bool
	// staleRead is set while the items are those of a read that was allowed to be stale.
	staleRead bool
	// undecoded is set while the newest published configuration can't be decoded, so that
	// its keys aren't known.
	undecoded bool
	// configRemoved is set while the platform has no configuration any more.
	configRemoved bool
	// answerDue is the time after an answer of the platform within which the next one comes:
	// the duration of a watch, and a margin for the way there and back.
	answerDue time.Duration
	// confirmed is closed and replaced when the age of the feed becomes known or drops
	// by more than confirmGain, an answer of the platform is due much later, or requests
	// with a key are served again.
	confirmed chan struct{}
	outage    platformOutage
	// cutOffAt is when this entry was last found to be cut off from the platform, 0 if it wasn't
	// since the platform's last answer.
	cutOffAt        time.Duration
	loggedStaleness staleness
}

// expiredRecord is a target that was removed during an outage of the platform. It
// may be published again soon, so it is kept for a grace period.
type expiredRecord struct {
	record pimentoroute.Record
	until  time.Duration
}

const (
	// expiredGrace is how long a target removed during an outage of the platform is
	// still used after the outage.
	expiredGrace = 2 * time.Second
	// outageAge is the age of the feed above which a target may have been removed in an
	// outage of the platform.
	outageAge = 2 * time.Second
)

// targetsMayLapse reports whether targets may have been removed only because they couldn't reach
// the platform: it was away for all a moment ago, or this entry is cut off from it, most likely
// with targets near by. It is called with mu held.
func (cs *clusterState) targetsMayLapse(now time.Duration) bool {
	if cs.isAwayForAll(now) || cs.isCutOff(now) {
		return true
	}
	return cs.outage.awayAt != 0 && now-cs.outage.awayAt < expiredGrace
}

func newClusterState(self pimentopeer.Member) *clusterState {
	cs := &clusterState{
		records:     make(map[string]pimentoroute.Record),
		expired:     make(map[string]expiredRecord),
		presentRuns: make(memberRuns),
		members:     pimentopeer.NewGossipMembership(self),
		readings:    make(map[uint64]reading),
		changed:     make(chan struct{}),
		confirmed:   make(chan struct{}),
		stamps:      pimentofeed.Stamps{Nonce: rand.Uint64()},
		answerDue:   maxAnswerDue,
		outage:      platformOutage{changed: make(chan struct{})},

		loggedStaleness: outdated, // Until an answer shows the age of the items.
	}
	cs.clock.start()
	return cs
}

// runID returns the ID of this start of the entry.
func (cs *clusterState) runID() uint64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.members.Self().RunID
}

// signalChange wakes the sync loops. It is called with mu held.
func (cs *clusterState) signalChange() {
	close(cs.changed)
	cs.changed = make(chan struct{})
}

// confirmGain is the decrease in the feed's age above which the sync peers of the own
// domain are informed at once.
const confirmGain = 300 * time.Millisecond

// confirm records the age of the feed as stated by an entry. It is called with mu held.
func (cs *clusterState) confirm(now, age time.Duration, from string) {
	before, known := cs.feed.Age(now)
	cs.feed.Confirm(now, age)
	if !known || age < before {
		cs.confirmedBy = from
	}
	if !known || before-age > confirmGain {
		cs.signalConfirmed()
	}
}

// signalConfirmed wakes the sync loops with the entries of the region. It is called with mu
// held.
func (cs *clusterState) signalConfirmed() {
	close(cs.confirmed)
	cs.confirmed = make(chan struct{})
}

// notifyPeers wakes the sync loops.
func (cs *clusterState) notifyPeers() {
	cs.mu.Lock()
	cs.signalChange()
	cs.mu.Unlock()
}

// age returns the age of the feed, and false if it is unknown. While this entry
// reads the platform, the age is 0. It is called with mu held.
func (cs *clusterState) age(now time.Duration) (time.Duration, bool) {
	if cs.readsNow(now) {
		return 0, true
	}
	return cs.feed.Age(now)
}

// readsNow reports whether this entry reads the platform successfully. It is called with
// mu held.
func (cs *clusterState) readsNow(now time.Duration) bool {
	return cs.reading && now-cs.lastRead < cs.answerDue
}

// sourcePlatform is the name of the platform as a source of updates, beside the names
// of entries.
const sourcePlatform = "platform"

// applyUpdate merges an update and rebuilds the table if items have changed. from
// is sourcePlatform or the name of the entry that sent the update.
func (g *Gate) applyUpdate(u pimentofeed.Update, from string) {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	age, known := cs.age(now)
	before := cs.feed.At()
	outage := before.Revision > 0 && (!known || age > outageAge) && cs.targetsMayLapse(now)
	changed := cs.feed.Merge(now, u)
	if from == sourcePlatform {
		g.noteRead(&u)
	}
	for _, it := range changed {
		g.applyItem(now, it, outage)
	}
	if before.Revision > 0 && cs.feed.At().Era > before.Era {
		g.logEra(before, from)
	}
	advanced := cs.feed.At() != before
	if advanced {
		cs.confirmedBy = from
		cs.signalChange()
	}
	if len(changed) > 0 {
		g.updateTable()
	}
	cs.mu.Unlock()
	if len(changed) > 0 {
		g.logChange("msg", "published items changed", "from", from, "items", len(changed), "revision", u.AsOf, "age", age)
	}
}

// connLimitFraction is the fraction of a target's connection limit that all entries use
// together.
const connLimitFraction = 0.8

// minConns is the number of connections to a target that any entry may open, however
// small its share is.
const minConns = 4

// connLimit returns this entry's share of the connections to a target of a service.
func (g *Gate) connLimit(s *pimentoroute.Service) int {
	return max(minConns, int(connLimitFraction*float64(s.MaxConns))/max(1, int(g.clusterSize.Load())))
}

// limitConns limits the connections to each target to this entry's share, and
// removes the pools of targets that are no longer published.
func (g *Gate) limitConns(t *pimentoroute.Table) {
	if t == nil || t.Config == nil {
		return
	}
	known := make(map[string]bool)
	for name, list := range t.Targets {
		s := t.Config.Services[name]
		if s == nil {
			continue
		}
		limit := g.connLimit(s)
		for _, tg := range list {
			known[tg.Address] = true
			g.client.SetLimit(tg.Address, limit)
		}
	}
	for _, address := range g.client.Addresses() {
		if !known[address] {
			g.client.Remove(address)
		}
	}
}

// updateConns does the same as limitConns for one changed target.
func (g *Gate) updateConns(t *pimentoroute.Table, c pimentoroute.Change) {
	inService := c.New != nil && t.Has(c.New)
	moved := c.Old != nil && !(inService && c.New.Address == c.Old.Address)
	if moved && !t.HasAddress(c.Old.Address) {
		g.client.Remove(c.Old.Address)
	}
	if !inService || t.Config == nil {
		return
	}
	if s := t.Config.Services[c.New.Service]; s != nil {
		g.client.SetLimit(c.New.Address, g.connLimit(s))
	}
}

// knownPoint returns the point up to which this entry's items are complete.
func (g *Gate) knownPoint() pimentofeed.Point {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.feed.At()
}

// maintainCluster does the periodic work on the cluster state until stop is closed.
func (g *Gate) maintainCluster(stop <-chan struct{}) {
	t := time.NewTicker(clusterTick)
	defer t.Stop()
	ticks, last := 0, g.now()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if stalled := g.now() - last; stalled > stallLimit {
			g.resumeAfterStall(stalled)
		}
		last = g.now()
		g.resumeAfterPause()
		g.updateMembership()
		g.settleItems()
		if ticks++; ticks%sweepTicks == 0 {
			g.client.Prune(time.Now())
		}
		if ticks%pruneTicks == 0 {
			g.traffic.prune(g.now(), g.table.Load())
			g.pruneLines(g.table.Load())
		}
	}
}

const (
	// clusterTick is the interval of maintainCluster.
	clusterTick = 250 * time.Millisecond
	// sweepTicks is the number of ticks between two sweeps that close idle
	// connections.
	sweepTicks = 8
	// pruneTicks is the number of ticks between two removals of the statistics of what is
	// no longer published.
	pruneTicks = 40
	// stallLimit is the time between two ticks above which this process counts as
	// stalled.
	stallLimit = time.Second
	// pauseLimit is the duration of a suspension of the machine above which the
	// state counts as unconfirmed.
	pauseLimit = 300 * time.Millisecond
)

// resumeAfterStall restarts the timeout after which members count as down. While this
// process was stalled, it couldn't receive their messages.
func (g *Gate) resumeAfterStall(stalled time.Duration) {
	cs := g.cluster
	cs.mu.Lock()
	cs.members.Resume(g.now())
	cs.expireFailures(g.now())
	cs.mu.Unlock()
	g.logLine(level.WarnValue(), "msg", "process stood still", "for", stalled)
}

// resumeAfterPause marks the state as unconfirmed if the machine was suspended, and closes
// idle connections.
func (g *Gate) resumeAfterPause() {
	cs := g.cluster
	cs.mu.Lock()
	paused := cs.clock.paused()
	if paused <= pauseLimit {
		cs.mu.Unlock()
		return
	}
	cs.feed.MarkUnconfirmed()
	cs.lastRead = 0
	cs.reading = false
	cs.expireFailures(g.now())
	cs.signalChange()
	cs.mu.Unlock()
	g.client.CloseAllIdle()
	g.logLine(level.WarnValue(), "msg", "process was paused", "paused", paused)
}

// updateMembership marks members as down from which nothing was received, removes
// them later, drops expired crash reports, and updates the numbers that this entry's
// shares of limits are computed from.
func (g *Gate) updateMembership() {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.members.Expire(now)
	g.logMemberChanges()
	g.expireCrashes(now)
	g.updateFleetSize(now)
	g.logOutage(now)
	g.logStaleness()
	if now < shareDelay {
		return
	}
	if cs.members.Changes() != cs.sharedChanges || g.domainNames.Load() == nil {
		cs.sharedChanges = cs.members.Changes()
		g.updateDomain(cs.members.DomainMembers(g.settings.Domain))
	}
	g.domainSize.Store(int64(cs.members.PeakDomainSize() + 1))
}

// updateFleetSize updates the number of entries that shares of limits are computed from. It
// is called with clusterState.mu held.
func (g *Gate) updateFleetSize(now time.Duration) {
	cs := g.cluster
	live := cs.members.LiveCount()
	cs.size.observe(now, live, live == 1 && g.hasOtherSeeds())
	n := int64(cs.size.value())
	g.earlySize.Store(int64(cs.size.early(now)))
	if n == g.clusterSize.Load() {
		return
	}
	g.clusterSize.Store(n)
	g.logChange("msg", "share of limits changed", "entries", n, "live", live, "stated", cs.size.stated)
	g.limitConns(g.table.Load())
}

// hasOtherSeeds reports whether other entries are named as seeds.
func (g *Gate) hasOtherSeeds() bool {
	return slices.ContainsFunc(g.seeds(), func(address string) bool { return address != g.settings.PeersAddr })
}

// updateDomain updates what is known about the entries of this entry's domain.
func (g *Gate) updateDomain(members []pimentopeer.Member) {
	names := make([]pimentotarget.EntryName, len(members))
	for i := range members {
		names[i] = members[i].Name
	}
	g.domainNames.Store(&names)
	if rank, ok := pimentopeer.Rank(members, g.settings.Name); ok {
		g.domainRank.Store(int64(rank))
		g.domainLive.Store(int64(len(members)))
	}
}

// shareDelay is the time after the start before which the entries of this entry's domain
// count as unknown, because not all are known yet.
const shareDelay = 1800 * time.Millisecond

// randomUpTo returns a random time between 0 and d.
func randomUpTo(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }
