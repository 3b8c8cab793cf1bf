package pimentogate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoroute"
)

// clusterState is what this entry and the others tell each other.
type clusterState struct {
	mu          sync.Mutex // Guards the fields below.
	feed        pimentofeed.State
	records     map[string]pimentoroute.Record // The decoded items that exist.
	expired     map[string]expiredRecord
	presentRuns memberRuns
	members     *pimentopeer.Roster
	readPolicy  pimentofeed.Reader
	readersSeen map[string]time.Duration // When a member last said that it reads.
	reading     bool                     // This entry reads, and it works.
	lastRead    time.Duration            // When it last worked.
	shouldRead  bool                     // This entry should read.
	crashes     []crashReport
	changed     chan struct{} // Closed and replaced when there is something to tell.
	confirmed   chan struct{} // Closed and replaced when the state was confirmed anew.
}

// expiredRecord is a target whose entry went while the platform was away. It may be
// back soon.
type expiredRecord struct {
	record pimentoroute.Record
	until  time.Duration
}

const (
	// expiredGrace is how long a target whose entry went during an outage of the
	// platform is still used after the platform's return.
	expiredGrace = 2 * time.Second
	// outageAge is the age of the state from which the platform counts as
	// having been away.
	outageAge = 2 * time.Second
)

func newClusterState(self pimentopeer.Member) *clusterState {
	return &clusterState{
		records:     make(map[string]pimentoroute.Record),
		expired:     make(map[string]expiredRecord),
		presentRuns: make(memberRuns),
		members:     pimentopeer.NewRoster(self),
		readersSeen: make(map[string]time.Duration),
		changed:     make(chan struct{}),
		confirmed:   make(chan struct{}),
	}
}

// signalChange wakes those that tell other entries. It is called with mu held.
func (cs *clusterState) signalChange() {
	close(cs.changed)
	cs.changed = make(chan struct{})
}

// confirmGain is how much younger the state must become for the neighbours to be
// told at once.
const confirmGain = 300 * time.Millisecond

// confirm notes the age of the state. It is called with mu held.
func (cs *clusterState) confirm(now, age time.Duration) {
	before, known := cs.feed.Age(now)
	cs.feed.Confirm(now, age)
	if !known || before-age > confirmGain {
		close(cs.confirmed)
		cs.confirmed = make(chan struct{})
	}
}

// addCrash notes a crash for the other entries.
func (cs *clusterState) addCrash(r crashReport) {
	cs.mu.Lock()
	cs.crashes = append(cs.crashes, r)
	cs.signalChange()
	cs.mu.Unlock()
}

// age returns the age of the state. While this entry reads, the state is new.
// It is called with mu held.
func (cs *clusterState) age(now time.Duration) (time.Duration, bool) {
	if cs.reading && now-cs.lastRead < readValidity {
		return 0, true
	}
	return cs.feed.Age(now)
}

// readValidity is the time since the last answer of the platform for which a
// waiting watch counts as up to date: as long as it waits, and the time for a
// slow answer. After it, other entries of the region take over.
const readValidity = pimentoplatform.WatchWait + 700*time.Millisecond

// applyUpdate merges an update and puts what follows from it in force.
func (g *Gate) applyUpdate(u pimentofeed.Update, from string) {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	age, known := cs.age(now)
	outage := !known || age > outageAge
	before := cs.feed.AsOf()
	changed := cs.feed.Merge(now, u)
	for _, it := range changed {
		g.applyItem(now, it, outage && before > 0)
	}
	advanced := cs.feed.AsOf() != before
	if advanced {
		cs.signalChange()
	}
	if len(changed) > 0 {
		g.rebuildTable(now)
	}
	cs.mu.Unlock()
	if len(changed) > 0 {
		g.logChange("msg", "published items changed", "from", from, "items", len(changed), "revision", u.AsOf, "age", age)
	}
}

// connShare is the part of a target's connections that all entries use.
const connShare = 0.8

// minConns is the share of a target's connections that an entry has at least.
const minConns = 4

// limitConns sets this entry's share of the connections to each target.
func (g *Gate) limitConns(t *pimentoroute.Table) {
	if t.Config == nil {
		return
	}
	n := max(1, int(g.clusterSize.Load()))
	known := make(map[string]bool)
	for name, list := range t.Targets {
		s := t.Config.Services[name]
		if s == nil {
			continue
		}
		limit := max(minConns, int(connShare*float64(s.MaxConns))/n)
		for _, tg := range list {
			known[tg.Address] = true
			g.client.SetLimit(tg.Address, limit)
		}
	}
	for _, address := range g.client.Addresses() {
		if !known[address] {
			g.client.Forget(address)
		}
	}
}

// knownRevision returns the revision up to which this entry knows everything.
func (g *Gate) knownRevision() pimentofeed.Revision {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.feed.AsOf()
}

// maintainCluster does what is due at intervals, until stop is closed.
func (g *Gate) maintainCluster(stop <-chan struct{}) {
	t := time.NewTicker(clusterTick)
	defer t.Stop()
	var clock pauseClock
	clock.start()
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
		if paused := clock.paused(); paused > pauseLimit {
			g.resumeAfterPause(paused)
		}
		g.expire()
		if ticks++; ticks%sweepTicks == 0 {
			g.client.CloseIdle(time.Now())
		}
	}
}

const (
	// clusterTick is the time between two looks at the fleet.
	clusterTick = 250 * time.Millisecond
	// sweepTicks is the number of ticks between two searches for old idle
	// connections.
	sweepTicks = 8
	// stallLimit is the time between two ticks from which this process counts as
	// having stood still.
	stallLimit = time.Second
	// pauseLimit is the time that this process stood still from which it
	// doubts what it knows.
	pauseLimit = 300 * time.Millisecond
)

// resumeAfterStall keeps an entry that stood still from taking the others for gone, which
// it couldn't hear.
func (g *Gate) resumeAfterStall(stalled time.Duration) {
	cs := g.cluster
	cs.mu.Lock()
	cs.members.Resume(g.now())
	cs.mu.Unlock()
	g.logLine(level.WarnValue(), "msg", "process stood still", "for", stalled)
}

// resumeAfterPause doubts what is known after a pause.
func (g *Gate) resumeAfterPause(paused time.Duration) {
	cs := g.cluster
	cs.mu.Lock()
	cs.feed.Doubt()
	cs.lastRead = 0
	cs.reading = false
	cs.signalChange()
	cs.mu.Unlock()
	g.client.ForgetAll()
	g.logLine(level.WarnValue(), "msg", "process was paused", "paused", paused)
}

// expire drops members and news that are old, and works out the shares.
func (g *Gate) expire() {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.members.Expire(now)
	g.logMemberChanges()
	var kept []crashReport // A new list, since notes may still hold the old one.
	for _, r := range cs.crashes {
		if now-r.receivedAt < crashReportTTL {
			kept = append(kept, r)
		}
	}
	cs.crashes = kept
	if now < shareDelay {
		return
	}
	g.clusterSize.Store(int64(max(cs.members.Size(), int(g.clusterSize.Load()))))
	domain := cs.members.Domain(g.settings.Domain)
	for i, m := range domain {
		if m.Name == g.settings.Name {
			g.domainRank.Store(int64(i))
		}
	}
	g.domainSize.Store(int64(cs.members.DomainSize() + 1))
}

// shareDelay is the time after the start before which no share of a limit is
// used, since the other entries aren't known yet.
const shareDelay = 1800 * time.Millisecond

// randomUpTo returns a time between nothing and d.
func randomUpTo(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }
