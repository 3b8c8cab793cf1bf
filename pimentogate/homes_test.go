package pimentogate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// storeHomes makes a configuration the newest one that differs from the present one in its
// version and in the home regions of all routes.
func storeHomes(g *Gate, homes ...pimentoregister.RegionName) {
	old := g.table.Load().Config
	cfg := pimentoroute.Config{Version: old.Version + 1, Services: old.Services, Limits: old.Limits}
	for _, r := range old.Routes {
		moved := *r
		moved.Homes = homes
		cfg.Routes = append(cfg.Routes, &moved)
	}
	g.table.Store(pimentoroute.Build([]pimentoroute.Record{{Config: &cfg}}, nil))
}

// A request whose home moves while it waits for a connection is written to the old home.
func TestHomeMovesBeforeTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		g, cleanup := pipeGate(t, []*pipeTarget{{id: "i-0"}})
		defer cleanup()
		storeHomes(g, "r")
		near, far := net.Pipe()
		g.client.Dial = func(string, time.Duration) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			storeHomes(g, "elsewhere")
			return near, nil
		}
		c, candidates := newRaceCall(g, 1)
		candidates[0].target.Region = "r"
		received := make(chan int64, 1)
		go func() {
			n, _ := io.Copy(io.Discard, far)
			received <- n
		}()
		s := g.sendHedged(c, candidates[0])
		_ = near.Close()
		time.Sleep(time.Second)
		is.Equal(<-received, int64(0))
		is.Equal(s.outcome, outcomeUnsent)
		is.Equal(c.sends, 0)
		is.Equal(len(c.tried), 0) // It may be the home again later.
		is.True(!c.mayHaveRun)
		g.client.CloseAllIdle()
		synctest.Wait()
	})
}

// A request whose organisation's home moves between the choice of a target and its send is
// refused as if its key had another holder.
func TestMovedOrganisationIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	const key = pimentoroute.Key("opera-key")
	store := func(name pimentoregister.OrganisationName, home pimentoregister.RegionName) {
		o := &pimentoroute.Organisation{Name: name, Keys: []pimentoroute.Key{key}, Homes: []pimentoregister.RegionName{home}}
		cfg := &pimentoroute.Config{Routes: table.Config.Routes, Organisations: map[pimentoregister.OrganisationName]*pimentoroute.Organisation{name: o}}
		g.table.Store(pimentoroute.Build([]pimentoroute.Record{{Config: cfg}}, nil))
	}
	store("opera", "a")
	c := lineTestCall(g.table.Load(), 0, "caller")
	c.key, c.hasKey = key.Digest(), true
	c.organisation = c.table.Organisation(c.key)
	near, far := &pimentoroute.Target{ID: "near", Region: "a"}, &pimentoroute.Target{ID: "far", Region: "b"}
	is.Equal(g.checkRules(c, near), reasonNone)
	is.Equal(g.checkRules(c, far), reasonHome)
	store("opera", "b")
	is.Equal(g.checkRules(c, near), reasonHome)
	is.Equal(g.checkRules(c, far), reasonNone)
	is.Equal(g.checkRules(c, nil), reasonNone)
	store("choir", "b")
	is.Equal(g.checkRules(c, far), reasonMoved)
	is.Equal(g.checkRules(c, nil), reasonMoved)
}

// A request on a public route whose key is withdrawn while it waits is sent outside the homes of
// its organisation.
func TestHomesOutliveTheKey(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	const key = pimentoroute.Key("opera-key")
	public := *table.Config.Routes[0]
	public.Public = true
	store := func(keys ...pimentoroute.Key) {
		o := &pimentoroute.Organisation{Name: "opera", Keys: keys, Homes: []pimentoregister.RegionName{"a"}}
		cfg := &pimentoroute.Config{Routes: []*pimentoroute.Route{&public}, Organisations: map[pimentoregister.OrganisationName]*pimentoroute.Organisation{o.Name: o}}
		g.table.Store(pimentoroute.Build([]pimentoroute.Record{{Config: cfg}}, nil))
	}
	store(key)
	c := lineTestCall(g.table.Load(), 0, "caller")
	c.key, c.hasKey = key.Digest(), true
	c.organisation = c.table.Organisation(c.key)
	store()
	is.True(g.allows(c, "a"))
	is.True(!g.allows(c, "b"))
}

// Calls whose homes move while they wait or look for a target corrupt the line: calls never end,
// or ranks count some that have ended.
func TestLineOfCallsWhoseHomesMove(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	g.regionNames = []pimentoregister.RegionName{"a", "b"}
	const calls = 300
	var wg sync.WaitGroup
	for i := range calls {
		c := lineTestCall(table, i%2, fmt.Sprint(i%7))
		if i%10 == 0 {
			time.AfterFunc(time.Duration(rand.IntN(200))*time.Millisecond, c.abandon)
		}
		wg.Go(func() { g.playLineCall(c) })
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	limit := time.After(20 * time.Second)
	for i, playing := 0, true; playing; i++ {
		storeHomes(g, [][]pimentoregister.RegionName{{"a"}, {"b"}, nil}[i%3]...)
		g.aimLines()
		select {
		case <-done:
			playing = false
		case <-limit:
			t.Fatal("calls still wait")
		case <-time.After(time.Duration(rand.IntN(5)) * time.Millisecond):
		}
	}
	l := g.lines["s"]
	is.Equal(l.line.Length(), 0)
	is.Equal(len(l.waiting), 0)
	is.Equal(l.asking, 0)
	last := g.newLineCall(lineTestCall(table, 1, "last"))
	l.line.Arrive(g.now(), &last.Waiter)
	is.Equal(l.line.Position(&last.Waiter), 0) // No rank counts one that is asked for.
}

// playLineCall looks for targets for a call, which has luck at random, until it has one or is refused.
func (g *Gate) playLineCall(c *call) {
	l := g.lineOf(c)
	w, asks := g.arrive(l, c)
	for {
		if !asks {
			if turn := g.awaitTurn(l, w); turn.why != reasonNone {
				return
			}
		}
		asks = false
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		switch rand.IntN(4) {
		case 0:
			g.endTurn(l, w, true)
			return
		case 1: // The target's region was a home.
			g.endTurn(l, w, false)
			w, asks = g.arrive(l, c)
		default:
			if time.Since(c.received) > time.Second {
				g.endTurn(l, w, false)
				return
			}
			g.rejoin(l, w, nil)
		}
	}
}

// A call in a line takes an offer in a region that was its home when the offer was made.
func TestOfferInAFormerHome(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	g.regionNames = []pimentoregister.RegionName{"a", "b"}
	storeHomes(g, "a")
	c := lineTestCall(table, 0, "caller")
	c.service = &pimentoroute.Service{Name: "s"}
	l := g.lineOf(c)
	w, asks := g.arrive(l, c)
	is.True(asks)
	g.rejoin(l, w, nil) // It waits.
	cand := &candidate{target: &pimentoroute.Target{ID: "t", Region: "a", Slots: 6}, report: LoadReport{Slots: 6, Healthy: true, Slowdown: 100}}
	is.Equal(g.findTaker(l, cand), w)
	storeHomes(g, "b")
	is.Equal(g.findTaker(l, cand), nil)
	is.True(!g.confirmHomes(c, cand))
	is.Equal(w.Regions, pimentoload.RegionSet(1))
	g.aimLines()
	is.Equal(w.Regions, pimentoload.RegionSet(2))
	is.Equal(l.asking, 1) // It looks for a target there at once, although region a has no room.
	is.Equal(g.awaitTurn(l, w), lineTurn{})
}

// Calls that waited while a new configuration moved their home went on waiting for targets in the
// old one until somebody looked for a target.
func TestNewConfigurationAimsWaitingCalls(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	g.regionNames = []pimentoregister.RegionName{"a", "b"}
	c := lineTestCall(table, 0, "caller")
	l := g.lineOf(c)
	w := g.newLineCall(c)
	l.asking = maxAskers // It isn't its turn.
	l.line.Arrive(g.now(), &w.Waiter)
	g.join(l, w, false)
	is.Equal(w.Regions, pimentoload.RegionSet(3))
	storeHomes(g, "b")
	moved := g.table.Load().Config
	g.table.Store(table)
	g.cluster.records[configKey] = pimentoroute.Record{Config: moved}
	g.rebuildTable(table)
	is.Equal(w.Regions, pimentoload.RegionSet(2))
}
