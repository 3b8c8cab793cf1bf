package pimentoentry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentotarget"
)

// heartbeatLoop is the state of the goroutine that sends heartbeats to one peer.
type heartbeatLoop struct {
	name        pimentotarget.EntryName
	urgent      chan struct{} // Signalled when a heartbeat must be sent without delay.
	cancel      context.CancelFunc
	ackedCursor pimentopeer.Cursor // The changes up to here were acknowledged by the peer.
}

const (
	// minHeartbeatPeriod is the minimum time between regular heartbeats to a peer.
	minHeartbeatPeriod = time.Second
	// heartbeatBytes is the traffic in bytes of one heartbeat and its reply, with
	// the headers of yamux, TCP and IP.
	heartbeatBytes = 300
	// heartbeatRate bounds the traffic of heartbeats in bytes per second.
	heartbeatRate = 2400
	// timeoutPeriods is the number of periods without a heartbeat after which a peer
	// counts as unreachable. After half as many, the entry that usually waits for
	// heartbeats sends one itself.
	timeoutPeriods = 4
	// minHeartbeatGap is the minimum time between any two heartbeats to a peer.
	minHeartbeatGap = 50 * time.Millisecond
	// maxChanges bounds the changes in one heartbeat.
	maxChanges = 256
	// stateSources is the number of peers whose whole state is requested after a start
	// or a stall.
	stateSources = 3
)

// heartbeatPeriod returns the time between heartbeats to each of n peers, which keeps
// their traffic within heartbeatRate.
func heartbeatPeriod(n int) time.Duration {
	return max(minHeartbeatPeriod, time.Duration(n)*heartbeatBytes*time.Second/heartbeatRate)
}

// updateLoops starts and stops heartbeat loops so that they match the membership. The
// caller holds e.peers.mu.
func (e *Entry) updateLoops() {
	p := &e.peers
	wanted := make(map[string]pimentotarget.EntryName)
	for _, peer := range p.members.HeartbeatPeers() {
		wanted[peer.Address] = peer.Name
	}
	for address, l := range p.loops {
		if wanted[address] != l.name {
			l.cancel()
			delete(p.loops, address)
			e.node.CloseSessions(address)
		}
	}
	for address, name := range wanted {
		if p.loops[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		l := &heartbeatLoop{name: name, urgent: make(chan struct{}, 1), cancel: cancel}
		if p.loops == nil {
			p.loops = make(map[string]*heartbeatLoop)
		}
		p.loops[address] = l
		go e.runHeartbeats(ctx, address, l)
	}
}

// runHeartbeats sends heartbeats to one peer until ctx ends.
func (e *Entry) runHeartbeats(ctx context.Context, address string, l *heartbeatLoop) {
	client, cleanup := e.node.HeartbeatClient(address)
	defer cleanup()
	urgent := true
	var last time.Duration
	for ctx.Err() == nil {
		if urgent || e.initiates(l.name) {
			sleepContext(ctx, last+minHeartbeatGap-e.now())
			last = e.now()
			e.sendHeartbeat(client, l)
		}
		urgent = false
		timer := time.NewTimer(e.currentPeriod())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.urgent:
			urgent = true
		}
		timer.Stop()
	}
}

// initiates reports whether this entry initiates the next exchange with a peer. Of
// two entries, the one with the lower name initiates; the other one does so only when
// it has received nothing for timeoutPeriods/2 periods.
func (e *Entry) initiates(name pimentotarget.EntryName) bool {
	if e.settings.Name < name {
		return true
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	p := e.peers.members.Peer(name)
	return p != nil && !p.HeartbeatWithin(e.now(), heartbeatPeriod(len(e.peers.loops))*timeoutPeriods/2)
}

// sendHeartbeat sends one heartbeat to a peer and processes the reply.
func (e *Entry) sendHeartbeat(h *pimentolink.HeartbeatClient, l *heartbeatLoop) {
	name := l.name
	hb, cursor, ok := e.nextHeartbeat(name)
	if !ok {
		return
	}
	reply, size, err := h.Exchange(hb)
	e.counters.controlBytes.Add(size)
	if err != nil {
		e.peers.mu.Lock()
		e.peers.members.ConnectionLost(name)
		e.peers.mu.Unlock()
		_ = level.Debug(e.log).Log("msg", "heartbeat failed", "peer", name, "err", err)
		return
	}
	e.peers.mu.Lock()
	l.ackedCursor = max(l.ackedCursor, cursor)
	e.peers.mu.Unlock()
	e.processHeartbeat(reply)
}

// currentPeriod returns the time between heartbeats for the current number of peers.
func (e *Entry) currentPeriod() time.Duration {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return heartbeatPeriod(len(e.peers.loops))
}

// nextHeartbeat returns the next heartbeat for a peer, and the cursor after its
// changes. It reports false if the peer isn't known.
func (e *Entry) nextHeartbeat(to pimentotarget.EntryName) (pimentopeer.Heartbeat, pimentopeer.Cursor, bool) {
	hb := pimentopeer.Heartbeat{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Revision:    e.store.View().Revision,
		Stopping:    e.stopping.Load(),
		HeldIssuers: e.keys.adoptedRangeIssuers(),
	}
	p := &e.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.members.Peer(to)
	if peer == nil {
		return hb, 0, false
	}
	if peer.Incarnation != 0 {
		hb.Changes = p.members.NextChanges(&p.changeLog, peer, maxChanges)
	}
	if p.stateRequestsLeft > 0 && peer.Region == e.settings.Region && peer.Reachable(e.now()) && p.stateRequested[peer.Incarnation] == 0 {
		p.stateRequestsLeft--
		p.stateRequested[peer.Incarnation]++
		hb.WantFullState = true
	}
	return hb, peer.Cursor, true
}

// onHeartbeat processes a peer's heartbeat and returns the reply.
func (e *Entry) onHeartbeat(hb pimentopeer.Heartbeat) pimentopeer.Heartbeat {
	e.processHeartbeat(hb)
	reply, _, _ := e.nextHeartbeat(hb.Name)
	return reply
}

// processHeartbeat updates the membership, keys, targets and quarantine from a peer's
// heartbeat, and fetches the configuration if the peer has a newer revision.
func (e *Entry) processHeartbeat(hb pimentopeer.Heartbeat) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	before := p.members.Peer(hb.Name)
	var gone pimentokey.Incarnation
	if before != nil && before.Incarnation != hb.Incarnation {
		gone = before.Incarnation
	}
	peer, isNew := p.members.HandleHeartbeat(now, hb, p.changeLog.Last())
	p.mu.Unlock()
	if gone != 0 {
		e.keys.abandon(gone)
	}
	if peer == nil {
		return
	}
	if isNew {
		_ = level.Info(e.log).Log("msg", "first heartbeat from peer", "peer", hb.Name, "revision", hb.Revision)
	}
	e.keys.setHolder(hb.Incarnation, hb.HeldIssuers)
	e.mergeChanges(now, peer.Region, hb.Changes)
	if hb.Revision > e.store.View().Revision {
		e.fetchConfig(peer.Address)
	}
}
