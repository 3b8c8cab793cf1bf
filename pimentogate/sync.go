package pimentogate

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentopeer"
)

const (
	// domainSyncInterval is the time between two sync messages to an entry of the same
	// domain, regionSyncInterval to one of another domain of the region, and
	// crossRegionSyncInterval to one of another region, when nothing changes. Changes
	// reach other regions only with these periodic messages, since each region reads the
	// platform itself.
	domainSyncInterval      = 500 * time.Millisecond
	regionSyncInterval      = 500 * time.Millisecond
	crossRegionSyncInterval = 1000 * time.Millisecond
	// downSyncInterval is the time between two sync messages to an entry that
	// counts as down.
	downSyncInterval = 2 * time.Second
	// seedSyncInterval is the time between two sync messages to a seed whose
	// address isn't that of a known member.
	seedSyncInterval = 300 * time.Millisecond
	// minSyncGap is the minimum time between two exchanges with one entry.
	minSyncGap = 30 * time.Millisecond
	// linksPerDomain is the number of entries of each domain that sync with other
	// domains.
	linksPerDomain = 2
	// peerCheckInterval is the time between two updates of the list of peers to
	// sync with.
	peerCheckInterval = 300 * time.Millisecond
)

// syncPolicy says when to sync with a peer.
type syncPolicy struct {
	interval time.Duration // Between two exchanges when nothing changes.
	// onChange and onConfirm say whether to sync at once when there is something to
	// send, and when the feed was confirmed to be much more recent.
	onChange, onConfirm bool
}

// peerSync runs the sync loop with the peer at one address.
type peerSync struct {
	gate    *Gate
	address string
	syncPolicy
	cancel context.CancelFunc

	peerHash uint64 // Hash of the peer's membership, 0 if unknown.
	// peerStamp is that of the peer's last reply, 0 without one.
	peerStamp uint64
	// patience is the time that the next exchange may take if that is more than usual.
	patience time.Duration
}

// runPeerSyncs starts and ends sync loops as members come and go, until ctx ends.
func (g *Gate) runPeerSyncs(ctx context.Context) {
	running := make(map[string]*peerSync)
	t := time.NewTicker(peerCheckInterval)
	defer t.Stop()
	var known syncInputs
	for {
		if in := g.syncInputs(); in != known {
			known = in
			g.updatePeerSyncs(ctx, running)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// syncInputs is what the list of peers to sync with depends on.
type syncInputs struct {
	memberChanges uint64
	seeds         *[]string
}

func (g *Gate) syncInputs() syncInputs {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return syncInputs{memberChanges: cs.members.Changes(), seeds: g.seedAddrs.Load()}
}

// updatePeerSyncs ends the sync loops with peers that are no longer to be synced with, and
// starts those that are missing.
func (g *Gate) updatePeerSyncs(ctx context.Context, running map[string]*peerSync) {
	wanted := g.syncPolicies()
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
		var loopCtx context.Context
		loopCtx, ps.cancel = context.WithCancel(ctx)
		running[address] = ps
		go ps.run(loopCtx)
	}
}

// syncPolicies returns the policy for each address to sync with: the sync peers in this
// entry's domain, one entry of each other domain, and seeds that aren't known members.
// Only the first linksPerDomain entries of a domain, by name, sync with other domains,
// each with the entry of the same rank there. The one of the two whose name sorts first
// starts the exchanges; an entry whose rank the other domain doesn't have always does.
func (g *Gate) syncPolicies() map[string]syncPolicy {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	wanted := make(map[string]syncPolicy)
	domains := make(map[string][]pimentopeer.Member)
	addresses := map[string]bool{g.settings.PeersAddr: true}
	for _, m := range cs.members.OtherRecords() {
		addresses[m.Address] = true
		switch {
		case m.Domain != g.settings.Domain:
			if !m.Down {
				domains[string(m.Domain)] = append(domains[string(m.Domain)], m)
			}
		}
	}
	for _, m := range cs.members.SyncPeers() {
		wanted[m.Address] = syncPolicy{interval: domainSyncInterval, onChange: true, onConfirm: true}
		if m.Down {
			wanted[m.Address] = syncPolicy{interval: downSyncInterval}
		}
	}
	rank, _ := pimentopeer.Rank(cs.members.DomainMembers(g.settings.Domain), g.settings.Name)
	if rank < linksPerDomain {
		for _, list := range domains {
			m := list[rank%len(list)]
			if g.settings.Name < m.Name || rank >= len(list) {
				wanted[m.Address] = g.linkPolicy(&m)
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

// linkPolicy returns the policy for an entry of another domain.
func (g *Gate) linkPolicy(m *pimentopeer.Member) syncPolicy {
	if m.Region == g.region {
		return syncPolicy{interval: regionSyncInterval, onChange: true, onConfirm: true}
	}
	return syncPolicy{interval: crossRegionSyncInterval}
}

func (ps *peerSync) run(ctx context.Context) {
	client, closeClient := ps.gate.node.SyncClient(ps.address)
	defer closeClient()
	for ctx.Err() == nil {
		usual, backoff := ps.gate.syncPatience()
		client.Timeout = max(usual, ps.patience)
		changed, confirmed := ps.gate.cluster.signals()
		if !ps.onChange {
			changed = nil
		}
		if !ps.onConfirm {
			confirmed = ps.gate.cluster.outageSignal()
		}
		wait, began := ps.gate.syncInterval(ps.interval), time.Now()
		ok := ps.syncOnce(client.Exchange)
		ps.adapt(client.Timeout, time.Since(began))
		if !ok {
			wait = max(backoff, ps.interval)
			changed, confirmed = nil, nil
		}
		if !sleepContext(ctx, minSyncGap) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-confirmed:
		case <-time.After(wait - randomUpTo(wait/5)):
		}
	}
}

// sleepContext waits for d, and reports false if ctx ends.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// signals returns a channel that is closed when there is something to send, and one
// that is closed when the feed was confirmed to be much more recent.
func (cs *clusterState) signals() (changed, confirmed <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.changed, cs.confirmed
}

// syncOnce sends what the peer lacks and merges what this entry lacks. The peer's
// reply has the revision of its items, a digest of its crashes, and the checksums of its
// membership if that differs, so that nothing is sent that the peer has already. The second
// message answers the reply, which confirms the age of the peer's items better than the first.
func (ps *peerSync) syncOnce(exchange func([]byte) ([]byte, error)) bool {
	g := ps.gate
	msg, ok := ps.sendMessage(exchange, g.newSyncMessage(ps.peerHash, nil, ps.peerStamp))
	if ok && (g.lacksItems(msg) || g.knowsMore(msg) || msg.membersHash != g.membersHash() || msg.crashDigest != g.crashDigest()) {
		_, ok = ps.sendMessage(exchange, g.addMissing(g.newSyncMessage(msg.membersHash, msg.sums, ps.peerStamp), msg))
	}
	return ok
}

// sendMessage sends one sync message and applies the reply.
func (ps *peerSync) sendMessage(exchange func([]byte) ([]byte, error), out *syncMessage) (*syncMessage, bool) {
	g := ps.gate
	reply, err := exchange(out.marshal())
	if err != nil {
		g.metrics.count("pimento_notes_failed_total")
		g.logLine(level.DebugValue(), "msg", "peer sync failed", "peer", ps.address, "err", err)
		ps.peerHash = 0
		return nil, false
	}
	msg, err := unmarshalSyncMessage(reply)
	if err != nil {
		g.logLine(level.WarnValue(), "msg", "invalid sync message ignored", "peer", ps.address, "err", err)
		return nil, false
	}
	ps.peerHash, ps.peerStamp = msg.membersHash, msg.stamp()
	g.applySyncMessage(msg)
	return msg, true
}

// handleSync applies a peer's sync message and returns the reply.
func (g *Gate) handleSync(data []byte) ([]byte, error) {
	msg, err := unmarshalSyncMessage(data)
	if err != nil {
		return nil, err
	}
	g.applySyncMessage(msg)
	return g.addMissing(g.newSyncMessage(msg.membersHash, msg.sums, msg.stamp()), msg).marshal(), nil
}

// membersHash returns a hash of all that this entry knows about members.
func (g *Gate) membersHash() uint64 {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sums := cs.members.Checksums()
	return sums.Hash()
}

// newSyncMessage returns a sync message without an update. peerHash is the hash of
// the peer's membership, and peerSums its checksums, nil if unknown. A peer with the
// same membership gets only a short record of this entry. peerStamp is the stamp of the
// peer's last message.
func (g *Gate) newSyncMessage(peerHash uint64, peerSums *pimentopeer.Checksums, peerStamp uint64) *syncMessage {
	now, digest, backlogs, silences := g.now(), g.crashDigest(), g.ownBacklogs(), g.silences()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sums := cs.members.Checksums()
	msg := &syncMessage{
		sender:        cs.members.Self(),
		membersHash:   sums.Hash(),
		at:            cs.feed.At(),
		disputeDigest: cs.feed.DisputeDigest(),
		ageMillis:     -1,
		readings:      cs.currentReadings(now),
		crashDigest:   digest,
		entries:       cs.size.own(),
		confirmation:  g.statement(peerStamp),
		backlogs:      backlogs,
		silences:      silences,
		failures:      cs.currentFailures(now),
	}
	for i := range msg.readings {
		msg.readings[i].at -= now
		msg.readings[i].due -= now
	}
	for i := range msg.failures {
		msg.failures[i].at -= now
	}
	if age, known := cs.age(now); known {
		msg.ageMillis = age.Milliseconds()
	}
	if peerHash == msg.membersHash {
		msg.sender = msg.sender.LivenessRecord()
		return msg
	}
	differing := sums // Allocated only here.
	msg.sums = &differing
	if peerSums != nil {
		msg.members = cs.members.DifferingRecords(peerSums)
	}
	return msg
}

// addMissing adds what a peer lacks, by its last message, to a sync message: the changes
// of items after its revision, and all crashes if it doesn't know the same ones.
func (g *Gate) addMissing(msg, last *syncMessage) *syncMessage {
	if last.crashDigest != g.crashDigest() {
		msg.crashes = g.crashReports()
	}
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.lacksItems(last) {
		u := cs.feed.Since(g.now(), last.at)
		msg.update = &u
	}
	return msg
}

// applySyncMessage merges a peer's sync message into the cluster state.
func (g *Gate) applySyncMessage(msg *syncMessage) {
	now := g.now()
	g.peerBacklogs.set(now, msg.sender.Name, msg.backlogs)
	cs := g.cluster
	cs.mu.Lock()
	cs.members.MergeDirect(now, msg.sender)
	cs.members.Merge(now, msg.members)
	cs.size.state(msg.entries)
	for i := range msg.readings {
		msg.readings[i].at += now // Their times are relative to the message.
		msg.readings[i].due += now
	}
	for i := range msg.failures {
		msg.failures[i].at += now
	}
	cs.mergeFailures(now, msg.failures)
	confirms := cs.mergeReadings(msg.readings) && msg.ageMillis >= 0
	cs.mu.Unlock()
	if msg.update != nil {
		msg.update.Age = time.Duration(max(0, msg.ageMillis)) * time.Millisecond
		if msg.ageMillis < 0 {
			msg.update.Age = unknownAge
		}
		g.applyUpdate(*msg.update, string(msg.sender.Name))
	} else if confirms {
		cs.mu.Lock()
		// The age of a newer revision doesn't hold for this entry's items. Their age
		// isn't changed, so that applyUpdate can detect an outage from it when the
		// update arrives.
		if msg.at == cs.feed.At() {
			cs.staleRead = false
			cs.confirm(now, time.Duration(msg.ageMillis)*time.Millisecond, string(msg.sender.Name))
		}
		cs.mu.Unlock()
	}
	g.applyConfirmation(msg)
	g.mergeCrashes(msg.crashes, msg.sender.Name)
	g.mergeSilences(msg.silences, msg.sender.Name)
}

// unknownAge stands for the age of a feed that no reader has confirmed.
const unknownAge = time.Hour
