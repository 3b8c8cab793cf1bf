package pimentogate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// outageFleet is a fleet of entries that follow a platform and exchange sync messages, without
// sockets. It runs in a synctest bubble.
type outageFleet struct {
	gates   []*Gate
	entries map[string]int // The index of each entry, by its address.
	domains []pimentoregister.DomainName
	regions map[pimentoregister.DomainName]pimentoregister.RegionName
	hang    bool // The platform doesn't refuse calls when it is away, they time out.
	// start begins the goroutines of an entry.
	start func(g *Gate)

	mu       sync.Mutex   // Guards the fields below.
	away     bool         // The platform is away for all.
	turned   map[int]bool // The entries that the platform turns away.
	isolated map[int]bool // The entries that are cut off from the others and the platform.
	answered time.Time    // When the platform last answered an entry.
}

const (
	simTransit   = 5 * time.Millisecond    // The way of a message.
	simWatchStep = 20 * time.Millisecond   // Between two looks at the platform's state.
	simTimeout   = 1500 * time.Millisecond // Of a call, after the time of its watch.
)

var errSimAway = errors.New("the platform is away")

// runOutageFleet runs a fleet with the sizes of its domains, two domains to a region, while play
// runs.
func runOutageFleet(t *testing.T, sizes []int, hang bool, play func(f *outageFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &outageFleet{
			hang: hang, entries: make(map[string]int), turned: make(map[int]bool), isolated: make(map[int]bool),
			regions: make(map[pimentoregister.DomainName]pimentoregister.RegionName),
		}
		var members []pimentopeer.Member
		for d, size := range sizes {
			domain, region := pimentoregister.DomainName(fmt.Sprint("d", d)), pimentoregister.RegionName(fmt.Sprint("r", d/2))
			f.domains = append(f.domains, domain)
			f.regions[domain] = region
			for range size {
				i := len(members)
				members = append(members, pimentopeer.Member{
					Name: pimentotarget.EntryName(fmt.Sprintf("e%03d", i)), Address: fmt.Sprintf("10.0.0.%d:7", i),
					Region: region, Domain: domain, RunID: uint64(i + 1), Version: 1,
				})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		f.start = func(g *Gate) {
			wg.Go(func() { g.followPlatform(ctx) })
			wg.Go(func() { f.tick(ctx, g) })
			for address, policy := range g.syncPolicies() {
				ps := &peerSync{gate: g, address: address, syncPolicy: policy}
				wg.Go(func() { f.sync(ctx, ps) })
			}
		}
		for i := range members {
			f.addGate(members, i, time.Minute, pimentofeed.Update{Full: true, AsOf: 5})
		}
		for _, g := range f.gates {
			f.start(g)
		}
		play(f)
	})
}

// addGate adds the gate of a member that knows the others. It was started some time ago.
func (f *outageFleet) addGate(members []pimentopeer.Member, i int, uptime time.Duration, u pimentofeed.Update) *Gate {
	self := members[i]
	g := &Gate{
		settings: Settings{Name: self.Name, Domain: self.Domain, PeersAddr: self.Address, Regions: f.regions},
		region:   self.Region, startedAt: time.Now().Add(-uptime), log: log.NewNopLogger(), metrics: newGateMetrics(),
		cluster: newClusterState(self), configured: make(chan struct{}),
	}
	g.seedAddrs.Store(&[]string{members[(i+1)%len(members)].Address})
	g.source = f.source(i)
	for j := range members {
		if j != i && uptime > 0 {
			g.cluster.members.Merge(g.now(), members[j:j+1])
		}
	}
	if u.AsOf > 0 {
		g.cluster.feed.Merge(g.now(), u)
		g.cluster.size.state(len(members))
	}
	f.entries[self.Address] = i
	if i < len(f.gates) {
		f.gates[i] = g
	} else {
		f.gates = append(f.gates, g)
	}
	return g
}

// source returns the platform as entry i sees it.
func (f *outageFleet) source(i int) pimentoplatform.Source {
	call := func(u pimentofeed.Update, wait time.Duration) (pimentofeed.Update, error) {
		time.Sleep(simTransit)
		for end := time.Now().Add(wait); f.answers(i); time.Sleep(simWatchStep) {
			if !time.Now().Before(end) {
				f.set(func() { f.answered = time.Now() })
				return u, nil
			}
		}
		if f.hang {
			time.Sleep(wait + simTimeout)
		}
		return pimentofeed.Update{}, errSimAway
	}
	return pimentoplatform.Source{
		Read: func(bool) (pimentofeed.Update, error) { return call(pimentofeed.Update{Full: true, AsOf: 5}, 0) },
		Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
			return call(pimentofeed.Update{From: after, AsOf: 5}, wait)
		},
	}
}

func (f *outageFleet) answers(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.away && !f.turned[i] && !f.isolated[i]
}

func (f *outageFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// tick does what maintainCluster does with the members.
func (f *outageFleet) tick(ctx context.Context, g *Gate) {
	for sleepContext(ctx, clusterTick) {
		g.updateMembership()
	}
}

// sync does what peerSync.run does, with messages that are passed on in this process.
func (f *outageFleet) sync(ctx context.Context, ps *peerSync) {
	from, to := f.entries[ps.settings().PeersAddr], f.entries[ps.address]
	exchange := func(data []byte) ([]byte, error) {
		f.mu.Lock()
		cut, peer := f.isolated[from] != f.isolated[to], f.gates[to]
		f.mu.Unlock()
		time.Sleep(simTransit)
		if cut {
			time.Sleep(syncTimeout)
			return nil, errSimAway
		}
		reply, err := peer.handleSync(data)
		time.Sleep(simTransit)
		return reply, err
	}
	for ctx.Err() == nil {
		changed, confirmed := ps.gate.cluster.signals()
		if !ps.onChange {
			changed = nil
		}
		if !ps.onConfirm {
			confirmed = ps.gate.cluster.outageSignal()
		}
		wait := ps.gate.syncInterval(ps.interval)
		if !ps.syncOnce(exchange) {
			wait, changed, confirmed = max(syncBackoff, wait), nil, nil
		}
		if !sleepContext(ctx, minSyncGap) {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-confirmed:
		case <-time.After(wait - randomUpTo(wait/5)):
		}
	}
}

func (ps *peerSync) settings() *Settings { return &ps.gate.settings }

// awayAt reports whether an entry takes the platform for away.
func (f *outageFleet) awayAt(i int) bool {
	g := f.gates[i]
	g.cluster.mu.Lock()
	defer g.cluster.mu.Unlock()
	return g.cluster.isAwayForAll(g.now())
}

// countAway returns how many entries take the platform for away.
func (f *outageFleet) countAway() int {
	n := 0
	for i := range f.gates {
		if f.awayAt(i) {
			n++
		}
	}
	return n
}
