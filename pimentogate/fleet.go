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

// fleet is what this entry and the others tell each other.
type fleet struct {
	mu      sync.Mutex // Guards the fields below.
	state   pimentofeed.State
	records map[string]pimentoroute.Record // The decoded items that exist.
	lapsed  map[string]lapse
	present presence
	roster  *pimentopeer.GossipMembership
	reader  pimentofeed.ReadPolicy
	readers map[string]time.Duration // When a member last said that it reads.
	reading bool                     // This entry reads, and it works.
	readAt  time.Duration            // When it last worked.
	wanted  bool                     // This entry should read.
	crashes []crashNews
	changed chan struct{} // Closed and replaced when there is something to tell.
	fresher chan struct{} // Closed and replaced when the state was confirmed anew.
}

// lapse is a target whose entry went while the platform was away. It may be
// back soon.
type lapse struct {
	record pimentoroute.Record
	until  time.Duration
}

const (
	// lapseTerm is how long a target whose entry went during an outage of the
	// platform is still used after the platform's return.
	lapseTerm = 2 * time.Second
	// outageAge is the age of the state from which the platform counts as
	// having been away.
	outageAge = 2 * time.Second
)

func newFleet(self pimentopeer.Member) *fleet {
	return &fleet{
		records: make(map[string]pimentoroute.Record),
		lapsed:  make(map[string]lapse),
		present: make(presence),
		roster:  pimentopeer.NewGossipMembership(self),
		readers: make(map[string]time.Duration),
		changed: make(chan struct{}),
		fresher: make(chan struct{}),
	}
}

// touch wakes those that tell other entries. It is called with mu held.
func (f *fleet) touch() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// freshGain is how much younger the state must become for the neighbours to be
// told at once.
const freshGain = 300 * time.Millisecond

// confirm notes the age of the state. It is called with mu held.
func (f *fleet) confirm(now, age time.Duration) {
	before, known := f.state.Age(now)
	f.state.Confirm(now, age)
	if !known || before-age > freshGain {
		close(f.fresher)
		f.fresher = make(chan struct{})
	}
}

// tell notes a crash for the other entries.
func (f *fleet) tell(n crashNews) {
	f.mu.Lock()
	f.crashes = append(f.crashes, n)
	f.touch()
	f.mu.Unlock()
}

// age returns the age of the state. While this entry reads, the state is new.
// It is called with mu held.
func (f *fleet) age(now time.Duration) (time.Duration, bool) {
	if f.reading && now-f.readAt < readTrust {
		return 0, true
	}
	return f.state.Age(now)
}

// readTrust is the time since the last answer of the platform for which a
// waiting watch counts as up to date: as long as it waits, and the time for a
// slow answer. After it, other entries of the region take over.
const readTrust = pimentoplatform.WatchWait + 700*time.Millisecond

// take merges an update and puts what follows from it in force.
func (g *Gate) take(u pimentofeed.Update, from string) {
	now := g.now()
	f := g.fleet
	f.mu.Lock()
	age, known := f.age(now)
	outage := !known || age > outageAge
	before := f.state.AsOf()
	changed := f.state.Merge(now, u)
	for _, it := range changed {
		g.apply(now, it, outage && before > 0)
	}
	moved := f.state.AsOf() != before
	if moved {
		f.touch()
	}
	if len(changed) > 0 {
		g.rebuild(now)
	}
	f.mu.Unlock()
	if len(changed) > 0 {
		g.noteChange("msg", "published items changed", "from", from, "items", len(changed), "revision", u.AsOf, "age", age)
	}
}

// connShare is the part of a target's connections that all entries use.
const connShare = 0.8

// leastConns is the share of a target's connections that an entry has at least.
const leastConns = 4

// limitConns sets this entry's share of the connections to each target.
func (g *Gate) limitConns(t *pimentoroute.Table) {
	if t.Config == nil {
		return
	}
	n := max(1, int(g.fleetSize.Load()))
	known := make(map[string]bool)
	for name, list := range t.Targets {
		s := t.Config.Services[name]
		if s == nil {
			continue
		}
		limit := max(leastConns, int(connShare*float64(s.MaxConns))/n)
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

// asOf returns the revision up to which this entry knows everything.
func (g *Gate) asOf() pimentofeed.Revision {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.AsOf()
}

// keepFleet does what is due at intervals, until stop is closed.
func (g *Gate) keepFleet(stop <-chan struct{}) {
	t := time.NewTicker(fleetTick)
	defer t.Stop()
	var clock pauseClock
	clock.start()
	sweep, last := 0, g.now()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if stood := g.now() - last; stood > stallLimit {
			g.resume(stood)
		}
		last = g.now()
		if paused := clock.paused(); paused > pauseLimit {
			g.wokeUp(paused)
		}
		g.expire()
		if sweep++; sweep%sweepTicks == 0 {
			g.client.Prune(time.Now())
		}
	}
}

const (
	// fleetTick is the time between two looks at the fleet.
	fleetTick = 250 * time.Millisecond
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

// resume keeps an entry that stood still from taking the others for gone, which
// it couldn't hear.
func (g *Gate) resume(stood time.Duration) {
	f := g.fleet
	f.mu.Lock()
	f.roster.Resume(g.now())
	f.mu.Unlock()
	g.note(level.WarnValue(), "msg", "process stood still", "for", stood)
}

// wokeUp doubts what is known after a pause.
func (g *Gate) wokeUp(paused time.Duration) {
	f := g.fleet
	f.mu.Lock()
	f.state.MarkUnconfirmed()
	f.readAt = 0
	f.reading = false
	f.touch()
	f.mu.Unlock()
	g.client.CloseAllIdle()
	g.note(level.WarnValue(), "msg", "process was paused", "paused", paused)
}

// expire drops members and news that are old, and works out the shares.
func (g *Gate) expire() {
	now := g.now()
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster.Expire(now)
	g.noteMembers()
	var kept []crashNews // A new list, since notes may still hold the old one.
	for _, n := range f.crashes {
		if now-n.at < crashMemory {
			kept = append(kept, n)
		}
	}
	f.crashes = kept
	if now < shareWait {
		return
	}
	g.fleetSize.Store(int64(max(f.roster.LiveCount(), int(g.fleetSize.Load()))))
	domain := f.roster.DomainMembers(g.settings.Domain)
	for i, m := range domain {
		if m.Name == g.settings.Name {
			g.domainRank.Store(int64(i))
		}
	}
	g.domainSize.Store(int64(f.roster.PeakDomainSize() + 1))
}

// shareWait is the time after the start before which no share of a limit is
// used, since the other entries aren't known yet.
const shareWait = 1800 * time.Millisecond

// spreadOf returns a time between nothing and d.
func spreadOf(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }
