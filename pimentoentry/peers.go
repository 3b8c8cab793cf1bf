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
	mu                sync.Mutex // Guards the fields below.
	members           pimentopeer.Members
	changeLog         pimentopeer.Journal
	loops             map[string]*heartbeatLoop // By address.
	stateRequested    map[pimentokey.Incarnation]int
	stateRequestsLeft int // How many more peers to ask for their whole state.
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
	return clonePeer(p.members.Gateway(now, regions, turn))
}

// byHint returns an entry of the region that a key hint names.
func (p *peers) byHint(now time.Duration, h pimentokey.Hint) *pimentopeer.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.members.Peers() {
		if regionHint(other.Region) == h {
			return clonePeer(p.members.Gateway(now, []pimentoregister.RegionName{other.Region}, 0))
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
func (e *Entry) updateMembers(list []pimentopeer.Published) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	p.members.Update(now, list)
	e.updateLoops()
	p.members.Term = heartbeatPeriod(len(p.loops)) * timeoutPeriods
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
