package pimentogate

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// fleetSizes are the numbers of entries whose costs are compared.
var fleetSizes = []int{30, 100, 472, 1546}

// fleetMember returns entry i of a fleet of n in nine domains and three regions.
func fleetMember(i, n int) pimentopeer.Member {
	domain := 9 * i / n
	return pimentopeer.Member{
		Name: pimentotarget.EntryName(fmt.Sprintf("e%04d", i)), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250),
		Region: pimentoregister.RegionName(fmt.Sprint("r", domain/3)), Domain: pimentoregister.DomainName(fmt.Sprint("d", domain)),
		RunID: uint64(i + 1), Version: 1,
	}
}

// fleetGate returns entry i of a fleet of n, which knows all others and has n*2 targets.
func fleetGate(i, n int) *Gate {
	self := fleetMember(i, n)
	s := DefaultSettings()
	s.Name, s.Domain, s.PeersAddr = self.Name, self.Domain, self.Address
	s.Regions = make(map[pimentoregister.DomainName]pimentoregister.RegionName)
	g := &Gate{
		settings: s, region: self.Region, startedAt: time.Now().Add(-time.Minute), log: log.NewNopLogger(),
		metrics: newGateMetrics(), cluster: newClusterState(self), configured: make(chan struct{}),
		seedAddrs: atomic.Pointer[[]string]{},
	}
	g.seedAddrs.Store(&s.Seeds)
	var others []pimentopeer.Member
	for j := range n {
		m := fleetMember(j, n)
		s.Regions[m.Domain] = m.Region
		if j != i {
			others = append(others, m)
		}
	}
	g.cluster.members.Merge(g.now(), others)
	g.decode = func(key string, value []byte) (pimentoroute.Record, error) { return fleetRecord(key, 2*n), nil }
	g.applyUpdate(pimentofeed.Update{Full: true, AsOf: 5, Items: fleetItems(n)}, sourcePlatform)
	return g
}

// configKey is the key of the configuration in fleetItems; the others are targets.
const configKey = "config"

// fleetItems returns a configuration and 2n targets.
func fleetItems(n int) []pimentofeed.Item {
	items := []pimentofeed.Item{{Key: configKey, Revision: 1}}
	for i := range 2 * n {
		items = append(items, pimentofeed.Item{Key: fmt.Sprint(i), Revision: 2})
	}
	return items
}

// fleetRecord returns the record of an item of fleetItems.
func fleetRecord(key string, targets int) pimentoroute.Record {
	if key == configKey {
		return pimentoroute.Record{Config: &pimentoroute.Config{
			Version:  1,
			Routes:   []*pimentoroute.Route{{Name: "read", Host: "h", Prefix: "/", Kind: pimentoroute.KindSafe, Objective: time.Second, Timeout: time.Second, Attempts: 2, Parts: []pimentoroute.SplitService{{Service: "s", Weight: 1}}}},
			Services: map[pimentoregister.ServiceName]*pimentoroute.Service{"s": {Name: "s", MaxConns: 3600, ColdRate: 7}},
		}}
	}
	var i int
	_, _ = fmt.Sscan(key, &i)
	return pimentoroute.Record{Target: &pimentoroute.Target{
		ID: pimentoroute.TargetID(key), Service: "s", Address: fmt.Sprintf("10.1.%d.%d:7", i/250, i%250),
		Domain: pimentoregister.DomainName(fmt.Sprint("d", 9*i/targets)), Slots: 3,
	}}
}

// benchmarkFleet measures what one entry does, by the size of the fleet.
func benchmarkFleet(b *testing.B, do func(g *Gate) func()) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			step := do(fleetGate(n/2, n))
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}

// BenchmarkSyncMessage measures an exchange with an entry that has nothing new: both
// messages are made, sent and merged.
func BenchmarkSyncMessage(b *testing.B) {
	benchmarkFleet(b, func(g *Gate) func() {
		ps := &peerSync{gate: g, peerHash: g.membersHash()}
		return func() {
			if !ps.syncOnce(g.handleSync) {
				b.Fatal("the exchange failed")
			}
		}
	})
}

// BenchmarkMembershipTick measures what an entry does at each tick of maintainCluster and
// of runPeerSyncs while no member changes, and BenchmarkReadingDecision its decision
// whether to read the platform.
func BenchmarkMembershipTick(b *testing.B) {
	benchmarkFleet(b, func(g *Gate) func() {
		g.cluster.members.Resume(g.now())
		return func() {
			g.updateMembership()
			g.syncInputs()
		}
	})
}

func BenchmarkReadingDecision(b *testing.B) {
	benchmarkFleet(b, func(g *Gate) func() { return func() { g.decideReading() } })
}

// BenchmarkMemberChange measures the merge of a changed record and what follows from it.
func BenchmarkMemberChange(b *testing.B) {
	benchmarkFleet(b, func(g *Gate) func() {
		m := fleetMember(0, 30)
		return func() {
			m.Version++
			g.applySyncMessage(&syncMessage{sender: m, members: []pimentopeer.Member{m}, ageMillis: -1})
			g.updateMembership()
			g.syncPolicies()
		}
	})
}

// BenchmarkTargetChange measures the merge of one changed target.
func BenchmarkTargetChange(b *testing.B) {
	benchmarkFleet(b, func(g *Gate) func() {
		revision := pimentofeed.Revision(5)
		return func() {
			revision++
			g.applyUpdate(pimentofeed.Update{From: revision - 1, AsOf: revision, Items: []pimentofeed.Item{{Key: "7", Revision: revision}}}, sourcePlatform)
		}
	})
}
