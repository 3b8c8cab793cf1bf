package pimentogate

import (
	"sync"
	"time"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// quotas holds this entry's part of the quotas of organisations.
type quotas struct {
	bootedAt time.Duration // bootTime at the start, 0 where there is no such clock.
	// limited is closed when an organisation has a limit for the first time.
	limited     chan struct{}
	onceLimited sync.Once
	asking      chan struct{} // Receives when the hub is to be asked at once.

	mu      sync.Mutex // Guards the fields below.
	ledger  pimentoquota.Ledger
	chooser pimentoquota.Chooser
	// arrived is closed and replaced when tokens or a refusal have arrived.
	arrived chan struct{}
	waiting int
	parent  pimentotarget.EntryName // The hub that was asked last.
}

// heldToken is a token that wasn't spent yet.
type heldToken struct {
	name  pimentoregister.OrganisationName
	token pimentoquota.Token
}

func (q *quotas) init(s *Settings, run uint64) {
	q.bootedAt = bootTime()
	q.limited, q.arrived = make(chan struct{}), make(chan struct{})
	q.asking = make(chan struct{}, 1)
	q.ledger = pimentoquota.Ledger{
		Bounds: pimentoquota.Bounds{Window: time.Duration(s.LimitWindow), Overshoot: s.LimitOvershoot, Slack: s.LimitSlack},
		Run:    run, Alone: true, HeadStart: true,
	}
}

// quotaNow returns the time since the start, suspensions of the machine included: tokens
// get old in them too.
func (g *Gate) quotaNow() time.Duration {
	if boot := bootTime(); boot > 0 && g.quotas.bootedAt > 0 {
		return boot - g.quotas.bootedAt
	}
	return g.now()
}

// limitOrganisations applies the limits of a table.
func (g *Gate) limitOrganisations(t *pimentoroute.Table) {
	if t.Config == nil {
		return
	}
	limits := make(map[pimentoregister.OrganisationName]pimentoquota.Limit)
	for name, o := range t.Config.Organisations {
		if o.Rate > 0 {
			limits[name] = pimentoquota.Limit{Rate: o.Rate, Burst: o.Burst}
		}
	}
	q := &g.quotas
	now := g.quotaNow()
	q.mu.Lock()
	q.ledger.SetEntries(now, g.quotaEntries(t))
	q.ledger.SetLimits(now, limits)
	q.mu.Unlock()
	if len(limits) > 0 {
		q.onceLimited.Do(func() { close(q.limited) })
	}
}

// quotaEntries returns the number of entries by which rates are divided. Before the size of
// the fleet is known, it is the number of members that were met, or else the fleet is taken
// to be no larger than the number of targets.
func (g *Gate) quotaEntries(t *pimentoroute.Table) int {
	if n := max(g.clusterSize.Load(), g.earlySize.Load()); n > 0 {
		return int(n)
	}
	return t.TargetCount()
}

// takeQuota makes the call hold a token for its next send, if there is one at the moment and
// its organisation has a limit.
func (g *Gate) takeQuota(c *call) pimentoquota.Verdict {
	if c.organisation == nil || c.organisation.Rate <= 0 {
		return pimentoquota.Unlimited
	}
	q, name := &g.quotas, c.organisation.Name
	now := g.quotaNow()
	held := c.quota.Swap(nil)
	q.mu.Lock()
	defer q.mu.Unlock()
	if held != nil {
		if held.name == name && q.ledger.Fresh(now, name, held.token) {
			c.quota.Store(held)
			return pimentoquota.Granted
		}
		q.ledger.Return(now, held.name, held.token) // It is too old, or another's.
	}
	token, verdict := q.ledger.Take(now, name)
	switch verdict {
	case pimentoquota.Granted:
		c.quota.Store(&heldToken{name, token})
		g.metrics.count("pimento_quota_granted_total")
	case pimentoquota.Wait:
		q.askSoon()
	}
	return verdict
}

const (
	// quotaWaitFraction is the fraction of a route's objective for which a request waits
	// for a token, and maxQuotaWait bounds that time. startWaitFraction and maxStartWait
	// apply to an entry that has just started and doesn't know the fleet yet.
	quotaWaitFraction = 0.3
	maxQuotaWait      = 500 * time.Millisecond
	startWaitFraction = 0.5
	maxStartWait      = time.Second
)

// quotaStarting reports whether this entry is still to find the fleet.
func (g *Gate) quotaStarting() bool {
	now := g.quotaNow()
	q := &g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Starting(now)
}

// quotaWait returns the time for which a request of a route waits for a token.
func (g *Gate) quotaWait(r *pimentoroute.Route) time.Duration {
	if g.quotaStarting() {
		return min(time.Duration(startWaitFraction*float64(r.Objective)), maxStartWait)
	}
	return min(time.Duration(quotaWaitFraction*float64(r.Objective)), maxQuotaWait)
}

// awaitQuota makes the call hold a token for its next send. It waits for one that may come
// from the hub. It returns why there is none, or reasonNone.
func (g *Gate) awaitQuota(c *call) reason {
	q := &g.quotas
	var limit <-chan time.Time
	for {
		arrived, done := q.await()
		switch g.takeQuota(c) {
		case pimentoquota.Unlimited, pimentoquota.Granted:
			done()
			return reasonNone
		case pimentoquota.Denied:
			done()
			return reasonQuota
		}
		if limit == nil {
			timer := time.NewTimer(min(g.quotaWait(c.route), time.Until(c.deadline)))
			defer timer.Stop()
			limit = timer.C
		}
		select {
		case <-arrived:
			done()
		case <-limit:
			done()
			g.metrics.count("pimento_quota_waits_failed_total")
			return reasonQuota
		case <-c.done:
			done()
			return reasonCallerGone
		}
	}
}

// await returns a channel that is closed when tokens or a refusal arrive, and a function to
// call when that is no longer waited for.
func (q *quotas) await() (<-chan struct{}, func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting++
	return q.arrived, func() {
		q.mu.Lock()
		q.waiting--
		q.mu.Unlock()
	}
}

// wake wakes the requests that wait. It is called with mu held.
func (q *quotas) wake() {
	if q.waiting > 0 {
		close(q.arrived)
		q.arrived = make(chan struct{})
	}
}

// askSoon wakes the loop that asks the hub.
func (q *quotas) askSoon() {
	select {
	case q.asking <- struct{}{}:
	default:
	}
}

// refuseQuota refuses a request for which there is no token.
func (g *Gate) refuseQuota(c *call) *response {
	now := g.quotaNow()
	q := &g.quotas
	q.mu.Lock()
	after := q.ledger.Refuse(now, c.organisation.Name)
	q.mu.Unlock()
	g.metrics.count("pimento_quota_denied_total")
	return g.refusal(c, reasonQuota, after)
}

// dropQuota gives back the token of a call that doesn't need it, if it holds one.
func (g *Gate) dropQuota(c *call) {
	if c == nil {
		return
	}
	if held := c.quota.Swap(nil); held != nil {
		g.returnQuota(held)
	}
}

func (g *Gate) returnQuota(held *heldToken) {
	g.metrics.count("pimento_quota_returned_total")
	now := g.quotaNow()
	q := &g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Return(now, held.name, held.token)
}

// regainQuota gives the token of a send that surely didn't run back to its call.
func (g *Gate) regainQuota(c *call, s *send) {
	held := s.quota
	s.quota = nil
	if held != nil && !c.quota.CompareAndSwap(nil, held) {
		g.returnQuota(held)
	}
}
