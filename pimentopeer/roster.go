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

// wins reports whether a record goes before another one of the same member.
func (m *Member) wins(other *Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Down && !other.Down
}

const (
	// goneTerm is the time without a word from a member of the own domain after
	// which it counts as gone.
	goneTerm = 2500 * time.Millisecond
	// rosterMemory is the time for which a gone member is remembered, and for
	// which the greatest size of the domain counts.
	rosterMemory = time.Minute
)

// GossipMembership is the set of entries that this one has heard of, from them or from
// others. It isn't safe for concurrent use.
type GossipMembership struct {
	self    Member
	members map[pimentotarget.EntryName]*rosterEntry
	sizes   []sizeAt
}

type rosterEntry struct {
	Member
	heardAt time.Duration // Of a word from the member itself, or of the news of it.
	goneAt  time.Duration
	// besideSince is when the member became a neighbour, where it is one.
	besideSince time.Duration
	beside      bool
}

type sizeAt struct {
	at   time.Duration
	size int
}

// NewGossipMembership returns a roster that knows the entry itself only.
func NewGossipMembership(self Member) *GossipMembership {
	return &GossipMembership{self: self, members: make(map[pimentotarget.EntryName]*rosterEntry)}
}

// Self returns the entry's own record.
func (r *GossipMembership) Self() Member { return r.self }

// Stop marks the entry itself as stopping.
func (r *GossipMembership) Stop() {
	r.self.Stopping = true
	r.self.Version++
}

// Merge takes what another entry knows.
func (r *GossipMembership) Merge(now time.Duration, list []Member) {
	for i := range list {
		r.merge(now, &list[i])
	}
	r.note(now)
}

func (r *GossipMembership) merge(now time.Duration, m *Member) {
	if m.Name == r.self.Name {
		// An older run of this entry, or an untrue word that it is gone.
		untrue := m.RunID != r.self.RunID || m.Down
		if m.Version > r.self.Version || (untrue && m.Version == r.self.Version) {
			r.self.Version = m.Version + 1
		}
		return
	}
	e := r.members[m.Name]
	if e == nil {
		r.members[m.Name] = &rosterEntry{Member: *m, heardAt: now, goneAt: now}
		return
	}
	if !m.wins(&e.Member) {
		return
	}
	if m.Down {
		e.goneAt = now
	} else {
		e.heardAt = now
	}
	e.Member = *m
}

// LivenessRecord returns a record that only tells those who know the member already that
// it is there.
func (m *Member) LivenessRecord() Member {
	return Member{Name: m.Name, RunID: m.RunID, Version: m.Version}
}

// isShort reports whether a record is one that Short has made.
func (m *Member) isShort() bool { return m.Address == "" }

// MergeDirect takes a word from a member itself. A short record of an unknown run is
// no news: the rosters differ, so that the whole record follows.
func (r *GossipMembership) MergeDirect(now time.Duration, m Member) {
	if !m.isShort() {
		r.merge(now, &m)
	}
	if e := r.members[m.Name]; e != nil && e.RunID == m.RunID {
		e.heardAt = now
	}
	r.note(now)
}

// Expire marks the neighbours that were not heard lately as gone, and forgets
// members that have been gone for long.
func (r *GossipMembership) Expire(now time.Duration) {
	r.markNeighbours(now)
	for name, e := range r.members {
		switch {
		case e.Down && now-e.goneAt > rosterMemory:
			delete(r.members, name)
		case !e.Down && e.beside && now-max(e.heardAt, e.besideSince) > goneTerm:
			e.Down = true
			e.goneAt = now
		}
	}
	r.note(now)
}

// Resume gives the neighbours a term anew, because this entry itself stood still
// and could hear nobody.
func (r *GossipMembership) Resume(now time.Duration) {
	for _, e := range r.members {
		e.besideSince = now
	}
}

// markNeighbours notes the members with which this entry exchanges notes.
func (r *GossipMembership) markNeighbours(now time.Duration) {
	ring := r.DomainMembers(r.self.Domain)
	beside := make(map[pimentotarget.EntryName]bool)
	for i, m := range ring {
		for _, next := range successors(ring, i) {
			switch r.self.Name {
			case m.Name:
				beside[next.Name] = true
			case next.Name:
				beside[m.Name] = true
			}
		}
	}
	for name, e := range r.members {
		if beside[name] && !e.beside {
			e.besideSince = now
		}
		e.beside = beside[name]
	}
}

// smallRing is the number of entries up to which the second link of each is to
// the next but one.
const smallRing = 8

// successors returns the members to which the one at a place in a ring talks:
// the next one, and one farther away, so that news takes few steps.
func successors(ring []Member, place int) []Member {
	n := len(ring)
	far := 2
	if n > smallRing {
		far = n / 3
	}
	var list []Member
	for _, step := range []int{1, far} {
		if step%n != 0 {
			list = append(list, ring[(place+step)%n])
		}
	}
	return list
}

// SyncPeers returns the members of the own domain that this entry talks to.
// Those that are gone are among them, so that they are found when they are back.
func (r *GossipMembership) SyncPeers() []Member {
	list := r.successorsIn(r.DomainMembers(r.self.Domain))
	all := r.list(func(m *Member) bool { return m.Domain == r.self.Domain })
	for _, m := range r.successorsIn(all) {
		if m.Down {
			list = append(list, m)
		}
	}
	return list
}

func (r *GossipMembership) successorsIn(ring []Member) []Member {
	for i, m := range ring {
		if m.Name == r.self.Name {
			return successors(ring, i)
		}
	}
	return nil
}

// note remembers the size of the own domain.
func (r *GossipMembership) note(now time.Duration) {
	size := len(r.DomainMembers(r.self.Domain))
	kept := r.sizes[:0]
	for _, s := range r.sizes {
		if now-s.at < rosterMemory && s.size > size {
			kept = append(kept, s)
		}
	}
	r.sizes = append(kept, sizeAt{at: now, size: size})
}

// PeakDomainSize returns the greatest number of entries that the own domain had
// lately.
func (r *GossipMembership) PeakDomainSize() int {
	if len(r.sizes) == 0 {
		return 1
	}
	return r.sizes[0].size
}

// DomainMembers returns the members of a domain that aren't gone, this one included,
// in the order of their names.
func (r *GossipMembership) DomainMembers(domain pimentoregister.DomainName) []Member {
	return r.list(func(m *Member) bool { return m.Domain == domain && !m.Down })
}

// RegionMembers returns the members of a region that aren't gone or stopping, this one
// included, in the order of their names.
func (r *GossipMembership) RegionMembers(region pimentoregister.RegionName) []Member {
	return r.list(func(m *Member) bool { return m.Region == region && !m.Down && !m.Stopping })
}

// OtherRecords returns all records but this entry's, gone ones too.
func (r *GossipMembership) OtherRecords() []Member {
	return r.list(func(m *Member) bool { return m.Name != r.self.Name })
}

// LiveCount returns the number of members that aren't gone, this one included.
func (r *GossipMembership) LiveCount() int {
	return len(r.list(func(m *Member) bool { return !m.Down }))
}

func (r *GossipMembership) list(keep func(*Member) bool) []Member {
	var list []Member
	if keep(&r.self) {
		list = append(list, r.self)
	}
	for _, e := range r.members {
		if keep(&e.Member) {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
