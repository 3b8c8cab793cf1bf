package pimentogate

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// longQueue is a report of a target that may be full.
var longQueue = LoadReport{Healthy: true, Running: 3, Waiting: 6, Slots: 3, Slowdown: 100}

// A request to a target that is silent is answered before its caller gives up once such targets were
// seen, and at the deadline otherwise. A target is given a round trip less then, and otherwise not,
// however long its queue is.
func TestAnswerBeforeCallerGivesUp(t *testing.T) {
	for _, seen := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{}}, requests: []behaviour{{Reply: replyNever}}}}
			g, cleanup := pipeGate(t, targets)
			defer cleanup()
			c, candidates := newRaceCall(g, 1)
			c.callerDeadline = c.received.Add(time.Second)
			c.deadline = c.callerDeadline
			want := time.Second
			far := &candidate{target: candidates[0].target, report: longQueue}
			is.True(g.roundTrip(far.target) > 0)
			given := want
			if seen {
				g.traffic.service("s").queue.SawSilent(g.now(), 6)
				want -= answerMargin
				given = want - g.roundTrip(far.target)
			}
			is.Equal(g.targetTime(c, far), given)
			began := time.Now()
			s := g.sendHedged(c, candidates[0])
			is.Equal(s.outcome, outcomeTimeout)
			is.Equal(time.Since(began), want)
			time.Sleep(time.Second)
			targets[0].closeAll()
			g.client.CloseAllIdle()
			synctest.Wait()
		})
	}
}

// The target of an overdue send is asked only if its queue was long, by reports that were made
// anyway, or if such targets were seen silent: other deployments get no probes of this kind.
func TestOverdueSendsAskOnlyLongQueues(t *testing.T) {
	short := LoadReport{Healthy: true, Running: 3, Waiting: 1, Slots: 3, Slowdown: 100}
	for _, tt := range []struct {
		chosen, beside LoadReport
		seen, asks     bool
	}{
		{chosen: short, beside: short},
		{chosen: short, beside: short, seen: true, asks: true},
		{chosen: longQueue, beside: short, asks: true},
		{chosen: short, beside: longQueue, asks: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{}}, requests: []behaviour{{Reply: replyNever}}}}
			g, cleanup := pipeGate(t, targets)
			defer cleanup()
			c, candidates := newRaceCall(g, 1)
			c.deadline = time.Now().Add(2 * time.Second)
			c.route.Attempts = 1 // No hedge, which asks as well.
			first := candidates[0]
			first.report, first.expected = tt.chosen, 100*time.Millisecond
			if tt.seen {
				g.traffic.service("s").queue.SawSilent(g.now(), 6)
			}
			time.AfterFunc(50*time.Millisecond, func() {
				g.traffic.mu.Lock()
				defer g.traffic.mu.Unlock()
				s := g.traffic.target("i-0")
				s.report, s.reportedAt, s.hasReport = tt.beside, g.now(), true
			})
			g.sendHedged(c, first)
			targets[0].mu.Lock()
			asked := targets[0].probed // Before the target is probed for a crash.
			targets[0].mu.Unlock()
			is.Equal(asked > 0, tt.asks)
			time.Sleep(time.Second)
			targets[0].closeAll()
			g.client.CloseAllIdle()
			synctest.Wait()
		})
	}
}

// A response that comes although it was long overdue ends the suspicion that its target was silent,
// which other entries aren't told of.
func TestLateResponseEndsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{}}, requests: []behaviour{{Millis: 250}}}}
		g, cleanup := pipeGate(t, targets)
		defer cleanup()
		c, candidates := newRaceCall(g, 1)
		c.deadline = time.Now().Add(2 * time.Second)
		c.route.Attempts = 1
		c.req.Header.SetMethod("POST")
		first := candidates[0]
		first.report, first.expected = longQueue, 100*time.Millisecond
		time.AfterFunc(240*time.Millisecond, func() {
			is.True(g.isSilent(c))
			is.Equal(len(g.silences()), 0)
		})
		is.Equal(g.sendHedged(c, first).outcome, outcomeResponse)
		is.True(!g.isSilent(c))
		time.Sleep(time.Second) // Probes end.
		targets[0].closeAll()
		g.client.CloseAllIdle()
		synctest.Wait()
	})
}

// An idempotent request that its target should have run long ago is given up only if it may be sent
// elsewhere.
func TestLastAttemptIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cleanup := pipeGate(t, []*pipeTarget{{id: "i-0"}})
		defer cleanup()
		c, candidates := newRaceCall(g, 1)
		w, stop := newWatch(c.route.Objective)
		defer stop()
		s := g.newSend(c, candidates[0])
		s.candidate.report = longQueue
		g.addWatched(c, w, s)
		r := &watchReport{send: s, asked: time.Second, arrived: time.Second, report: LoadReport{Running: 3, Slots: 3, Slowdown: 100}}
		is.True(!w.isGone(r, true))
		time.Sleep(time.Minute)
		is.True(!w.isGone(r, false))
		is.True(w.isGone(r, true))
		is.True(g.hasRetry(c))
		for g.spendRetry(c) {
			c.sends++ // The budget is spent.
		}
		is.True(!g.hasRetry(c))
	})
}

// A report that another request asked for before a send was delivered says nothing about the send,
// also if it arrives later. One from a question of its own does.
func TestReportFromBeforeDelivery(t *testing.T) {
	const delay = 100 // Milliseconds.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{Millis: delay}}, requests: []behaviour{{}}}}
		g, cleanup := pipeGate(t, targets)
		defer cleanup()
		c, candidates := newRaceCall(g, 1)
		tg := candidates[0].target
		targets[0].probes = []behaviour{{Millis: delay}}
		other := make(chan *candidate)
		time.Sleep(time.Second)
		go func() { other <- g.probeTarget(c, tg) }()
		time.Sleep(delay / 2 * time.Millisecond)
		s := g.newSend(c, &candidate{target: tg, report: longQueue})
		beside := make(chan *watchReport)
		go func() { beside <- g.askBeside(c, s, time.Millisecond) }()
		shared := <-other
		is.NoErr(shared.err)
		shared.release()
		is.Equal(<-beside, nil)
		time.Sleep(time.Second)
		r := g.askBeside(c, s, time.Millisecond)
		is.True(r != nil)
		is.Equal(r.asked, time.Since(s.started)-delay*time.Millisecond)
		targets[0].closeAll()
		g.client.CloseAllIdle()
		synctest.Wait()
	})
}

// What an entry has learned of silent targets reaches others, for services that they serve.
func TestSilenceIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		seen := gateInRegion(t, 1, 0)
		seen.traffic.service("s").queue.SawSilent(seen.now(), 24)
		seen.traffic.service("other").queue.SawSilent(seen.now(), 24)
		told, cleanup := pipeGate(t, nil)
		defer cleanup()
		is.True(told.syncWith(seen))
		is.Equal(told.traffic.service("s").queue.Length(told.now()), 24)
		is.Equal(told.traffic.services["other"], nil)
		is.Equal(len(told.silences()), 1)
	})
}

// A target that didn't respond while its queue was long, and couldn't be probed meanwhile, hasn't
// crashed if it replies now and such targets were seen silent. Otherwise it has.
func TestSilenceIsNoCrash(t *testing.T) {
	for _, given := range [][2]bool{{true, true}, {true, false}, {false, true}, {false, false}} {
		sawLong, seen := given[0], given[1]
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{}, {}}}}
			g, cleanup := pipeGate(t, targets)
			defer cleanup()
			c, candidates := newRaceCall(g, 1)
			s := g.newSend(c, candidates[0])
			s.outcome, s.sawLong = outcomeTimeout, sawLong
			time.Sleep(time.Second)
			g.traffic.target("i-0").unreachableAt = g.now()
			if seen {
				g.traffic.service("s").queue.SawSilent(g.now(), 6)
			}
			is.Equal(g.checkCrash(c, s), sawLong && seen)
			is.Equal(g.crashCount(c) == 0, sawLong && seen)
			targets[0].closeAll()
			g.client.CloseAllIdle()
			synctest.Wait()
		})
	}
}

// A response that arrives isn't cut off, although its target runs nothing any more.
func TestLongResponseIsNotDropped(t *testing.T) {
	for _, kind := range []reply{replyLarge, replyNever} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			targets := []*pipeTarget{{id: "i-0", probes: []behaviour{{}}, requests: []behaviour{{Reply: kind}}}}
			g, cleanup := pipeGate(t, targets)
			defer cleanup()
			c, candidates := newRaceCall(g, 1)
			s := g.newSend(c, candidates[0])
			go g.runSend(c, s)
			synctest.Wait()
			g.dropSilent(c, s)
			synctest.Wait()
			is.Equal(s.outcome == outcomeResponse, kind == replyLarge)
			is.Equal(s.outcome == outcomeSilent, kind == replyNever)
			if kind == replyLarge {
				n, err := io.Copy(io.Discard, s.exchange.Resp.BodyStream())
				is.NoErr(err)
				is.Equal(n, int64(maxBufferedResponse+1))
			}
			s.close()
			targets[0].closeAll()
			g.client.CloseAllIdle()
			synctest.Wait()
		})
	}
}
