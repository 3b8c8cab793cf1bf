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

// heartbeatLoop is the goroutine that sends heartbeats to one peer.
type heartbeatLoop struct {
	name        pimentotarget.EntryName
	urgent      chan struct{}
	cancel      context.CancelFunc
	ackedCursor pimentopeer.Cursor // The news that the peer has acknowledged.
}

const (
	minHeartbeatPeriod = time.Second
	// heartbeatBytes is the traffic in bytes of one heartbeat and its answer, with
	// the headers of yamux, TCP and IP.
	heartbeatBytes = 300
	// heartbeatRate is the traffic in bytes per second that heartbeats may cause.
	heartbeatRate = 2400
	// timeoutPeriods is the number of periods without a heartbeat after which a peer
	// counts as unreachable, and half of it the number after which the peer
	// that usually waits begins by itself.
	timeoutPeriods = 4
	// minHeartbeatGap is the least time between two heartbeats to a peer.
	minHeartbeatGap = 50 * time.Millisecond
	// maxChanges bounds the news in one heartbeat.
	maxChanges = 256
	// stateSources is the number of peers that are asked for their whole state
	// after a start or a pause.
	stateSources = 3
)

// heartbeatPeriod is the time between heartbeats to each of n peers.
func heartbeatPeriod(n int) time.Duration {
	return max(minHeartbeatPeriod, time.Duration(n)*heartbeatBytes*time.Second/heartbeatRate)
}

// updateLoops starts and stops heartbeat loops. It is called with peers.mu held.
func (e *Entry) updateLoops() {
	p := &e.peers
	want := make(map[string]pimentotarget.EntryName)
	for _, partner := range p.members.Partners() {
		want[partner.Address] = partner.Name
	}
	for address, l := range p.loops {
		if want[address] != l.name {
			l.cancel()
			delete(p.loops, address)
			e.node.Drop(address)
		}
	}
	for address, name := range want {
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
	heart, cleanup := e.node.Heart(address)
	defer cleanup()
	urgent := true
	var last time.Duration
	for ctx.Err() == nil {
		if urgent || e.initiates(l.name) {
			sleepContext(ctx, last+minHeartbeatGap-e.now())
			last = e.now()
			e.sendHeartbeat(heart, l)
		}
		urgent = false
		pause := time.NewTimer(e.currentPeriod())
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-l.urgent:
			urgent = true
		}
		pause.Stop()
	}
}

// initiates reports whether this entry initiates the next exchange with a peer. Of
// two entries the one with the lesser name initiates; the other one does so only
// when it has heard nothing for a while.
func (e *Entry) initiates(name pimentotarget.EntryName) bool {
	if e.settings.Name < name {
		return true
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	p := e.peers.members.Peer(name)
	return p != nil && !p.HeardWithin(e.now(), heartbeatPeriod(len(e.peers.loops))*timeoutPeriods/2)
}

func (e *Entry) sendHeartbeat(h *pimentolink.Heart, l *heartbeatLoop) {
	name := l.name
	hb, cursor, ok := e.nextHeartbeat(name)
	if !ok {
		return
	}
	reply, size, err := h.Beat(hb)
	e.counters.controlBytes.Add(size)
	if err != nil {
		e.peers.mu.Lock()
		e.peers.members.Lost(name)
		e.peers.mu.Unlock()
		_ = level.Debug(e.log).Log("msg", "heartbeat failed", "peer", name, "err", err)
		return
	}
	e.peers.mu.Lock()
	l.ackedCursor = max(l.ackedCursor, cursor)
	e.peers.mu.Unlock()
	e.processHeartbeat(reply)
}

func (e *Entry) currentPeriod() time.Duration {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return heartbeatPeriod(len(e.peers.loops))
}

// nextHeartbeat returns the next nextHeartbeat for a peer, and the cursor behind its
// news. It reports false if the peer isn't known.
func (e *Entry) nextHeartbeat(to pimentotarget.EntryName) (pimentopeer.Heartbeat, pimentopeer.Cursor, bool) {
	hb := pimentopeer.Heartbeat{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Revision:    e.store.View().Revision,
		Leaving:     e.stopping.Load(),
		Held:        e.keys.adoptedRanges(),
	}
	p := &e.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.members.Peer(to)
	if peer == nil {
		return hb, 0, false
	}
	if peer.Incarnation != 0 {
		hb.Changes = p.members.News(&p.changeLog, peer, maxChanges)
	}
	if p.stateRequestsLeft > 0 && peer.Region == e.settings.Region && peer.Reachable(e.now()) && p.stateRequested[peer.Incarnation] == 0 {
		p.stateRequestsLeft--
		p.stateRequested[peer.Incarnation]++
		hb.WantAll = true
	}
	return hb, peer.Cursor, true
}

// onHeartbeat takes a peer's heartbeat and returns the own one.
func (e *Entry) onHeartbeat(hb pimentopeer.Heartbeat) pimentopeer.Heartbeat {
	e.processHeartbeat(hb)
	reply, _, _ := e.nextHeartbeat(hb.Name)
	return reply
}

// processHeartbeat takes what a peer has told.
func (e *Entry) processHeartbeat(hb pimentopeer.Heartbeat) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	before := p.members.Peer(hb.Name)
	var gone pimentokey.Incarnation
	if before != nil && before.Incarnation != hb.Incarnation {
		gone = before.Incarnation
	}
	peer, fresh := p.members.Heard(now, hb, p.changeLog.Last())
	p.mu.Unlock()
	if gone != 0 {
		e.keys.abandon(gone)
	}
	if peer == nil {
		return
	}
	if fresh {
		_ = level.Info(e.log).Log("msg", "peer heard", "peer", hb.Name, "revision", hb.Revision)
	}
	e.keys.setHolder(hb.Incarnation, hb.Held)
	e.mergeChanges(now, peer.Region, hb.Changes)
	if hb.Revision > e.store.View().Revision {
		e.fetchConfig(peer.Address)
	}
}
