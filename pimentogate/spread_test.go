package pimentogate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentospread"
)

// spreadServices are the services of unevenGate.
var spreadServices = []pimentoregister.ServiceName{"s", "t", "u"}

// unevenGate returns entry i of a fleet of n, with 4 targets of each service in each of the
// nine domains and a route of a kind.
func unevenGate(i, n int, kind pimentoroute.Kind, out ...pimentoregister.DomainName) *Gate {
	g := fleetGate(i, n)
	g.domains = domainsByDistance(g.settings.Regions, g.settings.Domain)
	g.spread = newSpread(&g.settings, uint64(i+1))
	var records []pimentoroute.Record
	cfg := &pimentoroute.Config{Version: 2, Services: make(map[pimentoregister.ServiceName]*pimentoroute.Service)}
	for _, name := range spreadServices {
		cfg.Services[name] = &pimentoroute.Service{Name: name, MaxConns: 900}
		for d := range 9 {
			for k := range 4 {
				records = append(records, pimentoroute.Record{Target: &pimentoroute.Target{
					ID: pimentoroute.TargetID(fmt.Sprint(name, d, k)), Service: name, Slots: 6,
					Domain: pimentoregister.DomainName(fmt.Sprint("d", d)),
				}})
			}
		}
	}
	cfg.Routes = []*pimentoroute.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Objective: time.Second, Timeout: 2 * time.Second, Attempts: 2,
		Parts: []pimentoroute.SplitService{{Service: "s", Weight: 1}},
	}}
	records = append(records, pimentoroute.Record{Config: cfg})
	for _, domain := range out {
		records = append(records, pimentoroute.Record{Out: domain})
	}
	g.table.Store(pimentoroute.Build(records, g.settings.Regions))
	return g
}

// spreadCall returns a request to service s.
func spreadCall(g *Gate) *call {
	t := g.table.Load()
	return &call{table: t, route: t.Config.Routes[0], service: t.Config.Services["s"], received: time.Now(), done: make(chan struct{})}
}

// setLoads states the loads of service s by domain, 0 for none.
func setLoads(g *Gate, number uint32, busy ...pimentospread.Permille) {
	for d, b := range busy {
		if b == 0 {
			continue
		}
		key := pimentospread.RoomKey{Service: "s", Domain: pimentoregister.DomainName(fmt.Sprint("d", d))}
		g.spread.view.MergeRoom(key, pimentospread.Room{Stamp: pimentospread.Stamp{Origin: 99, Number: number, At: g.now()}, Busy: b, Slowdown: 100})
	}
}

// TestEvenDeploymentsHaveNoFigures checks that nothing is observed, sent, merged or chosen where
// the configuration has neither home regions nor uploads.
func TestEvenDeploymentsHaveNoFigures(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindSafe)
	c := spreadCall(g)
	for range 20 {
		g.startedAt = g.startedAt.Add(-50 * time.Millisecond)
		g.observeRoom(g.table.Load().Targets["s"][0], LoadReport{Running: 6, Slots: 6})
	}
	g.observeEnd(c, true)
	is.Equal(g.chooseDomain(c, c.table), pimentospread.Choice{})
	msg := unevenGate(1, 18, pimentoroute.KindUpload)
	setLoads(msg, 1, 500)
	g.applySyncMessage(msg.newSyncMessage(0, nil, 0))
	out := g.newSyncMessage(0, nil, 0)
	is.Equal(len(out.rooms)+len(out.shortages), 0)
	is.Equal(len(g.status().Spread), 0)
}

// TestFiguresReachOtherEntries checks that what one entry states is known at another one with
// its age, and that figures of what isn't published are left out.
func TestFiguresReachOtherEntries(t *testing.T) {
	is := is.New(t)
	from, to := unevenGate(0, 18, pimentoroute.KindUpload), unevenGate(5, 18, pimentoroute.KindUpload, "d3")
	setLoads(from, 1, 0, 700, 0, 900)
	from.spread.view.MergeRoom(pimentospread.RoomKey{Service: "gone", Domain: "d1"}, pimentospread.Room{Stamp: pimentospread.Stamp{At: from.now()}})
	from.spread.view.StateShortage(from.now(), pimentospread.RegionKey{Service: "s", Region: "r0"}, 40)
	from.spread.view.StateShortage(from.now(), pimentospread.RegionKey{Service: "s", Region: "nowhere"}, 40)
	msg, err := unmarshalSyncMessage(from.newSyncMessage(0, nil, 0).marshal())
	is.NoErr(err)
	is.Equal(len(msg.rooms), 3)
	to.applySyncMessage(msg)
	rooms := to.status().Spread["s"].Rooms
	is.Equal(len(rooms), 1) // Neither d3, which is out of service, nor the unknown service.
	is.Equal(rooms["d1"].Busy, pimentospread.Permille(700))
	is.True(rooms["d1"].AgeMillis < 1000)
	shortages := 0
	to.spread.view.EachShortage(to.now(), 10, func(pimentospread.RegionKey, pimentospread.Shortage) { shortages++ })
	is.Equal(shortages, 1)
}

// TestFullDomainsAreNotRanked answers domains of other regions that are full while one of them
// has room: only its targets come after those of the region.
func TestFullDomainsAreNotRanked(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindUpload)
	g.table.Load().Config.Routes[0].Kind = pimentoroute.KindSafe // Uploads stay in their region.
	setLoads(g, 1, 750, 1500, 1500, 100, 1500, 1500, 1500, 1500, 1500)
	for _, d := range rankedDomains(g, spreadCall(g)) {
		is.True(d == "d0" || d == "d1" || d == "d2" || d == "d3")
	}
	// Old figures: all are asked, as without any.
	g.startedAt = g.startedAt.Add(-time.Minute)
	all := make(map[pimentoregister.DomainName]bool)
	for range 50 {
		for _, d := range rankedDomains(g, spreadCall(g)) {
			all[d] = true
		}
	}
	is.Equal(len(all), 9)
}

// rankedDomains returns the domains of the targets ranked for a request.
func rankedDomains(g *Gate, c *call) []pimentoregister.DomainName {
	targets, _ := g.rankTargets(c, nil)
	var list []pimentoregister.DomainName
	for _, tg := range targets {
		list = append(list, tg.Domain)
	}
	return list
}

// TestPassedDomainsServeWhenNothingElseDoes checks that a domain that is known to be full is
// asked after all if the others may not be used.
func TestPassedDomainsServeWhenNothingElseDoes(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindUpload, "d0", "d4", "d5", "d6", "d7", "d8")
	g.table.Load().Config.Routes[0].Kind = pimentoroute.KindSafe
	setLoads(g, 1, 0, 100, 1500, 100)
	c := spreadCall(g)
	var tried []pimentoroute.TargetID
	for _, domain := range []pimentoregister.DomainName{"d1", "d3"} {
		for _, tg := range g.table.Load().InDomain("s", domain) {
			tried = append(tried, tg.ID)
		}
	}
	targets, _ := g.rankTargets(c, tried)
	is.True(len(targets) > 0)
	for _, tg := range targets {
		is.Equal(tg.Domain, pimentoregister.DomainName("d2"))
	}
}

// TestSpillKeepsColdLimits checks that the cold targets of a domain that requests spill over to
// aren't used: only entries of their domain share their limit.
func TestSpillKeepsColdLimits(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindUpload)
	g.table.Load().Config.Routes[0].Kind = pimentoroute.KindSafe
	for _, tg := range g.table.Load().InDomain("s", "d3") {
		g.traffic.target(tg.ID).coldUntil = g.now() + time.Minute
	}
	setLoads(g, 1, 1500, 1500, 1500, 100, 1500, 1500, 1500, 1500, 1500)
	for range 30 {
		for _, d := range rankedDomains(g, spreadCall(g)) {
			is.True(d != "d3")
		}
	}
}

// TestBoundRefusalsAreStated checks that an entry that refuses bound requests says so, and only
// for the regions that may serve them.
func TestBoundRefusalsAreStated(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindSafe)
	cfg := g.table.Load().Config
	cfg.Routes[0].Homes = []pimentoregister.RegionName{"r1"}
	g.table.Store(pimentoroute.Build([]pimentoroute.Record{{Config: cfg}}, g.settings.Regions))
	for range 10 {
		g.observeEnd(spreadCall(g), true)
	}
	var stated []pimentospread.RegionKey
	g.spread.view.EachShortage(g.now(), 10, func(key pimentospread.RegionKey, s pimentospread.Shortage) {
		stated = append(stated, key)
		is.True(s.Refused > 0)
	})
	is.Equal(stated, []pimentospread.RegionKey{{Service: "s", Region: "r1"}})
}

// TestFigureBytes prints what the figures add to the messages of an entry that has links to
// other domains, with three services in nine domains. It doesn't grow with entries.
func TestFigureBytes(t *testing.T) {
	// maxBytes bounds the bytes a second, 1% of a link of 10 Mbit/s.
	const maxBytes = 12_500
	for _, n := range []int{20, 104, 472} {
		g := unevenGate(0, n, pimentoroute.KindUpload)
		for _, name := range spreadServices {
			for d := range 9 {
				key := pimentospread.RoomKey{Service: name, Domain: pimentoregister.DomainName(fmt.Sprint("d", d))}
				g.spread.view.MergeRoom(key, pimentospread.Room{Stamp: pimentospread.Stamp{Origin: 1 << 30, Number: 1 << 20, At: g.now() - time.Second}, Busy: 900, Slowdown: 150})
			}
		}
		msg := g.newSyncMessage(g.membersHash(), nil, 0)
		with := len(msg.marshal())
		msg.rooms, msg.shortages = nil, nil
		figures := with - len(msg.marshal())
		perSecond := 0.0
		for _, p := range g.syncPolicies() {
			perSecond += float64(figures) / p.interval.Seconds()
		}
		t.Logf("%d entries: %d bytes of figures a message, %.0f bytes/s sent in the exchanges that an entry with links begins (%d peers)", n, figures, perSecond, len(g.syncPolicies()))
		if perSecond > maxBytes {
			t.Errorf("%d entries: %.0f bytes/s, the limit is %d", n, perSecond, maxBytes)
		}
	}
}

// BenchmarkRankUneven ranks targets for one request while shares are in force.
func BenchmarkRankUneven(b *testing.B) {
	g := unevenGate(0, 18, pimentoroute.KindUpload)
	setLoads(g, 1, 750, 1500, 1500, 100, 1500, 1500, 1500, 1500, 1500)
	c := spreadCall(g)
	b.ReportAllocs()
	for b.Loop() {
		g.rankTargets(c, nil)
	}
}

// TestRefusingTargetsAreNoRoom answers targets that refuse sends although their reports show
// free slots: the choice is that without figures until they stop.
func TestRefusingTargetsAreNoRoom(t *testing.T) {
	is := is.New(t)
	g := unevenGate(0, 18, pimentoroute.KindSafe)
	g.table.Store(unevenGate(0, 18, pimentoroute.KindUpload).table.Load())
	g.table.Load().Config.Routes[0].Kind = pimentoroute.KindSafe
	setLoads(g, 1, 750, 750, 750, 100, 1500, 1500, 1500, 1500, 1500)
	c := spreadCall(g)
	is.True(g.chooseDomain(c, c.table).Passed != 0)
	for range 3 {
		g.traffic.recordSend("s", true)
	}
	is.Equal(g.chooseDomain(c, c.table), pimentospread.Choice{})
	for range 60 {
		g.traffic.recordSend("s", false)
	}
	is.True(g.chooseDomain(c, c.table).Passed != 0)
}
