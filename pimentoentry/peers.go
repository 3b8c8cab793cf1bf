package pimentoentry

import (
	"sync"
	"time"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// peers guards what is known of the other entries.
type peers struct {
	mu      sync.Mutex // Guards the fields below.
	members pimentopeer.PeerTable
	journal pimentopeer.ChangeLog
	loops   map[string]*beatLoop // By address.
	asked   map[pimentokey.Incarnation]int
	wantAll int // How many more peers to ask for their whole state.
}

func (p *peers) find(name pimentotarget.EntryName) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.Peer(name))
}

func (p *peers) byIncarnation(inc pimentokey.Incarnation) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.ByIncarnation(inc))
}

func (p *peers) gateway(now time.Duration, regions []pimentoregister.RegionName, turn int) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return clonePeer(p.members.PeerInRegions(now, regions, turn))
}

// byHint returns an entry of the region that a key hint names.
func (p *peers) byHint(now time.Duration, h pimentokey.RegionHint) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.members.Peers() {
		if hint(other.Region) == h {
			return clonePeer(p.members.PeerInRegions(now, []pimentoregister.RegionName{other.Region}, 0))
		}
	}
	return nil
}

// clonePeer copies a peer for use without the lock.
func clonePeer(p *pimentopeer.Peer) *pimentopeer.Peer {
	if p == nil {
		return nil
	}
	clone := *p
	return &clone
}

// updateMembers takes a published list of entries.
func (e *Entry) updateMembers(list []pimentopeer.PublishedEntry) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	p.members.Update(now, list)
	e.reconcile()
	p.members.Term = period(len(p.loops)) * beatTerms
	entries := p.members.Entries(e.settings.Region)
	p.mu.Unlock()
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.SetEntries(now, entries)
		s.pump(now)
		s.mu.Unlock()
	}
	e.setEntries(entries)
}
