package pimentopeer

import (
	"cmp"
	"slices"
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
	return &GossipMembership{self: self, members: make(map[pimentotarget.EntryName]*memberState)}
}

// Self returns the entry's own record.
func (g *GossipMembership) Self() Member { return g.self }

// Stop marks this entry as stopping and increments its version.
func (g *GossipMembership) Stop() {
	g.self.Stopping = true
	g.self.Version++
}

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
			g.self.Version = m.Version + 1
		}
		return
	}
	state := g.members[m.Name]
	if state == nil {
		g.members[m.Name] = &memberState{Member: *m, confirmedAt: now, downAt: now}
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
	state.Member = *m
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
	for name, state := range g.members {
		switch {
		case state.Down && now-state.downAt > memberRetention:
			delete(g.members, name)
		case !state.Down && state.isNeighbour && now-max(state.confirmedAt, state.neighbourSince) > downTimeout:
			state.Down = true
			state.downAt = now
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
	for name, state := range g.members {
		if neighbours[name] && !state.isNeighbour {
			state.neighbourSince = now
		}
		state.isNeighbour = neighbours[name]
	}
}

// A ring is a list of members of one domain, sorted by name, in which the first member
// follows the last.

const (
	// smallRingSize is the size of the largest ring in which the second successor of a
	// member is two steps away. In medium rings it is a third of the ring away.
	smallRingSize = 8
	// mediumRingSize is the size of the largest ring in which a member has two successors.
	// In larger ones they are 1, stepRatio, stepRatio^2 and so on steps away, up to half
	// of the ring, so that the hops and the successors grow with the logarithm of its size.
	mediumRingSize = 24
	stepRatio      = 4
)

// ringSteps returns how far away the successors of each member of a ring are.
func ringSteps(size int) []int {
	switch {
	case size <= smallRingSize:
		return []int{1, 2}
	case size <= mediumRingSize:
		return []int{1, size / 3}
	}
	var steps []int
	for step := 1; step <= size/2; step *= stepRatio {
		steps = append(steps, step)
	}
	return steps
}

// ringSuccessors returns the members to which the one at an index of a ring sends sync
// messages: the next one, and others farther away (see ringSteps), so that updates need
// few hops.
func ringSuccessors(ring []Member, index int) []Member {
	n := len(ring)
	var list []Member
	for _, step := range ringSteps(n) {
		if step%n != 0 {
			list = append(list, ring[(index+step)%n])
		}
	}
	return list
}

// SyncPeers returns the members of this entry's domain to which this entry sends sync
// messages. Down members are included, so that they are found when they return.
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

// recordDomainSize adds the current size of this entry's domain. It drops samples that
// are outside the time window or not larger, so that the first one left is the peak.
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

// PeakDomainSize returns the largest number of entries that this entry's domain had
// within memberRetention. It is 1 before any record was received.
func (g *GossipMembership) PeakDomainSize() int {
	if len(g.domainSizes) == 0 {
		return 1
	}
	return g.domainSizes[0].size
}

// DomainMembers returns the members of a domain that aren't down, sorted by name,
// including this entry if it is in that domain.
func (g *GossipMembership) DomainMembers(domain pimentoregister.DomainName) []Member {
	return g.filter(func(m *Member) bool { return m.Domain == domain && !m.Down })
}

// RegionMembers returns the members of a region that are neither down nor stopping,
// sorted by name, including this entry if it is in that region and isn't stopping.
func (g *GossipMembership) RegionMembers(region pimentoregister.RegionName) []Member {
	return g.filter(func(m *Member) bool { return m.Region == region && !m.Down && !m.Stopping })
}

// OtherRecords returns all records but this entry's, sorted by name. Down members are
// included.
func (g *GossipMembership) OtherRecords() []Member {
	return g.filter(func(m *Member) bool { return m.Name != g.self.Name })
}

// LiveCount returns the number of members that aren't down, this entry included.
func (g *GossipMembership) LiveCount() int {
	return len(g.filter(func(m *Member) bool { return !m.Down }))
}

// filter returns the records for which keep is true, sorted by name.
func (g *GossipMembership) filter(keep func(*Member) bool) []Member {
	var list []Member
	if keep(&g.self) {
		list = append(list, g.self)
	}
	for _, state := range g.members {
		if keep(&state.Member) {
			list = append(list, state.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
