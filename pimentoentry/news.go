package pimentoentry

import (
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// publishChanges adds this entry's own news and sends them at once.
func (e *Entry) publishChanges(changes []pimentopeer.Change) {
	if len(changes) == 0 {
		return
	}
	p := &e.peers
	p.mu.Lock()
	for _, c := range changes {
		p.changeLog.Add(c, pimentopeer.OriginSelf)
	}
	p.mu.Unlock()
	e.wakeHeartbeats()
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
	e.publishChanges(changes)
	deadline := time.Now().Add(ackWait)
	e.peers.mu.Lock()
	want := e.peers.changeLog.Last()
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
		if p != nil && p.Region == e.settings.Region && p.Reachable(now) && l.ackedCursor < want {
			return false
		}
	}
	return true
}

// wakeHeartbeats sends the next heartbeats without delay.
func (e *Entry) wakeHeartbeats() {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, l := range e.peers.loops {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
}

// mergeChanges takes a peer's news, and keeps those that were news for passing on.
func (e *Entry) mergeChanges(now time.Duration, from pimentoregister.RegionName, changes []pimentopeer.Change) {
	origin := pimentopeer.OriginRemote
	if from == e.settings.Region {
		origin = pimentopeer.OriginRegion
	}
	var fresh []pimentopeer.Change
	for _, c := range changes {
		if e.mergeChange(now, c) {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) == 0 {
		return
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, c := range fresh {
		e.peers.changeLog.Add(c, origin)
	}
}

func (e *Entry) mergeChange(now time.Duration, c pimentopeer.Change) bool {
	if c.Target == "" {
		return e.quarantine.merge(c.Print, c.Crash)
	}
	s := e.service(c.Service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	tg := s.table.Target(c.Target)
	if tg == nil || !s.table.Merge(now, tg, c.Mark) {
		return false
	}
	s.assignTargets(now)
	return true
}
