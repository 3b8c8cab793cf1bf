package pimentogate

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentotarget"
)

const (
	// domainSyncInterval is the time between two notes to an entry of the same domain, and
	// farBeat to one of another domain, when nothing changes. Changes travel to
	// other regions with these notes only, since each region reads the platform.
	domainSyncInterval = 500 * time.Millisecond
	farSyncInterval    = 1000 * time.Millisecond
	// goneSyncInterval is the time between two notes to an entry that counts as gone.
	goneSyncInterval = 2 * time.Second
	// seedSyncInterval is the time between two notes to a seed while no entry is known.
	seedSyncInterval = 300 * time.Millisecond
	// syncTimeout bounds the exchange of one note.
	syncTimeout = 1000 * time.Millisecond
	// syncBackoff is the pause after an exchange that failed.
	syncBackoff = time.Second
	// minSyncGap is the least time between two notes to one entry.
	minSyncGap = 30 * time.Millisecond
	// linksPerDomain is the number of entries of each domain that talk to those of
	// other domains.
	linksPerDomain = 2
	// peerCheckInterval is the time between two looks at whom to talk to.
	peerCheckInterval = 300 * time.Millisecond
)

// syncPolicy says how an entry is talked to.
type syncPolicy struct {
	interval time.Duration // The time between two notes when nothing changes.
	// onChange and onConfirm say whether it is told at once when something has
	// onChange, and when the state was confirmed anew.
	onChange, onConfirm bool
}

// peerSync sends notes to one address.
type peerSync struct {
	gate    *Gate
	address string
	syncPolicy
	cancel context.CancelFunc

	peerHash uint64 // Of the peer's roster.
}

// runPeerSyncs starts and ends talkers as members come and go, until ctx ends.
func (g *Gate) runPeerSyncs(ctx context.Context) {
	running := make(map[string]*peerSync)
	t := time.NewTicker(peerCheckInterval)
	defer t.Stop()
	for {
		wanted := g.syncPeers()
		for address, ps := range running {
			if _, ok := wanted[address]; !ok {
				ps.cancel()
				delete(running, address)
			}
		}
		for address, p := range wanted {
			if running[address] != nil {
				continue
			}
			ps := &peerSync{gate: g, address: address, syncPolicy: p}
			var tctx context.Context
			tctx, ps.cancel = context.WithCancel(ctx)
			running[address] = ps
			go ps.run(tctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// syncPeers returns the addresses to talk to.
// Of two entries of different domains the one whose name comes first talks to
// the other.
func (g *Gate) syncPeers() map[string]syncPolicy {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	wanted := make(map[string]syncPolicy)
	domains := make(map[string][]pimentopeer.Member)
	addresses := map[string]bool{g.settings.PeersAddr: true}
	for _, m := range cs.members.All() {
		addresses[m.Address] = true
		switch {
		case m.Domain != g.settings.Domain:
			if !m.Gone {
				domains[string(m.Domain)] = append(domains[string(m.Domain)], m)
			}
		}
	}
	for _, m := range cs.members.Successors() {
		wanted[m.Address] = syncPolicy{interval: domainSyncInterval, onChange: true, onConfirm: true}
		if m.Gone {
			wanted[m.Address] = syncPolicy{interval: goneSyncInterval}
		}
	}
	rank := ownRank(cs.members.Domain(g.settings.Domain), g.settings.Name)
	if rank < linksPerDomain {
		for _, list := range domains {
			m := list[rank%len(list)]
			if g.settings.Name < m.Name || rank >= len(list) {
				wanted[m.Address] = syncPolicy{interval: farSyncInterval, onChange: m.Region == g.region}
			}
		}
	}
	noPeers := len(addresses) == 1
	for _, address := range g.seeds() {
		if !addresses[address] || noPeers {
			wanted[address] = syncPolicy{interval: seedSyncInterval}
		}
	}
	delete(wanted, g.settings.PeersAddr)
	return wanted
}

// ownRank returns an entry's place among members in the order of their names.
func ownRank(members []pimentopeer.Member, name pimentotarget.EntryName) int {
	for i, m := range members {
		if m.Name == name {
			return i
		}
	}
	return len(members)
}

func (ps *peerSync) run(ctx context.Context) {
	line, closeLine := ps.gate.node.Line(ps.address)
	line.Timeout = syncTimeout
	defer closeLine()
	for ctx.Err() == nil {
		changed, fresher := ps.gate.cluster.signals()
		if !ps.onChange {
			changed = nil
		}
		if !ps.onConfirm {
			fresher = nil
		}
		wait := ps.interval
		if !ps.syncOnce(line.Exchange) {
			wait = max(syncBackoff, ps.interval)
			changed, fresher = nil, nil
		}
		if !sleepContext(ctx, minSyncGap) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-fresher:
		case <-time.After(wait - randomUpTo(wait/5)):
		}
	}
}

// sleepContext waits, and reports false if ctx ends.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// signals returns a channel that is closed when there is something to tell, and
// one that is closed when the state was confirmed anew.
func (cs *clusterState) signals() (changed, fresher <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.changed, cs.confirmed
}

// syncOnce tells what the peer lacks and takes what this entry lacks. What the
// peer lacks is known from its answer, so that nothing is told twice: it has the
// revision of its state, and the checksums of its roster where that differs.
func (ps *peerSync) syncOnce(send func([]byte) ([]byte, error)) bool {
	g := ps.gate
	n, ok := ps.sendMessage(send, g.newSyncMessage(ps.peerHash, nil))
	if ok && (n.revision < g.knownRevision() || n.membersHash != g.membersHash()) {
		_, ok = ps.sendMessage(send, g.addUpdate(g.newSyncMessage(n.membersHash, n.sums), n.revision))
	}
	return ok
}

// sendMessage sends one note and takes the answer.
func (ps *peerSync) sendMessage(send func([]byte) ([]byte, error), out *syncMessage) (*syncMessage, bool) {
	g := ps.gate
	reply, err := send(out.marshal())
	if err != nil {
		g.metrics.count("pimento_notes_failed_total")
		g.logLine(level.DebugValue(), "msg", "peer doesn't answer", "peer", ps.address, "err", err)
		ps.peerHash = 0
		return nil, false
	}
	n, err := unmarshalSyncMessage(reply)
	if err != nil {
		g.logLine(level.WarnValue(), "msg", "peer's note ignored", "peer", ps.address, "err", err)
		return nil, false
	}
	ps.peerHash = n.membersHash
	g.applySyncMessage(n)
	return n, true
}

// handleSync takes a peer's note and returns the answer.
func (g *Gate) handleSync(msg []byte) ([]byte, error) {
	n, err := unmarshalSyncMessage(msg)
	if err != nil {
		return nil, err
	}
	g.applySyncMessage(n)
	return g.addUpdate(g.newSyncMessage(n.membersHash, n.sums), n.revision).marshal(), nil
}

// membersHash stands for all that is known of the members.
func (g *Gate) membersHash() uint64 {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sums := cs.members.Sums()
	return sums.Hash()
}

// newSyncMessage returns a note without an update for a peer whose roster has a hash
// and, where they are known, checksums. One that knows the same members is only
// told that this entry is there.
func (g *Gate) newSyncMessage(peerHash uint64, peer *pimentopeer.Sums) *syncMessage {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sums := cs.members.Sums()
	n := &syncMessage{sender: cs.members.Self(), membersHash: sums.Hash(), revision: cs.feed.AsOf(), ageMillis: -1, readsPlatform: cs.reading, crashes: cs.crashes}
	if age, known := cs.age(now); known {
		n.ageMillis = age.Milliseconds()
	}
	if peerHash == n.membersHash {
		n.sender = n.sender.Short()
		return n
	}
	n.sums = &sums
	if peer != nil {
		n.members = cs.members.Differing(peer)
	}
	return n
}

// addUpdate adds everything after a revision.
func (g *Gate) addUpdate(n *syncMessage, after pimentofeed.Revision) *syncMessage {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.feed.AsOf() > after {
		u := cs.feed.Since(g.now(), after)
		n.update = &u
	}
	return n
}

// applySyncMessage takes what a peer tells.
func (g *Gate) applySyncMessage(n *syncMessage) {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	cs.members.Heard(now, n.sender)
	cs.members.Merge(now, n.members)
	if n.readsPlatform {
		cs.readersSeen[string(n.sender.Name)] = now
	} else {
		delete(cs.readersSeen, string(n.sender.Name))
	}
	cs.mu.Unlock()
	if n.update != nil {
		n.update.Age = time.Duration(max(0, n.ageMillis)) * time.Millisecond
		if n.ageMillis < 0 {
			n.update.Age = unknownAge
		}
		g.applyUpdate(*n.update, string(n.sender.Name))
	} else if n.ageMillis >= 0 {
		cs.mu.Lock()
		// A peer that knows more confirms only what it knows itself: the
		// update that follows must still find out how old this state is.
		if n.revision == cs.feed.AsOf() {
			cs.confirm(now, time.Duration(n.ageMillis)*time.Millisecond)
		}
		cs.mu.Unlock()
	}
	for _, c := range n.crashes {
		c.receivedAt = now
		if g.mergeCrash(c) {
			cs.addCrash(c)
		}
	}
}

// unknownAge stands for the age of a state that no reader has confirmed.
const unknownAge = time.Hour
