package pimentoentry

import (
	"sync"
	"time"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// peers holds the membership, the change log and the heartbeat loops.
type peers struct {
	mu                sync.Mutex // Guards the fields below.
	members           pimentopeer.PeerTable
	changeLog         pimentopeer.ChangeLog
	loops             map[string]*heartbeatLoop      // By address.
	stateRequested    map[pimentokey.Incarnation]int // Full-state requests, by process.
	stateRequestsLeft int                            // Full-state requests still to send.
}

// find returns the named peer, or nil.
func (p *peers) find(name pimentotarget.EntryName) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.Peer(name))
}

// byIncarnation returns the peer whose process has the incarnation, or nil.
func (p *peers) byIncarnation(inc pimentokey.Incarnation) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.ByIncarnation(inc))
}

// inRegions returns a peer of one of the regions, or nil. turn selects among several.
func (p *peers) inRegions(now time.Duration, regions []pimentoregister.RegionName, turn int) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.PeerInRegions(now, regions, turn))
}

// byHint returns an entry of the region that a key's hint names, or nil.
func (p *peers) byHint(now time.Duration, h pimentokey.RegionHint) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.members.Peers() {
		if regionHint(other.Region) == h {
			return clonePeer(p.members.PeerInRegions(now, []pimentoregister.RegionName{other.Region}, 0))
		}
	}
	return nil
}

// clonePeer returns a copy of a peer that can be used without the lock.
func clonePeer(p *pimentopeer.Peer) *pimentopeer.Peer {
	if p == nil {
		return nil
	}
	clone := *p
	return &clone
}

// updateMembers applies a published list of entries to the membership and to the
// tables of all services.
func (e *Entry) updateMembers(list []pimentopeer.PublishedEntry) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	p.members.Update(now, list)
	e.updateLoops()
	p.members.HeartbeatTimeout = heartbeatPeriod(len(p.loops)) * timeoutPeriods
	entries := p.members.Entries(e.settings.Region)
	p.mu.Unlock()
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.SetEntries(now, entries)
		s.assignTargets(now)
		s.mu.Unlock()
	}
	e.setRegionEntries(entries)
}
