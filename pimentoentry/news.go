package pimentoentry

import (
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// publish adds this entry's own news and sends them at once.
func (e *Entry) publish(changes []pimentopeer.Change) {
	if len(changes) == 0 {
		return
	}
	p := &e.peers
	p.mu.Lock()
	for _, c := range changes {
		p.journal.Add(c, pimentopeer.OriginSelf)
	}
	p.mu.Unlock()
	e.hurry()
}

const (
	// ackWait bounds the time for which news are awaited at peers.
	ackWait = 250 * time.Millisecond
	// ackPoll is the time between two looks at what peers have acknowledged.
	ackPoll = time.Millisecond
)

// publishAndWait publishes news, and waits until the reachable peers of the own
// region have them.
func (e *Entry) publishAndWait(changes []pimentopeer.Change) {
	e.publish(changes)
	deadline := time.Now().Add(ackWait)
	e.peers.mu.Lock()
	want := e.peers.journal.Last()
	e.peers.mu.Unlock()
	for !e.acknowledged(want) && time.Now().Before(deadline) {
		time.Sleep(ackPoll)
	}
}

// acknowledged reports whether the reachable peers of the own region have all
// news up to a cursor.
func (e *Entry) acknowledged(want pimentopeer.Cursor) bool {
	now := e.now()
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, l := range e.peers.loops {
		p := e.peers.members.Peer(l.name)
		if p != nil && p.Region == e.settings.Region && p.Reachable(now) && l.acked < want {
			return false
		}
	}
	return true
}

// hurry sends the next heartbeats without delay.
func (e *Entry) hurry() {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, l := range e.peers.loops {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
}

// merge takes a peer's news, and keeps those that were news for passing on.
func (e *Entry) merge(now time.Duration, from pimentoregister.RegionName, changes []pimentopeer.Change) {
	origin := pimentopeer.OriginRemote
	if from == e.settings.Region {
		origin = pimentopeer.OriginRegion
	}
	var fresh []pimentopeer.Change
	for _, c := range changes {
		if e.mergeOne(now, c) {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		return
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, c := range fresh {
		e.peers.journal.Add(c, origin)
	}
}

func (e *Entry) mergeOne(now time.Duration, c pimentopeer.Change) bool {
	if c.Target == "" {
		return e.quarantine.merge(c.Fingerprint, c.Crash)
	}
	s := e.service(c.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tg := s.table.Target(c.Target)
	if tg == nil || !s.table.Merge(now, tg, c.Phase) {
		return false
	}
	s.pump(now)
	return true
}
