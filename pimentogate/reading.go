package pimentogate

import (
	"time"
)

// decideReading decides whether this entry reads the platform.
func (g *Gate) decideReading() bool {
	now := g.now()
	f := g.cluster
	f.mu.Lock()
	defer f.mu.Unlock()
	age, known := f.age(now)
	if f.reading {
		// What this entry reads itself says nothing of the others.
		age, known = 0, true
	}
	if f.feed.AsOf() == 0 {
		return now > g.firstReadAt
	}
	if now < joinWait {
		return false
	}
	rank, earlier := 0, false
	for _, m := range f.members.Region(g.region) {
		if m.Name == g.settings.Name {
			break
		}
		rank++
		if at, ok := f.readersSeen[string(m.Name)]; ok && now-at < readerTTL {
			earlier = true
		}
	}
	if now < membershipWait {
		rank += startRankOffset
	}
	wanted := f.readPolicy.Decide(now, rank, earlier, age, known)
	if wanted != f.shouldRead {
		f.shouldRead = wanted
		g.logChange("msg", "reading the platform", "reads", wanted, "rank", rank, "age", age)
	}
	return wanted
}

const (
	// readerTTL is the time for which a member's word that it reads holds.
	readerTTL = 2 * time.Second
	// joinWait is the time after the start for which an entry that knows
	// something waits for the others before it reads the platform.
	joinWait = 900 * time.Millisecond
	// membershipWait is the time after the start for which an entry may not know all
	// others of its region. It counts startRank more before itself until then.
	membershipWait  = 3 * time.Second
	startRankOffset = 5
	// firstReadWait and firstReadSpread make the time after the start at which
	// an entry that isn't a seed and that no other entry has told anything reads
	// the platform.
	firstReadWait   = 350 * time.Millisecond
	firstReadJitter = 350 * time.Millisecond
)

// setReading notes whether reading the platform works.
func (g *Gate) setReading(works bool) {
	f := g.cluster
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reading = works
	if works {
		f.lastRead = g.now()
		f.feed.Confirm(f.lastRead, 0)
	}
}
