package pimentoentry

import (
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// publishChanges adds changes of this entry to the change log and sends them to peers
// at once.
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
	// ackWait bounds the time to wait for acknowledgements by peers.
	ackWait = 250 * time.Millisecond
	// ackPoll is the time between two checks of the acknowledgements.
	ackPoll = time.Millisecond
)

// publishAndWait publishes changes, and waits up to ackWait until the reachable peers
// of the own region have acknowledged them.
func (e *Entry) publishAndWait(changes []pimentopeer.Change) {
	e.publishChanges(changes)
	deadline := time.Now().Add(ackWait)
	e.peers.mu.Lock()
	cursor := e.peers.changeLog.Last()
	e.peers.mu.Unlock()
	for !e.acknowledged(cursor) && time.Now().Before(deadline) {
		time.Sleep(ackPoll)
	}
}

// acknowledged reports whether the reachable peers of the own region have
// acknowledged all changes up to a cursor.
func (e *Entry) acknowledged(cursor pimentopeer.Cursor) bool {
	now := e.now()
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, l := range e.peers.loops {
		p := e.peers.members.Peer(l.name)
		if p != nil && p.Region == e.settings.Region && p.Reachable(now) && l.ackedCursor < cursor {
			return false
		}
	}
	return true
}

// wakeHeartbeats wakes the heartbeat loops, which then send a heartbeat without
// waiting for the end of the period.
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

// mergeChanges applies the changes from a peer, and adds those that were new to the
// change log for forwarding to other peers. from is the peer's region.
func (e *Entry) mergeChanges(now time.Duration, from pimentoregister.RegionName, changes []pimentopeer.Change) {
	origin := pimentopeer.OriginRemote
	if from == e.settings.Region {
		origin = pimentopeer.OriginRegion
	}
	var newChanges []pimentopeer.Change
	for _, c := range changes {
		if e.mergeChange(now, c) {
			newChanges = append(newChanges, c)
		}
	}
	if len(newChanges) == 0 {
		return
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	for _, c := range newChanges {
		e.peers.changeLog.Add(c, origin)
	}
}

// mergeChange applies one change, and reports whether it was new.
func (e *Entry) mergeChange(now time.Duration, c pimentopeer.Change) bool {
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
	s.assignTargets(now)
	return true
}
