package pimentogate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoroute"
)

// fleet is what this entry and the others tell each other.
type fleet struct {
	mu      sync.Mutex // Guards the fields below.
	state   pimentofeed.State
	records map[string]pimentoroute.Record // The decoded items that exist.
	lapsed  map[string]lapse
	present presence
	roster  *pimentopeer.Roster
	reader  pimentofeed.Reader
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
		roster:  pimentopeer.NewRoster(self),
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
// waiting watch counts as up to date.
const readTrust = 5500 * time.Millisecond

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

// apply decodes one changed item. It is called with fleet.mu held.
func (g *Gate) apply(now time.Duration, it pimentofeed.Item, outage bool) {
	f := g.fleet
	old, had := f.records[it.Key]
	delete(f.lapsed, it.Key)
	if it.Removed {
		delete(f.records, it.Key)
		if had && old.Target != nil && outage {
			f.lapsed[it.Key] = lapse{record: old, until: now + lapseTerm}
			time.AfterFunc(lapseTerm, g.endLapses)
		}
		return
	}
	r, err := g.decode(it.Key, it.Value)
	if err != nil {
		delete(f.records, it.Key)
		g.metrics.count("pimento_undecodable_total")
		g.note(level.WarnValue(), "msg", "published item ignored", "key", it.Key, "revision", it.Revision, "err", err)
		return
	}
	if r.Config != nil && had && old.Config != nil && r.Config.Version < old.Config.Version {
		g.note(level.WarnValue(), "msg", "older configuration ignored", "version", r.Config.Version, "in_force", old.Config.Version)
		return
	}
	f.records[it.Key] = r
	if r.Target != nil && r.Target.ColdLeft > 0 {
		g.noteCold(now, r.Target)
	}
}

// noteCold takes a target's published word that it is cold.
func (g *Gate) noteCold(now time.Duration, t *pimentoroute.Target) {
	fl := &g.flow
	fl.mu.Lock()
	defer fl.mu.Unlock()
	s := fl.target(t.ID)
	s.coldUntil = max(s.coldUntil, now+t.ColdLeft)
}

// endLapses drops the targets that didn't come back after an outage.
func (g *Gate) endLapses() {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := g.now()
	for key, l := range f.lapsed {
		if l.until <= now {
			delete(f.lapsed, key)
		}
	}
	g.rebuild(now)
}

// rebuild puts a new table in force. It is called with fleet.mu held.
func (g *Gate) rebuild(now time.Duration) {
	f := g.fleet
	records := make([]pimentoroute.Record, 0, len(f.records)+len(f.lapsed))
	for _, r := range f.records {
		records = append(records, r)
	}
	for _, l := range f.lapsed {
		if l.until > now {
			records = append(records, l.record)
		}
	}
	old := g.table.Load()
	t := pimentoroute.Build(records, g.settings.Regions)
	g.table.Store(t)
	g.noteTargets(old, t)
	g.flow.forget(t)
	if t.Config != nil && (old == nil || old.Config == nil || old.Config.Version != t.Config.Version) {
		g.noteChange("msg", "configuration in force", "version", t.Config.Version, "routes", len(t.Config.Routes))
	}
	g.limitConns(t)
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
			g.client.Forget(address)
		}
	}
}

// decideReading decides whether this entry reads the platform.
func (g *Gate) decideReading() bool {
	now := g.now()
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.age(now)
	if f.reading {
		// What this entry reads itself says nothing of the others.
		age, known = 0, true
	}
	if f.state.AsOf() == 0 {
		return now > g.firstRead
	}
	if now < joinWait {
		return false
	}
	rank, earlier := 0, false
	for _, m := range f.roster.Region(g.region) {
		if m.Name == g.settings.Name {
			break
		}
		rank++
		if at, ok := f.readers[string(m.Name)]; ok && now-at < readerTerm {
			earlier = true
		}
	}
	if now < settleTime {
		rank += startRank
	}
	wanted := f.reader.Decide(now, rank, earlier, age, known)
	if wanted != f.wanted {
		f.wanted = wanted
		g.noteChange("msg", "reading the platform", "reads", wanted, "rank", rank, "age", age)
	}
	return wanted
}

const (
	// readerTerm is the time for which a member's word that it reads holds.
	readerTerm = 2 * time.Second
	// joinWait is the time after the start for which an entry that knows
	// something waits for the others before it reads the platform.
	joinWait = 900 * time.Millisecond
	// settleTime is the time after the start for which an entry may not know all
	// others of its region. It counts startRank more before itself until then.
	settleTime = 3 * time.Second
	startRank  = 5
	// firstReadWait and firstReadSpread make the time after the start at which
	// an entry that isn't a seed and that no other entry has told anything reads
	// the platform.
	firstReadWait   = 350 * time.Millisecond
	firstReadSpread = 350 * time.Millisecond
)

// setReading notes whether reading the platform works.
func (g *Gate) setReading(works bool) {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = works
	if works {
		f.readAt = g.now()
		f.state.Confirm(f.readAt, 0)
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
	sweep := 0
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if paused := clock.paused(); paused > pauseLimit {
			g.wokeUp(paused)
		}
		g.expire()
		if sweep++; sweep%sweepTicks == 0 {
			g.client.CloseIdle(time.Now())
		}
	}
}

const (
	// fleetTick is the time between two looks at the fleet.
	fleetTick = 250 * time.Millisecond
	// sweepTicks is the number of ticks between two searches for old idle
	// connections.
	sweepTicks = 8
	// pauseLimit is the time that this process stood still from which it
	// doubts what it knows.
	pauseLimit = 300 * time.Millisecond
)

// wokeUp doubts what is known after a pause.
func (g *Gate) wokeUp(paused time.Duration) {
	f := g.fleet
	f.mu.Lock()
	f.state.Doubt()
	f.readAt = 0
	f.reading = false
	f.touch()
	f.mu.Unlock()
	g.client.ForgetAll()
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
	g.fleetSize.Store(int64(max(f.roster.Size(), int(g.fleetSize.Load()))))
	domain := f.roster.Domain(g.settings.Domain)
	for i, m := range domain {
		if m.Name == g.settings.Name {
			g.domainRank.Store(int64(i))
		}
	}
	g.domainSize.Store(int64(f.roster.DomainSize() + 1))
}

// shareWait is the time after the start before which no share of a limit is
// used, since the other entries aren't known yet.
const shareWait = 1800 * time.Millisecond

// spreadOf returns a time between nothing and d.
func spreadOf(d time.Duration) time.Duration { return time.Duration(rand.Float64() * float64(d)) }
