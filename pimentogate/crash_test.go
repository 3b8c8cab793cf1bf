package pimentogate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

// copyOfRequest returns one more copy of the same request.
func copyOfRequest() *call {
	c := &call{req: new(fasthttp.Request), callerIP: "10.9.0.1", id: "x"}
	c.req.SetRequestURI("/read/crash")
	return c
}

// crashTargets records that copies of the request crashed n targets.
func crashTargets(g *Gate, n int) {
	c := copyOfRequest()
	c.fingerprint = c.computeFingerprint()
	for i := range n {
		g.recordCrash(c, &pimentoroute.Target{ID: pimentoroute.TargetID([]string{"i-1", "i-2", "i-3"}[i])})
	}
}

// syncWith makes an entry exchange sync messages with a peer.
func (g *Gate) syncWith(peer *Gate) bool {
	return (&peerSync{gate: g, address: "peer"}).syncOnce(peer.handleSync)
}

// An entry that starts, or is heard again, long after a request has crashed targets
// refuses that request as well.
func TestLateEntryLearnsOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := gateInRegion(t, 1, 0)
		crashTargets(g, pimentoretry.MaxCrashes)
		is.True(!g.passesQuarantine(copyOfRequest()))
		for range 600 {
			time.Sleep(clusterTick)
			g.updateMembership()
		}
		late := gateInRegion(t, 2, 0)
		is.True(late.syncWith(g))
		is.True(!late.passesQuarantine(copyOfRequest()))
		later := gateInRegion(t, 3, 0)
		is.True(late.syncWith(later))
		is.True(!later.passesQuarantine(copyOfRequest()))
	})
}

// A target that was leaving and is gone after its response wasn't crashed by the request.
func TestLeavingTargetIsNoCrash(t *testing.T) {
	is := is.New(t)
	g := gateInRegion(t, 1, 0)
	c := copyOfRequest()
	c.fingerprint = c.computeFingerprint()
	tg := &pimentoroute.Target{ID: "i-1"}
	gone := &send{candidate: &candidate{target: tg}, outcome: outcomeIncomplete, end: endGone}
	g.recordNotice(tg, c.id, new(fasthttp.Response), Notice{Leaving: true})
	g.checkCrash(c, gone)
	is.Equal(g.crashCount(c), 0)
	other := &pimentoroute.Target{ID: "i-2"}
	gone.candidate = &candidate{target: other}
	g.checkCrash(c, gone)
	is.Equal(g.crashCount(c), 1)
}
