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

// PublishedEntry is an entry VM in the list that the platform publishes.
type PublishedEntry struct {
	Name    pimentotarget.EntryName
	Address string // IP and port for peers.
	Region  pimentoregister.RegionName
	Domain  pimentoregister.DomainName
	Leaving bool // The platform lists the VM as leaving.
}

// Heartbeat is the message that an entry sends to a peer periodically.
type Heartbeat struct {
	// Name is the sender.
	Name pimentotarget.EntryName
	// Incarnation identifies the run of the sender's process.
	Incarnation pimentokey.Incarnation
	// Revision is that of the active configuration at the sender.
	Revision pimentoregister.Revision
	// Stopping is set once the sender has begun a planned stop.
	Stopping bool
	// HeldIssuers lists the issuers of the adopted key ranges that the sender holds.
	HeldIssuers []pimentokey.Incarnation
	// Changes are the updates since the sender's last heartbeat to this peer.
	Changes []Change
	// WantFullState requests the receiver's whole state.
	WantFullState bool
}

// Peer is another entry, with its state as last received.
type Peer struct {
	PublishedEntry
	// Incarnation is from the last heartbeat, 0 before the first.
	Incarnation pimentokey.Incarnation
	// Revision is from the last heartbeat.
	Revision pimentoregister.Revision
	// Stopping is set once the peer has reported a planned stop.
	Stopping bool
	// Cursor is the position in the ChangeLog up to which changes were sent to the
	// peer.
	Cursor Cursor
	// FullSync is set while the peer is sent the whole ChangeLog.
	FullSync bool

	listed       bool // The last published list contains the peer.
	hasHeartbeat bool // heartbeatAt is set. Reset if the connection is lost.
	heartbeatAt  time.Duration
	table        *PeerTable
}

const (
	// defaultHeartbeatTimeout applies when HeartbeatTimeout is 0.
	defaultHeartbeatTimeout = 4 * time.Second
	// remotePeersPerRegion is the number of entries of each other region with which
	// an entry exchanges heartbeats.
	remotePeersPerRegion = 2
	// unlistedRetention is the time without a heartbeat after which an unlisted peer is
	// removed.
	unlistedRetention = time.Minute
)

// PeerTable holds the other published entries, and unlisted ones while they still send
// heartbeats. Self and Region must be set before the first call. It isn't safe for
// concurrent use.
type PeerTable struct {
	// Self is this entry's name.
	Self pimentotarget.EntryName
	// Region is this entry's region.
	Region pimentoregister.RegionName
	// HeartbeatTimeout is the time without a heartbeat after which a peer is
	// unreachable. 0 means 4 s. It may be changed at any time.
	HeartbeatTimeout time.Duration

	peers         map[pimentotarget.EntryName]*Peer
	byIncarnation map[pimentokey.Incarnation]*Peer

	listed bool // The last published list contains this entry.
}

// Update replaces the published list and removes peers that are neither listed nor
// sending heartbeats.
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

// dropExpired removes peers that are neither listed nor sent a heartbeat within
// unlistedRetention.
func (t *PeerTable) dropExpired(now time.Duration) {
	for name, p := range t.peers {
		if p.listed || (p.hasHeartbeat && now-p.heartbeatAt < unlistedRetention) {
			continue
		}
		delete(t.peers, name)
		if t.byIncarnation[p.Incarnation] == p {
			delete(t.byIncarnation, p.Incarnation)
		}
	}
}

// HandleHeartbeat records a heartbeat or its acknowledgement. It returns the peer, or
// nil if the table doesn't contain it, and whether this is the first heartbeat of the
// peer's incarnation. A new incarnation is sent the changes after the cursor newest,
// unless it requests the full state.
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
	p.Stopping = hb.Stopping
	p.hasHeartbeat = true
	p.heartbeatAt = now
	return p, isNew
}

// NextChanges returns at most limit changes for the peer's next heartbeat, and advances
// the peer's cursor past them.
func (t *PeerTable) NextChanges(log *ChangeLog, p *Peer, limit int) []Change {
	to := Recipient{Region: p.Region, SameRegion: p.Region == t.Region, FullSync: p.FullSync, MaxChanges: limit}
	changes, next := log.Since(p.Cursor, to)
	p.Cursor = next
	if next == log.Last() {
		p.FullSync = false
	}
	return changes
}

// ConnectionLost records that the connection to a peer failed. The peer is unreachable
// until its next heartbeat.
func (t *PeerTable) ConnectionLost(name pimentotarget.EntryName) {
	if p := t.peers[name]; p != nil {
		p.hasHeartbeat = false
	}
}

// Reachable reports whether the peer sent a heartbeat within HeartbeatTimeout.
func (p *Peer) Reachable(now time.Duration) bool {
	timeout := p.table.HeartbeatTimeout
	if timeout == 0 {
		timeout = defaultHeartbeatTimeout
	}
	return p.HeartbeatWithin(now, timeout)
}

// HeartbeatWithin reports whether the peer sent a heartbeat within the last d.
func (p *Peer) HeartbeatWithin(now, d time.Duration) bool {
	return p.hasHeartbeat && now-p.heartbeatAt < d
}

// Peer returns the named peer, or nil.
func (t *PeerTable) Peer(name pimentotarget.EntryName) *Peer { return t.peers[name] }

// ByIncarnation returns the peer whose process has the incarnation, or nil.
func (t *PeerTable) ByIncarnation(inc pimentokey.Incarnation) *Peer { return t.byIncarnation[inc] }

// Peers returns all peers sorted by name.
func (t *PeerTable) Peers() []*Peer {
	list := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// Entries returns the sorted names of a region's published entries, this one included
// if it is published. A leaving entry is included until it is removed from the list,
// because it may still use its shares.
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

// HeartbeatPeers returns the peers with which this entry exchanges heartbeats: all of
// its region, and remotePeersPerRegion of each other region.
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

// selectRemote returns the remotePeersPerRegion peers with the highest rendezvous
// hashing weights for this entry. It sorts peers in place.
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

// PeerInRegions returns a peer of the first region that has a usable one, or nil if no
// region has. Within a region it selects the peer with index turn, modulo their number,
// of the reachable ones, or of the listed ones if none is reachable, since entries of
// other regions needn't exchange heartbeats with this one. Leaving and stopping peers
// aren't usable.
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

// Successor returns the reachable peer to which key ranges are handed over, preferably
// one of this entry's region, or nil if there is none. allowed reports which regions may
// be used, and refused has the processes that didn't adopt the ranges.
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
