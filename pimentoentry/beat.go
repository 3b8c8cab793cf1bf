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

// beatLoop is the goroutine that sends heartbeats to one peer.
type beatLoop struct {
	name   pimentotarget.EntryName
	urgent chan struct{}
	cancel context.CancelFunc
	acked  pimentopeer.Cursor // The news that the peer has acknowledged.
}

const (
	minPeriod = time.Second
	// beatBytes is the traffic in bytes of one heartbeat and its answer, with
	// the headers of yamux, TCP and IP.
	beatBytes = 300
	// beatRate is the traffic in bytes per second that heartbeats may cause.
	beatRate = 2400
	// beatTerms is the number of periods without a heartbeat after which a peer
	// counts as unreachable, and half of it the number after which the peer
	// that usually waits begins by itself.
	beatTerms = 4
	// urgentPause is the least time between two heartbeats to a peer.
	urgentPause = 50 * time.Millisecond
	// maxChanges bounds the news in one heartbeat.
	maxChanges = 256
	// stateSources is the number of peers that are asked for their whole state
	// after a start or a pause.
	stateSources = 3
)

// period is the time between heartbeats to each of n peers.
func period(n int) time.Duration {
	return max(minPeriod, time.Duration(n)*beatBytes*time.Second/beatRate)
}

// reconcile starts and stops heartbeat loops. It is called with peers.mu held.
func (e *Entry) reconcile() {
	p := &e.peers
	want := make(map[string]pimentotarget.EntryName)
	for _, partner := range p.members.HeartbeatPeers() {
		want[partner.Address] = partner.Name
	}
	for address, l := range p.loops {
		if want[address] != l.name {
			l.cancel()
			delete(p.loops, address)
			e.node.CloseSessions(address)
		}
	}
	for address, name := range want {
		if p.loops[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(e.ctx)
		l := &beatLoop{name: name, urgent: make(chan struct{}, 1), cancel: cancel}
		if p.loops == nil {
			p.loops = make(map[string]*beatLoop)
		}
		p.loops[address] = l
		go e.beat(ctx, address, l)
	}
}

// beat sends heartbeats to one peer until ctx ends.
func (e *Entry) beat(ctx context.Context, address string, l *beatLoop) {
	heart, cleanup := e.node.HeartbeatClient(address)
	defer cleanup()
	urgent := true
	var last time.Duration
	for ctx.Err() == nil {
		if urgent || e.begins(l.name) {
			sleep(ctx, last+urgentPause-e.now())
			last = e.now()
			e.beatOnce(heart, l)
		}
		urgent = false
		pause := time.NewTimer(e.beatPeriod())
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-l.urgent:
			urgent = true
		}
		pause.Stop()
	}
}

// begins reports whether this entry begins the next exchange with a peer. Of
// two entries the one with the lesser name begins; the other one does so only
// when it has heard nothing for a while.
func (e *Entry) begins(name pimentotarget.EntryName) bool {
	if e.settings.Name < name {
		return true
	}
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	p := e.peers.members.Peer(name)
	return p != nil && !p.HeartbeatWithin(e.now(), period(len(e.peers.loops))*beatTerms/2)
}

func (e *Entry) beatOnce(h *pimentolink.HeartbeatClient, l *beatLoop) {
	name := l.name
	hb, cursor, ok := e.heartbeat(name)
	if !ok {
		return
	}
	reply, size, err := h.Exchange(hb)
	e.counters.control.Add(size)
	if err != nil {
		e.peers.mu.Lock()
		e.peers.members.ConnectionLost(name)
		e.peers.mu.Unlock()
		_ = level.Debug(e.log).Log("msg", "heartbeat failed", "peer", name, "err", err)
		return
	}
	e.peers.mu.Lock()
	l.acked = max(l.acked, cursor)
	e.peers.mu.Unlock()
	e.heard(reply)
}

func (e *Entry) beatPeriod() time.Duration {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return period(len(e.peers.loops))
}

// heartbeat returns the next heartbeat for a peer, and the cursor behind its
// news. It reports false if the peer isn't known.
func (e *Entry) heartbeat(to pimentotarget.EntryName) (pimentopeer.Heartbeat, pimentopeer.Cursor, bool) {
	hb := pimentopeer.Heartbeat{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Revision:    e.store.View().Revision,
		Leaving:     e.stopping.Load(),
		HeldIssuers: e.keys.adoptedRanges(),
	}
	p := &e.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.members.Peer(to)
	if peer == nil {
		return hb, 0, false
	}
	if peer.Incarnation != 0 {
		hb.Changes = p.members.NextChanges(&p.journal, peer, maxChanges)
	}
	if p.wantAll > 0 && peer.Region == e.settings.Region && peer.Reachable(e.now()) && p.asked[peer.Incarnation] == 0 {
		p.wantAll--
		p.asked[peer.Incarnation]++
		hb.WantFullState = true
	}
	return hb, peer.Cursor, true
}

// onHeartbeat takes a peer's heartbeat and returns the own one.
func (e *Entry) onHeartbeat(hb pimentopeer.Heartbeat) pimentopeer.Heartbeat {
	e.heard(hb)
	reply, _, _ := e.heartbeat(hb.Name)
	return reply
}

// heard takes what a peer has told.
func (e *Entry) heard(hb pimentopeer.Heartbeat) {
	now := e.now()
	p := &e.peers
	p.mu.Lock()
	before := p.members.Peer(hb.Name)
	var gone pimentokey.Incarnation
	if before != nil && before.Incarnation != hb.Incarnation {
		gone = before.Incarnation
	}
	peer, fresh := p.members.HandleHeartbeat(now, hb, p.journal.Last())
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
	e.keys.note(hb.Incarnation, hb.HeldIssuers)
	e.merge(now, peer.Region, hb.Changes)
	if hb.Revision > e.store.View().Revision {
		e.fetch(peer.Address)
	}
}
