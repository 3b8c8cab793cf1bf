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

	listed       bool
	hasHeartbeat bool
	heartbeatAt  time.Duration
	table        *PeerTable
}

const (
	// defaultHeartbeatTimeout is used for a Term of 0.
	defaultHeartbeatTimeout = 4 * time.Second
	// remotePeersPerRegion is the number of entries of each other region with which
	// an entry exchanges heartbeats.
	remotePeersPerRegion = 2
	// forgetTimeout is the time after which an unlisted, silent peer is forgotten.
	forgetTimeout = time.Minute
)

// PeerTable is the set of known entries. Its exported fields are set before the
// first call. It isn't safe for concurrent use.
type PeerTable struct {
	// Self is the entry's own name.
	Self pimentotarget.EntryName
	// Region is the entry's own region.
	Region pimentoregister.RegionName
	// HeartbeatTimeout is the time without a heartbeat after which a peer counts as
	// unreachable. 0 means 4 s. It may be changed at any time.
	HeartbeatTimeout time.Duration

	peers         map[pimentotarget.EntryName]*Peer
	byIncarnation map[pimentokey.Incarnation]*Peer

	listed bool // The last list has this entry.
}

// Update takes a published list.
func (t *PeerTable) Update(now time.Duration, list []PublishedEntry) {
	if t.peers == nil {
		t.peers = make(map[pimentotarget.EntryName]*Peer)
		t.byIncarnation = make(map[pimentokey.Incarnation]*Peer)
	}
	for _, p := range t.peers {
		p.listed = false
	}
	t.listed = false
	for _, pub := range list {
		if pub.Name == t.Self {
			t.listed = true
			continue
		}
		p := t.peers[pub.Name]
		if p == nil {
			p = &Peer{table: t}
			t.peers[pub.Name] = p
		}
		p.PublishedEntry = pub
		p.listed = true
	}
	t.dropExpired(now)
}

// dropExpired drops peers that are neither listed nor heard.
func (t *PeerTable) dropExpired(now time.Duration) {
	for name, p := range t.peers {
		if p.listed || (p.hasHeartbeat && now-p.heartbeatAt < forgetTimeout) {
			continue
		}
		delete(t.peers, name)
		if t.byIncarnation[p.Incarnation] == p {
			delete(t.byIncarnation, p.Incarnation)
		}
	}
}

// HandleHeartbeat takes a heartbeat or its acknowledgement. It returns the peer, or nil
// if the peer isn't known, and whether this is the peer's first heartbeat in
// its incarnation. A new incarnation hears the changes after the cursor last,
// unless it asks for all.
func (t *PeerTable) HandleHeartbeat(now time.Duration, hb Heartbeat, newest Cursor) (*Peer, bool) {
	p := t.peers[hb.Name]
	if p == nil {
		return nil, false
	}
	isNew := p.Incarnation != hb.Incarnation
	if isNew {
		delete(t.byIncarnation, p.Incarnation)
		p.Incarnation = hb.Incarnation
		p.Cursor = newest
		p.FullSync = false
		t.byIncarnation[hb.Incarnation] = p
	}
	if hb.WantFullState {
		p.Cursor = 0
		p.FullSync = true
	}
	p.Revision = hb.Revision
	p.Stopping = hb.Leaving
	p.hasHeartbeat = true
	p.heartbeatAt = now
	return p, isNew
}

// NextChanges returns the changes for the peer's next heartbeat, at most limit, and
// moves its cursor behind them.
func (t *PeerTable) NextChanges(log *ChangeLog, p *Peer, limit int) []Change {
	a := Recipient{Region: p.Region, SameRegion: p.Region == t.Region, FullSync: p.FullSync, MaxChanges: limit}
	changes, next := log.Since(p.Cursor, a)
	p.Cursor = next
	if next == log.Last() {
		p.FullSync = false
	}
	return changes
}

// ConnectionLost notes that the connection to a peer broke.
func (t *PeerTable) ConnectionLost(name pimentotarget.EntryName) {
	if p := t.peers[name]; p != nil {
		p.hasHeartbeat = false
	}
}

// Reachable reports whether the peer was heard lately.
func (p *Peer) Reachable(now time.Duration) bool {
	term := p.table.HeartbeatTimeout
	if term == 0 {
		term = defaultHeartbeatTimeout
	}
	return p.HeartbeatWithin(now, term)
}

// HeartbeatWithin reports whether the peer was heard within a time.
func (p *Peer) HeartbeatWithin(now, term time.Duration) bool {
	return p.hasHeartbeat && now-p.heartbeatAt < term
}

// Peer returns the named peer, or nil.
func (t *PeerTable) Peer(name pimentotarget.EntryName) *Peer { return t.peers[name] }

// ByIncarnation returns the peer whose process has the incarnation, or nil.
func (t *PeerTable) ByIncarnation(inc pimentokey.Incarnation) *Peer { return t.byIncarnation[inc] }

// Peers returns all peers in the order of their names.
func (t *PeerTable) Peers() []*Peer {
	list := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Entries returns the published entries of a region, with this one if it is
// there. A leaving entry counts until the list drops it, because it may still
// use its shares.
func (t *PeerTable) Entries(region pimentoregister.RegionName) []pimentotarget.EntryName {
	var list []pimentotarget.EntryName
	if region == t.Region && t.listed {
		list = append(list, t.Self)
	}
	for _, p := range t.peers {
		if p.listed && p.Region == region {
			list = append(list, p.Name)
		}
	}
	slices.Sort(list)
	return list
}

// HeartbeatPeers returns the peers with which this entry exchanges heartbeats: all
// of its region, and a few of each other region.
func (t *PeerTable) HeartbeatPeers() []*Peer {
	var peers []*Peer
	remote := make(map[pimentoregister.RegionName][]*Peer)
	for _, p := range t.Peers() {
		if p.Region == t.Region {
			peers = append(peers, p)
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
		peers = append(peers, t.selectRemote(remote[r])...)
	}
	return peers
}

// selectRemote returns the remotePartners peers with the greatest rendezvous
// weights for this entry.
func (t *PeerTable) selectRemote(peers []*Peer) []*Peer {
	slices.SortFunc(peers, func(a, b *Peer) int {
		wa, wb := t.rendezvousWeight(a.Name), t.rendezvousWeight(b.Name)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	return peers[:min(len(peers), remotePeersPerRegion)]
}

func (t *PeerTable) rendezvousWeight(name pimentotarget.EntryName) uint64 {
	return xxhash.Sum64String(string(t.Self) + "\x00" + string(name))
}

// PeerInRegions returns a reachable peer of one of the regions that isn't stopping,
// preferring the region of the lowest index, and peers by turn. Where no peer
// was heard lately it returns one that was never heard, since entries of other
// regions needn't exchange heartbeats. It returns nil if there is none.
func (t *PeerTable) PeerInRegions(now time.Duration, regions []pimentoregister.RegionName, turn int) *Peer {
	for _, r := range regions {
		var reachable, unconfirmed []*Peer
		for _, p := range t.Peers() {
			switch {
			case p.Region != r || p.Stopping || p.Leaving:
			case p.Reachable(now):
				reachable = append(reachable, p)
			case p.listed:
				unconfirmed = append(unconfirmed, p)
			}
		}
		if len(reachable) == 0 {
			reachable = unconfirmed
		}
		if len(reachable) > 0 {
			return reachable[turn%len(reachable)]
		}
	}
	return nil
}

// Successor returns the reachable peer to which key ranges are handed over:
// one of the own region where there is one. It returns nil if there is none.
// allowed limits the regions, and refused lists processes that were asked.
func (t *PeerTable) Successor(now time.Duration, allowed func(pimentoregister.RegionName) bool, refused map[pimentokey.Incarnation]bool) *Peer {
	var best *Peer
	for _, p := range t.Peers() {
		if !p.Reachable(now) || p.Stopping || p.Leaving || !allowed(p.Region) || refused[p.Incarnation] {
			continue
		}
		if best == nil || (best.Region != t.Region && p.Region == t.Region) {
			best = p
		}
	}
	return best
}
