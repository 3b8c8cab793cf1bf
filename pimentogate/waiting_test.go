package pimentogate

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// lineGate returns a gate with two routes of different priority that share a service.
func lineGate(t *testing.T) (*Gate, *pimentoroute.Table) {
	t.Helper()
	s := DefaultSettings()
	g, cleanUp, err := New(s, PlatformAdapter{}, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	parts := []pimentoroute.SplitService{{Service: "s", Weight: 1}}
	cfg := &pimentoroute.Config{Routes: []*pimentoroute.Route{
		{Name: "urgent", Parts: parts, Priority: 0, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second},
		{Name: "other", Parts: parts, Priority: 1, Objective: 400 * time.Millisecond, Timeout: 2 * time.Second},
	}}
	table := pimentoroute.Build([]pimentoroute.Record{{Config: cfg}}, nil)
	g.table.Store(table)
	return g, table
}

// lineTestCall returns a call that comes now.
func lineTestCall(table *pimentoroute.Table, route int, caller string) *call {
	c := newCall(new(fasthttp.Request), &Dialect{}, caller, time.Now())
	c.table, c.service = table, &pimentoroute.Service{Name: "s"}
	c.setRoute(table.Config.Routes[route])
	return c
}

// Whatever becomes of calls in a line, each ends within its limit, and nothing of it stays:
// callers leave, targets have room or not, and turns meet limits.
func TestLineOfCalls(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	const calls = 400
	var wg sync.WaitGroup
	var sent, refused atomic.Int64
	for i := range calls {
		c := lineTestCall(table, i%2, fmt.Sprint(i%7))
		if i%10 == 0 {
			time.AfterFunc(time.Duration(rand.IntN(200))*time.Millisecond, c.abandon)
		}
		wg.Go(func() {
			l := g.lineOf(c)
			w, asks := g.arrive(l, c)
			for {
				if !asks {
					if turn := g.awaitTurn(l, w); turn.why != reasonNone {
						refused.Add(1)
						return
					}
				}
				asks = false
				time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
				if rand.IntN(3) == 0 {
					sent.Add(1)
					g.endTurn(l, w, true)
					return
				}
				if time.Since(c.received) > time.Second {
					g.endTurn(l, w, false)
					return
				}
				g.rejoin(l, w, nil)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("calls still wait")
	}
	l := g.lines["s"]
	is.Equal(l.line.Length(), 0)
	is.Equal(len(l.waiting), 0)
	is.Equal(l.asking, 0)
	is.True(sent.Load() > 0)
	t.Logf("%d sent, %d refused", sent.Load(), refused.Load())
}

// Calls wait in a line only where the configuration calls for it.
func TestLineOnlyWhereShared(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	is.True(g.lineOf(lineTestCall(table, 0, "a")) != nil)
	table.Config.Routes[1].Priority = 0
	g.table.Store(pimentoroute.Build([]pimentoroute.Record{{Config: table.Config}}, nil))
	is.True(g.lineOf(lineTestCall(table, 0, "a")) == nil)
}

// While one call looks for a target, others of its rank and below wait and don't ask, too.
func TestOneAsksForAll(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	first := lineTestCall(table, 0, "a")
	l := g.lineOf(first)
	w, asks := g.arrive(l, first)
	is.True(asks)
	g.rejoin(l, w, nil) // There was no room.
	for i := range 5 {
		_, asks := g.arrive(l, lineTestCall(table, 1, fmt.Sprint(i)))
		is.True(!asks)
	}
	is.Equal(l.asking, 0)
	is.Equal(l.line.Length(), 6)
	turn := g.awaitTurn(l, w) // After the pause.
	is.Equal(turn, lineTurn{})
}

func TestPeerBacklogs(t *testing.T) {
	is := is.New(t)
	var p peerBacklogs
	b := func(waiting, rate float64, age time.Duration) []serviceBacklog {
		return []serviceBacklog{{"s", pimentoload.Backlog{Waiting: waiting, Rate: rate}, age}}
	}
	p.set(0, "a", b(3, 10, 0))
	p.set(0, "b", b(1, 5, time.Second))
	p.set(0, "a", b(4, 10, 0)) // Replaces the first.
	is.Equal(p.of(0, "s"), pimentoload.Backlog{Waiting: 5, Rate: 15})
	is.Equal(p.of(0, "t"), pimentoload.Backlog{})
	is.Equal(p.of(1500*time.Millisecond, "s"), pimentoload.Backlog{Waiting: 4, Rate: 10}) // The other is too old.
	is.Equal(p.of(backlogMemory+1, "s"), pimentoload.Backlog{})
	p.set(time.Second, "a", nil)
	is.Equal(p.of(time.Second, "s"), pimentoload.Backlog{Waiting: 1, Rate: 5})
	for i := range 2 * maxBacklogEntries {
		p.set(2*time.Second, pimentotarget.EntryName(fmt.Sprint(i)), b(1, 1, 0))
	}
	is.True(len(p.entries) <= maxBacklogEntries)
	p.set(10*time.Second, "c", b(1, 1, 0))
	is.Equal(len(p.entries), 1)
}

// A message has no backlogs without a line that knows its rate, and few of them, so that it
// stays small.
func TestBacklogsOfMessage(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	is.Equal(len(g.ownBacklogs()), 0)
	l := g.lineOf(lineTestCall(table, 0, "a"))
	now := g.now()
	for i := range 40 {
		c := lineTestCall(table, 0, "a")
		w := g.newLineCall(c)
		l.line.Arrive(now, &w.Waiter)
		at := now + time.Duration(i)*20*time.Millisecond
		if i == 0 {
			l.line.Join(at, &w.Waiter)
			continue
		}
		l.line.Claim(at, &w.Waiter)
		l.line.Ended(at, &w.Waiter, true)
	}
	g.startedAt = g.startedAt.Add(-800 * time.Millisecond)
	list := g.ownBacklogs()
	is.Equal(len(list), 1)
	is.Equal(list[0].Waiting, 1.0)
	is.True(list[0].Rate > 40 && list[0].Rate < 60)
	empty := (&syncMessage{sender: pimentopeer.Member{Name: "a"}}).marshal()
	full := (&syncMessage{sender: pimentopeer.Member{Name: "a"}, backlogs: list}).marshal()
	is.True(len(full)-len(empty) <= 16)
}

// A target that the first in line can't use goes to the next that can, and to nobody whose
// home regions don't allow it.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	cand := &candidate{target: &pimentoroute.Target{ID: "t", Region: "r", Slots: 6}, report: LoadReport{Slots: 6, Healthy: true, Slowdown: 100}}
	first, second := lineTestCall(table, 0, "a"), lineTestCall(table, 1, "b")
	first.tried = []pimentoroute.TargetID{"t"}
	l := g.lineOf(first)
	for _, c := range []*call{first, second} {
		c.waiter = g.newLineCall(c)
		l.waiting[&c.waiter.Waiter] = c.waiter
		l.line.Arrive(g.now(), &c.waiter.Waiter)
		l.line.Join(g.now(), &c.waiter.Waiter)
	}
	is.Equal(g.findTaker(l, cand), second.waiter)
	is.Equal(g.findTaker(l, nil), nil)
	second.organisation = &pimentoroute.Organisation{Homes: []pimentoregister.RegionName{"other"}}
	is.Equal(g.findTaker(l, cand), nil)
	second.organisation = nil
	asker := lineTestCall(table, 0, "c")
	asker.waiter = g.newLineCall(asker)
	l.line.Arrive(g.now(), &asker.waiter.Waiter)
	l.line.Claim(g.now(), &asker.waiter.Waiter)
	g.rejoin(l, asker.waiter, cand)
	is.Equal(g.awaitTurn(l, second.waiter).offer, cand)
	is.Equal(l.asking, maxAskers) // The others ask again: there was room a moment ago.
}

// A request that gets a target doesn't let the others look for targets without a pause
// afterwards.
func TestPauseAfterSend(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	first, second, sent := lineTestCall(table, 0, "a"), lineTestCall(table, 0, "b"), lineTestCall(table, 0, "c")
	l := g.lineOf(first)
	var waiters []*lineCall
	for _, c := range []*call{first, second, sent} {
		w, asks := g.arrive(l, c)
		is.True(asks)
		waiters = append(waiters, w)
	}
	g.rejoin(l, waiters[0], nil) // Begins a pause.
	g.endTurn(l, waiters[2], true)
	g.rejoin(l, waiters[1], nil) // There is no room again.
	l.mu.Lock()
	defer l.mu.Unlock()
	is.Equal(l.asking, 0)
	is.True(l.pause >= firstWait)
	is.True(l.line.Length() == 2)
}

// An offer is compared with a waiting request while that gets its turn and is sent.
func TestHandOverDuringSend(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	cand := &candidate{target: &pimentoroute.Target{ID: "t", Region: "r", Slots: 6}, report: LoadReport{Slots: 6, Healthy: true, Slowdown: 100}}
	for range 200 {
		c := lineTestCall(table, 0, "a")
		c.tried = make([]pimentoroute.TargetID, 1, 4)
		l := g.lineOf(c)
		w, asks := g.arrive(l, c)
		is.True(asks)
		g.rejoin(l, w, nil)
		var wg sync.WaitGroup
		var stop atomic.Bool
		wg.Go(func() {
			for !stop.Load() {
				g.findTaker(l, cand)
			}
		})
		time.Sleep(100 * time.Microsecond)
		l.mu.Lock()
		if _, waits := l.waiting[&w.Waiter]; waits {
			l.line.Claim(g.now(), &w.Waiter)
			l.giveTurn(&w.Waiter, nil)
		}
		l.mu.Unlock()
		is.Equal(<-w.turn, lineTurn{})
		c.tried = append(c.tried, "t")
		stop.Store(true)
		wg.Wait()
		g.endTurn(l, w, true)
	}
}

// Only so many backlogs of a received message are kept as an entry sends.
func TestReceivedBacklogsAreBounded(t *testing.T) {
	is := is.New(t)
	sent := &syncMessage{sender: pimentopeer.Member{Name: "a"}, backlogs: make([]serviceBacklog, 1000)}
	got, err := unmarshalSyncMessage(sent.marshal())
	is.NoErr(err)
	is.Equal(len(got.backlogs), maxBacklogs)
}

// Requests that wait at the cut-off of a planned stop are refused as such at once, and leave
// the line.
func TestStopWithLine(t *testing.T) {
	is := is.New(t)
	g, table := lineGate(t)
	var waiters []*lineCall
	l := g.lineOf(lineTestCall(table, 0, "a"))
	for i := range 10 {
		w, asks := g.arrive(l, lineTestCall(table, i%2, fmt.Sprint(i)))
		if asks {
			g.rejoin(l, w, nil)
		}
		waiters = append(waiters, w)
	}
	l.mu.Lock()
	l.line.Pause(g.now(), 0, pimentoload.AllRegions, time.Hour) // Nobody gets a turn.
	l.mu.Unlock()
	close(g.cutoffReached)
	for _, w := range waiters {
		is.Equal(g.awaitTurn(l, w), lineTurn{why: reasonStopping})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	is.Equal(l.line.Length(), 0)
	is.Equal(len(l.waiting), 0)
	is.Equal(l.asking, 0)
}
