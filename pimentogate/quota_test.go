package pimentogate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// newQuotaGate returns a gate that is the only entry, where the organisation choir has a
// limit and opera has none, and the sum of its tokens is fixed.
func newQuotaGate(tokens int) *Gate {
	g := &Gate{metrics: newGateMetrics(), startedAt: time.Now().Add(-time.Hour)}
	s := DefaultSettings()
	g.quotas.init(&s, 1)
	g.quotas.bootedAt -= time.Hour
	l := &g.quotas.ledger
	now := g.quotaNow()
	l.SetEntries(now, 1)
	l.SetLimits(now, map[pimentoregister.OrganisationName]pimentoquota.Limit{"choir": {Rate: 10, Burst: float64(tokens)}})
	l.Status(now, "choir")
	l.SetEntries(now, 0) // No more are minted.
	for {
		if s, _ := l.Status(now, "choir"); s.Held < float64(tokens)+1 {
			return g
		}
		l.Take(now, "choir")
	}
}

func (g *Gate) heldTokens() int {
	s, _ := g.quotas.ledger.Status(g.quotaNow(), "choir")
	return int(s.Held + 1e-6)
}

// A token comes back from a request that isn't sent, and from a send that surely didn't run.
func TestTokenComesBack(t *testing.T) {
	is := is.New(t)
	g := newQuotaGate(3)
	choir := &call{organisation: &pimentoroute.Organisation{Name: "choir", Rate: 10}, route: &pimentoroute.Route{Objective: time.Millisecond}, deadline: time.Now().Add(time.Second)}
	is.Equal(g.takeQuota(choir), pimentoquota.Granted)
	is.Equal(g.takeQuota(choir), pimentoquota.Granted) // It holds one already.
	is.Equal(g.heldTokens(), 2)
	g.dropQuota(choir)
	is.Equal(g.heldTokens(), 3)

	is.Equal(g.awaitQuota(choir), reasonNone)
	s := &send{quota: choir.quota.Swap(nil)}
	is.Equal(g.takeQuota(choir), pimentoquota.Granted) // For a hedge.
	is.Equal(g.heldTokens(), 1)
	g.regainQuota(choir, s) // The hedge's token is held, so that this one goes back.
	g.regainQuota(choir, s)
	is.Equal(g.heldTokens(), 2)
	is.True(choir.quota.Load() != nil)
}

// Each send takes a token, and without one a request is refused after a short wait. A request
// of an organisation without a limit, or of none, needs none.
func TestSendsTakeTokens(t *testing.T) {
	is := is.New(t)
	g := newQuotaGate(2)
	choir := &call{organisation: &pimentoroute.Organisation{Name: "choir", Rate: 10}, route: &pimentoroute.Route{Objective: time.Millisecond}, deadline: time.Now().Add(time.Second)}
	for range 2 {
		is.Equal(g.awaitQuota(choir), reasonNone)
		choir.quota.Store(nil) // It is sent.
	}
	is.Equal(g.awaitQuota(choir), reasonQuota)
	is.Equal(g.takeQuota(&call{organisation: &pimentoroute.Organisation{Name: "opera"}}), pimentoquota.Unlimited)
	is.Equal(g.takeQuota(&call{}), pimentoquota.Unlimited)
	resp := g.refuseQuota(choir)
	is.Equal(resp.http.StatusCode(), 429)
	is.True(len(resp.http.Header.Peek("Retry-After")) > 0)
	choir.mayHaveRun = true
	is.Equal(g.refuseQuota(choir).http.StatusCode(), 502) // 429 would say that it hasn't run.
}

// While an entry is still to find the fleet, a request waits for a token longer than later,
// each time up to a bound.
func TestQuotaWait(t *testing.T) {
	is := is.New(t)
	g := newQuotaGate(1)
	route := &pimentoroute.Route{Objective: time.Second}
	is.Equal(g.quotaWait(route), 500*time.Millisecond)
	is.Equal(g.quotaWait(&pimentoroute.Route{Objective: time.Minute}), maxStartWait)
	g.quotas.bootedAt -= pimentoquota.StartTime
	g.startedAt = g.startedAt.Add(-pimentoquota.StartTime)
	is.Equal(g.quotaWait(route), 300*time.Millisecond)
	is.Equal(g.quotaWait(&pimentoroute.Route{Objective: time.Minute}), maxQuotaWait)
}
