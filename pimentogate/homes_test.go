package pimentogate

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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
