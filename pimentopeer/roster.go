package pimentopeer

import (
	"cmp"
	"slices"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Member is an entry as the entries tell each other of it, where no published
// list names them.
type Member struct {
	Name    pimentotarget.EntryName
	Address string // IP and port for peers.
	Region  pimentoregister.RegionName
	Domain  pimentoregister.DomainName
	// RunID is drawn at each start of the process.
	RunID uint64
	// Version orders what is said of a member. The member itself raises it.
	Version uint64
	// Stopping is set once the member has begun a planned stop.
	Stopping bool
	// Down is set by the members of the same domain when they hear nothing.
	Down bool
}

// supersedes reports whether a record goes before another one of the same member.
func (m *Member) supersedes(other *Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Down && !other.Down
}

const (
	// downTimeout is the time without a word from a member of the own domain after
	// which it counts as gone.
	downTimeout = 2500 * time.Millisecond
	// memberRetention is the time for which a gone member is remembered, and for
	// which the greatest size of the domain counts.
	memberRetention = time.Minute
)

// GossipMembership is the set of entries that this one has heard of, from them or from
// others. It isn't safe for concurrent use.
type GossipMembership struct {
	self        Member
	members     map[pimentotarget.EntryName]*memberState
	domainSizes []sizeSample
}

type memberState struct {
	Member
	confirmedAt time.Duration // Of a word from the member itself, or of the news of it.
	downAt      time.Duration
	// neighbourSince is when the member became a neighbour, where it is one.
	neighbourSince time.Duration
	isNeighbour    bool
}

type sizeSample struct {
	at   time.Duration
	size int
}

// NewGossipMembership returns a roster that knows the entry itself only.
func NewGossipMembership(self Member) *GossipMembership {
	return &GossipMembership{self: self, members: make(map[pimentotarget.EntryName]*memberState)}
}

// Self returns the entry's own record.
func (g *GossipMembership) Self() Member { return g.self }

// Stop marks the entry itself as stopping.
func (g *GossipMembership) Stop() {
	g.self.Stopping = true
	g.self.Version++
}

// Merge takes what another entry knows.
func (g *GossipMembership) Merge(now time.Duration, list []Member) {
	for i := range list {
		g.merge(now, &list[i])
	}
	g.recordDomainSize(now)
}

func (g *GossipMembership) merge(now time.Duration, m *Member) {
	if m.Name == g.self.Name {
		// An older run of this entry, or an stale word that it is gone.
		stale := m.RunID != g.self.RunID || m.Down
		if m.Version > g.self.Version || (stale && m.Version == g.self.Version) {
			g.self.Version = m.Version + 1
		}
		return
	}
	e := g.members[m.Name]
	if e == nil {
		g.members[m.Name] = &memberState{Member: *m, confirmedAt: now, downAt: now}
		return
	}
	if !m.supersedes(&e.Member) {
		return
	}
	if m.Down {
		e.downAt = now
	} else {
		e.confirmedAt = now
	}
	e.Member = *m
}

// LivenessRecord returns a record that only tells those who know the member already that
// it is there.
func (m *Member) LivenessRecord() Member {
	return Member{Name: m.Name, RunID: m.RunID, Version: m.Version}
}

// isLivenessRecord reports whether a record is one that Short has made.
func (m *Member) isLivenessRecord() bool { return m.Address == "" }

// MergeDirect takes a word from a member itself. A short record of an unknown run is
// no news: the rosters differ, so that the whole record follows.
func (g *GossipMembership) MergeDirect(now time.Duration, m Member) {
	if !m.isLivenessRecord() {
		g.merge(now, &m)
	}
	if e := g.members[m.Name]; e != nil && e.RunID == m.RunID {
		e.confirmedAt = now
	}
	g.recordDomainSize(now)
}

// Expire marks the neighbours that were not heard lately as gone, and forgets
// members that have been gone for long.
func (g *GossipMembership) Expire(now time.Duration) {
	g.updateNeighbours(now)
	for name, e := range g.members {
		switch {
		case e.Down && now-e.downAt > memberRetention:
			delete(g.members, name)
		case !e.Down && e.isNeighbour && now-max(e.confirmedAt, e.neighbourSince) > downTimeout:
			e.Down = true
			e.downAt = now
		}
	}
	g.recordDomainSize(now)
}

// Resume gives the neighbours a term anew, because this entry itself stood still
// and could hear nobody.
func (g *GossipMembership) Resume(now time.Duration) {
	for _, e := range g.members {
		e.neighbourSince = now
	}
}

// updateNeighbours notes the members with which this entry exchanges notes.
func (g *GossipMembership) updateNeighbours(now time.Duration) {
	ring := g.DomainMembers(g.self.Domain)
	neighbours := make(map[pimentotarget.EntryName]bool)
	for i, m := range ring {
		for _, next := range ringSuccessors(ring, i) {
			switch g.self.Name {
			case m.Name:
				neighbours[next.Name] = true
			case next.Name:
				neighbours[m.Name] = true
			}
		}
	}
	for name, e := range g.members {
		if neighbours[name] && !e.isNeighbour {
			e.neighbourSince = now
		}
		e.isNeighbour = neighbours[name]
	}
}

// smallRingSize is the number of entries up to which the second link of each is to
// the next but one.
const smallRingSize = 8

// ringSuccessors returns the members to which the one at a place in a ring talks:
// the next one, and one farther away, so that news takes few steps.
func ringSuccessors(ring []Member, index int) []Member {
	n := len(ring)
	farStep := 2
	if n > smallRingSize {
		farStep = n / 3
	}
	var list []Member
	for _, step := range []int{1, farStep} {
		if step%n != 0 {
			list = append(list, ring[(index+step)%n])
		}
	}
	return list
}

// SyncPeers returns the members of the own domain that this entry talks to.
// Those that are gone are among them, so that they are found when they are back.
func (g *GossipMembership) SyncPeers() []Member {
	list := g.ownSuccessors(g.DomainMembers(g.self.Domain))
	all := g.filter(func(m *Member) bool { return m.Domain == g.self.Domain })
	for _, m := range g.ownSuccessors(all) {
		if m.Down {
			list = append(list, m)
		}
	}
	return list
}

func (g *GossipMembership) ownSuccessors(ring []Member) []Member {
	for i, m := range ring {
		if m.Name == g.self.Name {
			return ringSuccessors(ring, i)
		}
	}
	return nil
}

// recordDomainSize remembers the size of the own domain.
func (g *GossipMembership) recordDomainSize(now time.Duration) {
	size := len(g.DomainMembers(g.self.Domain))
	kept := g.domainSizes[:0]
	for _, s := range g.domainSizes {
		if now-s.at < memberRetention && s.size > size {
			kept = append(kept, s)
		}
	}
	g.domainSizes = append(kept, sizeSample{at: now, size: size})
}

// PeakDomainSize returns the greatest number of entries that the own domain had
// lately.
func (g *GossipMembership) PeakDomainSize() int {
	if len(g.domainSizes) == 0 {
		return 1
	}
	return g.domainSizes[0].size
}

// DomainMembers returns the members of a domain that aren't gone, this one included,
// in the order of their names.
func (g *GossipMembership) DomainMembers(domain pimentoregister.DomainName) []Member {
	return g.filter(func(m *Member) bool { return m.Domain == domain && !m.Down })
}

// RegionMembers returns the members of a region that aren't gone or stopping, this one
// included, in the order of their names.
func (g *GossipMembership) RegionMembers(region pimentoregister.RegionName) []Member {
	return g.filter(func(m *Member) bool { return m.Region == region && !m.Down && !m.Stopping })
}

// OtherRecords returns all records but this entry's, gone ones too.
func (g *GossipMembership) OtherRecords() []Member {
	return g.filter(func(m *Member) bool { return m.Name != g.self.Name })
}

// LiveCount returns the number of members that aren't gone, this one included.
func (g *GossipMembership) LiveCount() int {
	return len(g.filter(func(m *Member) bool { return !m.Down }))
}

func (g *GossipMembership) filter(keep func(*Member) bool) []Member {
	var list []Member
	if keep(&g.self) {
		list = append(list, g.self)
	}
	for _, e := range g.members {
		if keep(&e.Member) {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
