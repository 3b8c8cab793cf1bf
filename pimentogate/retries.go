package pimentogate

import (
	"fmt"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
)

// retryShare is this entry's share of a service's retry limit, and what became of it.
type retryShare struct {
	pimentoretry.Allowance
	spent, denied uint64 // Retries since the start.
}

// RetryStatus is this entry's share of the retry limit of one service.
type RetryStatus struct {
	// Spent and Denied count the retries, hedges included, that were taken from the share
	// and that it didn't allow, since the start.
	Spent  uint64 `json:"spent"`
	Denied uint64 `json:"denied"`
	// Left is the number of retries that are left, and Fixed the number per window that
	// need no requests, 0 while it is unknown.
	Left  float64 `json:"left"`
	Fixed float64 `json:"fixed"`
}

// spendRetry takes one retry from this entry's share for a service.
func (g *Gate) spendRetry(c *call) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	a := g.retryAllowance(c.serviceName())
	if !a.Spend(g.now()) {
		a.denied++
		return false
	}
	a.spent++
	return true
}

// hasRetry reports whether the budget of the request's service has a retry left.
func (g *Gate) hasRetry(c *call) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return g.retryAllowance(c.serviceName()).Left(g.now()) >= 1
}

// returnRetry gives back a retry that wasn't sent.
func (g *Gate) returnRetry(c *call) {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	a := g.retryAllowance(c.serviceName())
	a.Refund()
	a.spent--
}

// retryLimitFraction is the fraction of the retry limit that is used, because member
// lists of entries may differ.
const retryLimitFraction = 0.75

// retryAllowance returns this entry's share of a service's retry limit. It is
// called with trafficStats.mu held.
func (g *Gate) retryAllowance(s pimentoregister.ServiceName) *retryShare {
	ts := &g.traffic
	if ts.retries == nil {
		ts.retries = make(map[pimentoregister.ServiceName]*retryShare)
	}
	a := ts.retries[s]
	if a == nil {
		a = &retryShare{Allowance: pimentoretry.Allowance{
			Ratio: g.settings.RetryRatio * retryLimitFraction, Window: time.Duration(g.settings.RetryWindow),
			NoAdvance: g.advanceDraw >= advanceFraction(g.settings.RetryBase, g.table.Load().TargetCount()),
		}}
		ts.retries[s] = a
		g.addRetryGauges(s)
	}
	a.Fixed = 0
	if n := int(g.clusterSize.Load()); n > 0 {
		a.Fixed = g.settings.RetryBase * retryLimitFraction / float64(n)
	}
	return a
}

// advanceFraction returns the fraction of entries that may send a retry before they know
// the size of the fleet, so that the advances of a fleet that starts again as a whole stay
// within half of the limit that is used. It takes the fleet to be no larger than the number
// of targets.
func advanceFraction(base float64, targets int) float64 {
	if base == 0 {
		return 1
	}
	return base * retryLimitFraction / 2 / float64(max(1, targets))
}

// retryStatus returns the shares of all services. It is called with trafficStats.mu held.
func (g *Gate) retryStatus() map[pimentoregister.ServiceName]RetryStatus {
	all := make(map[pimentoregister.ServiceName]RetryStatus, len(g.traffic.retries))
	for name, a := range g.traffic.retries {
		all[name] = RetryStatus{Spent: a.spent, Denied: a.denied, Left: a.Left(g.now()), Fixed: a.Fixed}
	}
	return all
}

// addRetryGauges registers the gauges of one service's share. It is called with
// trafficStats.mu held, the gauges' own functions without it.
func (g *Gate) addRetryGauges(s pimentoregister.ServiceName) {
	if len(g.traffic.retries) > maxRetryGauges {
		return
	}
	gauge := func(name string, value func(*retryShare) float64) {
		g.metrics.set.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q}`, name, string(s)), func() float64 {
			g.traffic.mu.Lock()
			defer g.traffic.mu.Unlock()
			return value(g.retryAllowance(s))
		})
	}
	gauge("pimento_retries_spent", func(a *retryShare) float64 { return float64(a.spent) })
	gauge("pimento_retries_denied", func(a *retryShare) float64 { return float64(a.denied) })
	gauge("pimento_retries_left", func(a *retryShare) float64 { return a.Left(g.now()) })
	gauge("pimento_retries_fixed", func(a *retryShare) float64 { return a.Fixed })
}

// maxRetryGauges bounds the services that have gauges of their own.
const maxRetryGauges = 512

// retryFields returns log fields with this entry's share of the retries for a request
// that could not be retried.
func (g *Gate) retryFields(c *call) []any {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	a := g.retryAllowance(c.serviceName())
	return []any{"retries_left", fmt.Sprintf("%.2f", a.Left(g.now())), "retries_fixed", fmt.Sprintf("%.2f", a.Fixed),
		"retries_spent", a.spent, "entries", g.clusterSize.Load(), "up_ms", g.now().Milliseconds()}
}
