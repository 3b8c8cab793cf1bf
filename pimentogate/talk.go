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
	// nearBeat is the time between two notes to an entry of the same domain, and
	// farBeat to one of another domain, when nothing changes. Changes travel to
	// other regions with these notes only, since each region reads the platform.
	nearBeat = 500 * time.Millisecond
	farBeat  = 1000 * time.Millisecond
	// goneBeat is the time between two notes to an entry that counts as gone.
	goneBeat = 2 * time.Second
	// seedBeat is the time between two notes to a seed while no entry is known.
	seedBeat = 300 * time.Millisecond
	// talkTime bounds the exchange of one note.
	talkTime = 1000 * time.Millisecond
	// talkRest is the pause after an exchange that failed.
	talkRest = time.Second
	// talkGap is the least time between two notes to one entry.
	talkGap = 30 * time.Millisecond
	// domainLinks is the number of entries of each domain that talk to those of
	// other domains.
	domainLinks = 2
	// talkLook is the time between two looks at whom to talk to.
	talkLook = 300 * time.Millisecond
)

// partner says how an entry is talked to.
type partner struct {
	beat time.Duration // The time between two notes when nothing changes.
	// changed and fresher say whether it is told at once when something has
	// changed, and when the state was confirmed anew.
	changed, fresher bool
}

// talker sends notes to one address.
type talker struct {
	gate    *Gate
	address string
	partner
	cancel context.CancelFunc

	knownHash uint64 // Of the peer's roster.
}

// keepTalking starts and ends talkers as members come and go, until ctx ends.
func (g *Gate) keepTalking(ctx context.Context) {
	talkers := make(map[string]*talker)
	t := time.NewTicker(talkLook)
	defer t.Stop()
	for {
		wanted := g.partners()
		for address, tk := range talkers {
			if _, ok := wanted[address]; !ok {
				tk.cancel()
				delete(talkers, address)
			}
		}
		for address, p := range wanted {
			if talkers[address] != nil {
				continue
			}
			tk := &talker{gate: g, address: address, partner: p}
			var tctx context.Context
			tctx, tk.cancel = context.WithCancel(ctx)
			talkers[address] = tk
			go tk.run(tctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// partners returns the addresses to talk to.
// Of two entries of different domains the one whose name comes first talks to
// the other.
func (g *Gate) partners() map[string]partner {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]partner)
	domains := make(map[string][]pimentopeer.Member)
	addresses := map[string]bool{g.settings.PeersAddr: true}
	for _, m := range f.roster.OtherRecords() {
		addresses[m.Address] = true
		switch {
		case m.Domain != g.settings.Domain:
			if !m.Down {
				domains[string(m.Domain)] = append(domains[string(m.Domain)], m)
			}
		}
	}
	for _, m := range f.roster.SyncPeers() {
		wanted[m.Address] = partner{beat: nearBeat, changed: true, fresher: true}
		if m.Down {
			wanted[m.Address] = partner{beat: goneBeat}
		}
	}
	rank := ownRank(f.roster.DomainMembers(g.settings.Domain), g.settings.Name)
	if rank < domainLinks {
		for _, list := range domains {
			m := list[rank%len(list)]
			if g.settings.Name < m.Name || rank >= len(list) {
				wanted[m.Address] = partner{beat: farBeat, changed: m.Region == g.region}
			}
		}
	}
	lonely := len(addresses) == 1
	for _, address := range g.seeds() {
		if !addresses[address] || lonely {
			wanted[address] = partner{beat: seedBeat}
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

func (t *talker) run(ctx context.Context) {
	line, closeLine := t.gate.node.SyncClient(t.address)
	line.Timeout = talkTime
	defer closeLine()
	for ctx.Err() == nil {
		changed, fresher := t.gate.fleet.changes()
		if !t.changed {
			changed = nil
		}
		if !t.fresher {
			fresher = nil
		}
		wait := t.beat
		if !t.exchange(line.Exchange) {
			wait = max(talkRest, t.beat)
			changed, fresher = nil, nil
		}
		if !pause(ctx, talkGap) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-fresher:
		case <-time.After(wait - spreadOf(wait/5)):
		}
	}
}

// pause waits, and reports false if ctx ends.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// changes returns a channel that is closed when there is something to tell, and
// one that is closed when the state was confirmed anew.
func (f *fleet) changes() (changed, fresher <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed, f.fresher
}

// exchange tells what the peer lacks and takes what this entry lacks. What the
// peer lacks is known from its answer, so that nothing is told twice: it has the
// revision of its state, and the checksums of its roster where that differs.
func (t *talker) exchange(send func([]byte) ([]byte, error)) bool {
	g := t.gate
	n, ok := t.send(send, g.newNote(t.knownHash, nil))
	if ok && (n.asOf < g.asOf() || n.hash != g.rosterHash()) {
		_, ok = t.send(send, g.withUpdate(g.newNote(n.hash, n.sums), n.asOf))
	}
	return ok
}

// send sends one note and takes the answer.
func (t *talker) send(send func([]byte) ([]byte, error), out *note) (*note, bool) {
	g := t.gate
	reply, err := send(out.marshal())
	if err != nil {
		g.metrics.count("pimento_notes_failed_total")
		g.note(level.DebugValue(), "msg", "peer doesn't answer", "peer", t.address, "err", err)
		t.knownHash = 0
		return nil, false
	}
	n, err := unmarshalNote(reply)
	if err != nil {
		g.note(level.WarnValue(), "msg", "peer's note ignored", "peer", t.address, "err", err)
		return nil, false
	}
	t.knownHash = n.hash
	g.takeNote(n)
	return n, true
}

// onNote takes a peer's note and returns the answer.
func (g *Gate) onNote(msg []byte) ([]byte, error) {
	n, err := unmarshalNote(msg)
	if err != nil {
		return nil, err
	}
	g.takeNote(n)
	return g.withUpdate(g.newNote(n.hash, n.sums), n.asOf).marshal(), nil
}

// rosterHash stands for all that is known of the members.
func (g *Gate) rosterHash() uint64 {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	sums := f.roster.Checksums()
	return sums.Hash()
}

// newNote returns a note without an update for a peer whose roster has a hash
// and, where they are known, checksums. One that knows the same members is only
// told that this entry is there.
func (g *Gate) newNote(peerHash uint64, peer *pimentopeer.Checksums) *note {
	now := g.now()
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	sums := f.roster.Checksums()
	n := &note{self: f.roster.Self(), hash: sums.Hash(), asOf: f.state.AsOf(), age: -1, reads: f.reading, crashes: f.crashes}
	if age, known := f.age(now); known {
		n.age = age.Milliseconds()
	}
	if peerHash == n.hash {
		n.self = n.self.LivenessRecord()
		return n
	}
	n.sums = &sums
	if peer != nil {
		n.members = f.roster.DifferingRecords(peer)
	}
	return n
}

// withUpdate adds everything after a revision.
func (g *Gate) withUpdate(n *note, after pimentofeed.Revision) *note {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.AsOf() > after {
		u := f.state.Since(g.now(), after)
		n.update = &u
	}
	return n
}

// takeNote takes what a peer tells.
func (g *Gate) takeNote(n *note) {
	now := g.now()
	f := g.fleet
	f.mu.Lock()
	f.roster.MergeDirect(now, n.self)
	f.roster.Merge(now, n.members)
	if n.reads {
		f.readers[string(n.self.Name)] = now
	} else {
		delete(f.readers, string(n.self.Name))
	}
	f.mu.Unlock()
	if n.update != nil {
		n.update.Age = time.Duration(max(0, n.age)) * time.Millisecond
		if n.age < 0 {
			n.update.Age = unknownAge
		}
		g.take(*n.update, string(n.self.Name))
	} else if n.age >= 0 {
		f.mu.Lock()
		// A peer that knows more confirms only what it knows itself: the
		// update that follows must still find out how old this state is.
		if n.asOf == f.state.AsOf() {
			f.confirm(now, time.Duration(n.age)*time.Millisecond)
		}
		f.mu.Unlock()
	}
	for _, c := range n.crashes {
		c.at = now
		if g.heardCrash(c) {
			f.tell(c)
		}
	}
}

// unknownAge stands for the age of a state that no reader has confirmed.
const unknownAge = time.Hour
