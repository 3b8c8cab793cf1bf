package pimentogate

import (
	"time"
)

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
	for _, m := range f.roster.RegionMembers(g.region) {
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
