package pimentopeer

import (
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Member is the record of one entry. Entries exchange such records where no list of
// entries is published.
type Member struct {
	Name    pimentotarget.EntryName
	Address string // IP and port for peers.
	Region  pimentoregister.RegionName
	Domain  pimentoregister.DomainName
	// RunID is a random number generated when the process starts.
	RunID uint64
	// Version orders the records of a member. It starts at the clock time at which the
	// process starts. Only the member itself increments it.
	Version uint64
	// Stopping is set once the member has begun a planned stop.
	Stopping bool
	// Down is set by neighbours in the same domain that receive nothing from the
	// member.
	Down bool
}

// supersedes reports whether a record replaces another one of the same member. Of two
// records with the same version, the one that is down does.
func (m *Member) supersedes(other *Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Down && !other.Down
}

const (
	// downTimeout is the time without a message from a neighbour in the same domain
	// after which it counts as down.
	downTimeout = 2500 * time.Millisecond
	// memberRetention is the time for which the record of a down member is kept, and
	// the time window of PeakDomainSize.
	memberRetention = time.Minute
)

// GossipMembership holds this entry's record and those of all others that it has
// received, from the members themselves or through others. It isn't safe for concurrent
// use.
type GossipMembership struct {
	self        Member
	members     map[pimentotarget.EntryName]*memberState
	domainSizes []sizeSample
	// checksums, domainSize and changes are kept by include and exclude.
	checksums  Checksums // Of all records, this entry's included.
	domainSize int       // Members of this entry's domain that aren't down.
	changes    uint64    // Number of changes of records.
	derived    *derived  // Nil after a record has changed.
}

type memberState struct {
	Member
	// confirmedAt is when the last message from the member itself, or the last newer
	// record of it, was received.
	confirmedAt time.Duration
	downAt      time.Duration // When the member was marked as down.
	// neighbourSince is when the member became a neighbour, or when this entry resumed
	// after a stall.
	neighbourSince time.Duration
	isNeighbour    bool
}

// sizeSample is the size of this entry's domain at one time.
type sizeSample struct {
	at   time.Duration
	size int
}

// NewGossipMembership returns a membership that contains only the entry itself.
func NewGossipMembership(self Member) *GossipMembership {
	g := &GossipMembership{self: self, members: make(map[pimentotarget.EntryName]*memberState)}
	g.include(&self)
	return g
}

// Self returns the entry's own record.
func (g *GossipMembership) Self() Member { return g.self }

// Stop marks this entry as stopping and increments its version.
func (g *GossipMembership) Stop() {
	g.self.Stopping = true
	g.setOwnVersion(g.self.Version + 1)
}

// setOwnVersion changes the version of the entry's own record.
func (g *GossipMembership) setOwnVersion(v uint64) {
	g.exclude(&g.self)
	g.self.Version = v
	g.include(&g.self)
}

// include updates what is kept about all records when one is added, and exclude when one
// is removed.
func (g *GossipMembership) include(m *Member) {
	g.checksums[bucketOf(m)] += m.checksum()
	if m.Domain == g.self.Domain && !m.Down {
		g.domainSize++
	}
	g.recordChanged()
}

func (g *GossipMembership) exclude(m *Member) {
	g.checksums[bucketOf(m)] -= m.checksum()
	if m.Domain == g.self.Domain && !m.Down {
		g.domainSize--
	}
	g.recordChanged()
}

func (g *GossipMembership) recordChanged() {
	g.changes++
	g.derived = nil
}

// Changes returns the number of changes of records. As long as it stays the same, so do
// the lists of members.
func (g *GossipMembership) Changes() uint64 { return g.changes }

// Merge merges the records received from another entry.
func (g *GossipMembership) Merge(now time.Duration, list []Member) {
	for i := range list {
		g.merge(now, &list[i])
	}
	g.recordDomainSize(now)
}

func (g *GossipMembership) merge(now time.Duration, m *Member) {
	if m.Name == g.self.Name {
		// A record of an earlier run of this entry, or one that wrongly marks it as
		// down, is overridden by a higher version.
		stale := m.RunID != g.self.RunID || m.Down
		if m.Version > g.self.Version || (stale && m.Version == g.self.Version) {
			g.setOwnVersion(m.Version + 1)
		}
		return
	}
	state := g.members[m.Name]
	if state == nil {
		g.members[m.Name] = &memberState{Member: *m, confirmedAt: now, downAt: now}
		g.include(m)
		return
	}
	if !m.supersedes(&state.Member) {
		return
	}
	if m.Down {
		state.downAt = now
	} else {
		state.confirmedAt = now
	}
	g.setRecord(state, *m)
}

// setRecord replaces the record of another member.
func (g *GossipMembership) setRecord(state *memberState, m Member) {
	g.exclude(&state.Member)
	state.Member = m
	g.include(&state.Member)
}

// LivenessRecord returns a short record without address, region and domain, for entries
// that have the full one. It only proves that the member is alive.
func (m *Member) LivenessRecord() Member {
	return Member{Name: m.Name, RunID: m.RunID, Version: m.Version}
}

// isLivenessRecord reports whether a record was made by LivenessRecord.
func (m *Member) isLivenessRecord() bool { return m.Address == "" }

// MergeDirect merges a record received from the member itself. It ignores a liveness
// record of an unknown run: the checksums of the two memberships then differ, so that
// the full record follows.
func (g *GossipMembership) MergeDirect(now time.Duration, m Member) {
	if !m.isLivenessRecord() {
		g.merge(now, &m)
	}
	if state := g.members[m.Name]; state != nil && state.RunID == m.RunID {
		state.confirmedAt = now
	}
	g.recordDomainSize(now)
}

// Expire marks neighbours as down from which nothing was received for downTimeout, and
// removes members that have been down for memberRetention.
func (g *GossipMembership) Expire(now time.Duration) {
	g.updateNeighbours(now)
	for _, state := range g.derive().neighbours {
		if !state.Down && now-max(state.confirmedAt, state.neighbourSince) > downTimeout {
			m := state.Member
			m.Down = true
			state.downAt = now
			g.setRecord(state, m)
		}
	}
	for _, state := range g.derive().down {
		if now-state.downAt > memberRetention {
			delete(g.members, state.Name)
			g.exclude(&state.Member)
		}
	}
	g.recordDomainSize(now)
}

// Resume restarts the timeout of all neighbours. It is called after this entry was
// stalled, as it couldn't receive anything in that time.
func (g *GossipMembership) Resume(now time.Duration) {
	for _, state := range g.members {
		state.neighbourSince = now
	}
}

// updateNeighbours determines the neighbours: the members of this entry's domain that
// send sync messages to it or receive them from it.
func (g *GossipMembership) updateNeighbours(now time.Duration) {
	d := g.derive()
	if d.neighboursSet {
		return
	}
	d.neighboursSet = true
	neighbours := make(map[pimentotarget.EntryName]bool)
	ring := g.DomainMembers(g.self.Domain)
	if i, ok := Rank(ring, g.self.Name); ok {
		for _, m := range ringNeighbours(ring, i) {
			neighbours[m.Name] = true
		}
	}
	for name, state := range g.members {
		if neighbours[name] && !state.isNeighbour {
			state.neighbourSince = now
		}
		if state.isNeighbour = neighbours[name]; state.isNeighbour {
			d.neighbours = append(d.neighbours, state)
		}
	}
}

// recordDomainSize adds the current size of this entry's domain. It drops samples that
// are outside the time window or not larger, so that the first one left is the peak.
func (g *GossipMembership) recordDomainSize(now time.Duration) {
	size := g.domainSize
	kept := g.domainSizes[:0]
	for _, s := range g.domainSizes {
		if now-s.at < memberRetention && s.size > size {
			kept = append(kept, s)
		}
	}
	g.domainSizes = append(kept, sizeSample{at: now, size: size})
}

// PeakDomainSize returns the largest number of entries that this entry's domain had
// within memberRetention. It is 1 before any record was received.
func (g *GossipMembership) PeakDomainSize() int {
	if len(g.domainSizes) == 0 {
		return 1
	}
	return g.domainSizes[0].size
}
