package pimentopeer

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// PublishedEntry is an entry VM as the platform lists it.
type PublishedEntry struct {
	Name    pimentotarget.EntryName
	Address string // IP and port for peers.
	Region  pimentoregister.RegionName
	Domain  pimentoregister.DomainName
	Leaving bool
}

// Heartbeat is what an entry tells a peer at intervals.
type Heartbeat struct {
	// Name is the sender.
	Name pimentotarget.EntryName
	// Incarnation is the run of the sender's process.
	Incarnation pimentokey.Incarnation
	// Revision is the configuration in force at the sender.
	Revision pimentoregister.Revision
	// Leaving is set once the sender has begun a planned stop.
	Leaving bool
	// HeldIssuers lists adopted key ranges that the sender holds.
	HeldIssuers []pimentokey.Incarnation
	// Changes are the news since the sender's last heartbeat to this peer.
	Changes []Change
	// WantFullState asks the receiver for its whole state.
	WantFullState bool
}

// Peer is another entry.
type Peer struct {
	PublishedEntry
	// Incarnation is from the last heartbeat, 0 before the first.
	Incarnation pimentokey.Incarnation
	// Revision is from the last heartbeat.
	Revision pimentoregister.Revision
	// Stopping is set when the peer has said that it stops.
	Stopping bool
	// Cursor is the position in the Journal up to which the peer has heard.
	Cursor Cursor
	// FullSync is set while the peer gets the whole journal.
	FullSync bool

	listed  bool
	heard   bool
	heardAt time.Duration
	members *PeerTable
}

const (
	// defaultTerm is used for a Term of 0.
	defaultTerm = 4 * time.Second
	// remotePartners is the number of entries of each other region with which
	// an entry exchanges heartbeats.
	remotePartners = 2
	// forgetTerm is the time after which an unlisted, silent peer is forgotten.
	forgetTerm = time.Minute
)

// PeerTable is the set of known entries. Its exported fields are set before the
// first call. It isn't safe for concurrent use.
type PeerTable struct {
	// Self is the entry's own name.
	Self pimentotarget.EntryName
	// Region is the entry's own region.
	Region pimentoregister.RegionName
	// Term is the time without a heartbeat after which a peer counts as
	// unreachable. 0 means 4 s. It may be changed at any time.
	Term time.Duration

	peers map[pimentotarget.EntryName]*Peer
	byInc map[pimentokey.Incarnation]*Peer

	listed bool // The last list has this entry.
}

// Update takes a published list.
func (m *PeerTable) Update(now time.Duration, list []PublishedEntry) {
	if m.peers == nil {
		m.peers = make(map[pimentotarget.EntryName]*Peer)
		m.byInc = make(map[pimentokey.Incarnation]*Peer)
	}
	for _, p := range m.peers {
		p.listed = false
	}
	m.listed = false
	for _, pub := range list {
		if pub.Name == m.Self {
			m.listed = true
			continue
		}
		p := m.peers[pub.Name]
		if p == nil {
			p = &Peer{members: m}
			m.peers[pub.Name] = p
		}
		p.PublishedEntry = pub
		p.listed = true
	}
	m.forget(now)
}

// forget drops peers that are neither listed nor heard.
func (m *PeerTable) forget(now time.Duration) {
	for name, p := range m.peers {
		if p.listed || (p.heard && now-p.heardAt < forgetTerm) {
			continue
		}
		delete(m.peers, name)
		if m.byInc[p.Incarnation] == p {
			delete(m.byInc, p.Incarnation)
		}
	}
}

// HandleHeartbeat takes a heartbeat or its acknowledgement. It returns the peer, or nil
// if the peer isn't known, and whether this is the peer's first heartbeat in
// its incarnation. A new incarnation hears the changes after the cursor last,
// unless it asks for all.
func (m *PeerTable) HandleHeartbeat(now time.Duration, hb Heartbeat, last Cursor) (*Peer, bool) {
	p := m.peers[hb.Name]
	if p == nil {
		return nil, false
	}
	fresh := p.Incarnation != hb.Incarnation
	if fresh {
		delete(m.byInc, p.Incarnation)
		p.Incarnation = hb.Incarnation
		p.Cursor = last
		p.FullSync = false
		m.byInc[hb.Incarnation] = p
	}
	if hb.WantFullState {
		p.Cursor = 0
		p.FullSync = true
	}
	p.Revision = hb.Revision
	p.Stopping = hb.Leaving
	p.heard = true
	p.heardAt = now
	return p, fresh
}

// NextChanges returns the changes for the peer's next heartbeat, at most limit, and
// moves its cursor behind them.
func (m *PeerTable) NextChanges(j *ChangeLog, p *Peer, limit int) []Change {
	a := Recipient{Region: p.Region, SameRegion: p.Region == m.Region, FullSync: p.FullSync, MaxChanges: limit}
	changes, next := j.Since(p.Cursor, a)
	p.Cursor = next
	if next == j.Last() {
		p.FullSync = false
	}
	return changes
}

// ConnectionLost notes that the connection to a peer broke.
func (m *PeerTable) ConnectionLost(name pimentotarget.EntryName) {
	if p := m.peers[name]; p != nil {
		p.heard = false
	}
}

// Reachable reports whether the peer was heard lately.
func (p *Peer) Reachable(now time.Duration) bool {
	term := p.members.Term
	if term == 0 {
		term = defaultTerm
	}
	return p.HeartbeatWithin(now, term)
}

// HeartbeatWithin reports whether the peer was heard within a time.
func (p *Peer) HeartbeatWithin(now, term time.Duration) bool {
	return p.heard && now-p.heardAt < term
}

// Peer returns the named peer, or nil.
func (m *PeerTable) Peer(name pimentotarget.EntryName) *Peer { return m.peers[name] }

// ByIncarnation returns the peer whose process has the incarnation, or nil.
func (m *PeerTable) ByIncarnation(inc pimentokey.Incarnation) *Peer { return m.byInc[inc] }

// Peers returns all peers in the order of their names.
func (m *PeerTable) Peers() []*Peer {
	list := make([]*Peer, 0, len(m.peers))
	for _, p := range m.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Entries returns the published entries of a region, with this one if it is
// there. A leaving entry counts until the list drops it, because it may still
// use its shares.
func (m *PeerTable) Entries(region pimentoregister.RegionName) []pimentotarget.EntryName {
	var list []pimentotarget.EntryName
	if region == m.Region && m.listed {
		list = append(list, m.Self)
	}
	for _, p := range m.peers {
		if p.listed && p.Region == region {
			list = append(list, p.Name)
		}
	}
	slices.Sort(list)
	return list
}

// HeartbeatPeers returns the peers with which this entry exchanges heartbeats: all
// of its region, and a few of each other region.
func (m *PeerTable) HeartbeatPeers() []*Peer {
	var partners []*Peer
	remote := make(map[pimentoregister.RegionName][]*Peer)
	for _, p := range m.Peers() {
		if p.Region == m.Region {
			partners = append(partners, p)
			continue
		}
		remote[p.Region] = append(remote[p.Region], p)
	}
	regions := make([]pimentoregister.RegionName, 0, len(remote))
	for r := range remote {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	for _, r := range regions {
		partners = append(partners, m.nearest(remote[r])...)
	}
	return partners
}

// nearest returns the remotePartners peers with the greatest rendezvous
// weights for this entry.
func (m *PeerTable) nearest(peers []*Peer) []*Peer {
	slices.SortFunc(peers, func(a, b *Peer) int {
		wa, wb := m.weight(a.Name), m.weight(b.Name)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return peers[:min(len(peers), remotePartners)]
}

func (m *PeerTable) weight(name pimentotarget.EntryName) uint64 {
	return xxhash.Sum64String(string(m.Self) + "\x00" + string(name))
}

// PeerInRegions returns a reachable peer of one of the regions that isn't stopping,
// preferring the region of the lowest index, and peers by turn. Where no peer
// was heard lately it returns one that was never heard, since entries of other
// regions needn't exchange heartbeats. It returns nil if there is none.
func (m *PeerTable) PeerInRegions(now time.Duration, regions []pimentoregister.RegionName, turn int) *Peer {
	for _, r := range regions {
		var up, maybe []*Peer
		for _, p := range m.Peers() {
			switch {
			case p.Region != r || p.Stopping || p.Leaving:
			case p.Reachable(now):
				up = append(up, p)
			case p.listed:
				maybe = append(maybe, p)
			}
		}
		if len(up) == 0 {
			up = maybe
		}
		if len(up) > 0 {
			return up[turn%len(up)]
		}
	}
	return nil
}

// Successor returns the reachable peer to which key ranges are handed over:
// one of the own region where there is one. It returns nil if there is none.
// allowed limits the regions, and refused lists processes that were asked.
func (m *PeerTable) Successor(now time.Duration, allowed func(pimentoregister.RegionName) bool, refused map[pimentokey.Incarnation]bool) *Peer {
	var best *Peer
	for _, p := range m.Peers() {
		if !p.Reachable(now) || p.Stopping || p.Leaving || !allowed(p.Region) || refused[p.Incarnation] {
			continue
		}
		if best == nil || (best.Region != m.Region && p.Region == m.Region) {
			best = p
		}
	}
	return best
}
