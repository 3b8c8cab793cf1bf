package pimentogate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// longQueue is a report of a target that may be full.
var longQueue = LoadReport{Healthy: true, Running: 3, Waiting: 6, Slots: 3, Slowdown: 100}

// A request to a target that is silent is answered before its caller gives up once such targets were
// seen, and at the deadline otherwise. A target with a long queue is given a round trip less.
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
			if seen {
				g.traffic.service("s").queue.SawSilent(g.now(), 6)
				want -= answerMargin
			}
			far := &candidate{target: candidates[0].target, report: longQueue}
			is.Equal(g.targetTime(c, far), want-g.roundTrip(far.target))
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
// crashed if it replies now. Without a long queue it has.
func TestSilenceIsNoCrash(t *testing.T) {
	for _, sawLong := range []bool{true, false} {
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
			is.Equal(g.checkCrash(c, s), sawLong)
			is.Equal(g.crashCount(c) == 0, sawLong)
			targets[0].closeAll()
			g.client.CloseAllIdle()
			synctest.Wait()
		})
	}
}
