package pimentogate

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// trafficStats is what this entry has learned from its own traffic.
type trafficStats struct {
	mu          sync.Mutex // Guards the fields below.
	splits      map[pimentoroute.RouteName]*pimentoroute.Split
	workByRoute map[pimentoroute.RouteName]*workStats
	targets     map[pimentoroute.TargetID]*targetState
	retries     map[pimentoregister.ServiceName]*pimentoretry.Allowance
	quarantine  pimentoretry.Quarantine
	// probes is this entry's share of the probes to all targets.
	probes pimentoretry.Allowance
	// fullQueues are the greatest lengths of fullQueues at which targets refused.
	fullQueues map[pimentoregister.ServiceName]int
	// refusalRates is how many of the sends to a service its targets refused lately.
	refusalRates map[pimentoregister.ServiceName]*movingRate
}

// workStats is the usual time that a target works on a route's requests, with none
// or some others beside them: running medians, which a few very slow answers
// don't move.
type workStats struct {
	alone, concurrent time.Duration
	meanBytes         float64 // The mean size of the answers.
}

const (
	// initialWorkShare is the part of the objective that the work takes until it was
	// measured, and besideFactor how many times longer it takes beside others.
	initialWorkShare = 0.38
	concurrentFactor = 1.25
	// medianStep is the part by which a median moves with each measurement.
	medianStep = 0.04
	// bytesWeight is the weight of one answer's size in the mean.
	bytesWeight = 0.1
	// minWork is the time below which an answer wasn't worked for.
	minWork = 10 * time.Millisecond
	// calmSlowdown is the stretch in percent up to which an answer counts as a
	// measurement of the work itself.
	calmSlowdown = 115
)

// routeWork returns what is known of a route's routeWork. It is called with mu held.
func (f *trafficStats) routeWork(r *pimentoroute.Route) *workStats {
	if f.workByRoute == nil {
		f.workByRoute = make(map[pimentoroute.RouteName]*workStats)
	}
	w := f.workByRoute[r.Name]
	if w == nil {
		first := time.Duration(initialWorkShare * float64(r.Objective))
		w = &workStats{alone: first, concurrent: time.Duration(concurrentFactor * float64(first))}
		f.workByRoute[r.Name] = w
	}
	return w
}

// targetState is what this entry has learned of one target.
type targetState struct {
	coldGate  pimentotarget.ColdGate
	coldUntil time.Duration
	// backoffUntil is set after a failure; the target is asked last until then.
	backoffUntil time.Duration
	// failureRate is the share of sends that failed lately, from 0 to 1.
	failureRate movingRate
	// inFlight counts this entry's requests that run there.
	inFlight int
	// report is the last one, where there is one, and sentSince counts this
	// entry's sends after it.
	report          LoadReport
	reportedAt      time.Duration
	hasReport       bool
	sentSinceReport int
	probing         *pendingProbe
}

const (
	// failureBackoff is the rest of a target that didn't answer, and shedRest of one
	// that had no room.
	failureBackoff = 500 * time.Millisecond
	refusalBackoff = 60 * time.Millisecond
	// failureWeight is the weight of one send in a target's share of failures.
	failureWeight = 0.25
)

const (
	// retryAfterBusy is when a caller may come back after a refusal for lack of
	// room, and comeBackLater while the service is overloaded.
	retryAfterBusy     = 120 * time.Millisecond
	retryAfterOverload = 400 * time.Millisecond
)

// target returns what is known of a target. It is called with mu held.
func (f *trafficStats) target(id pimentoroute.TargetID) *targetState {
	if f.targets == nil {
		f.targets = make(map[pimentoroute.TargetID]*targetState)
	}
	s := f.targets[id]
	if s == nil {
		s = new(targetState)
		f.targets[id] = s
	}
	return s
}

// prune drops what concerns targets and routes that are no longer published.
func (f *trafficStats) prune(t *pimentoroute.Table) {
	known := make(map[pimentoroute.TargetID]bool)
	for _, list := range t.Targets {
		for _, tg := range list {
			known[tg.ID] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.targets {
		if !known[id] && s.inFlight == 0 {
			delete(f.targets, id)
		}
	}
	for name := range f.refusalRates {
		if t.Targets[name] == nil {
			delete(f.refusalRates, name)
		}
	}
	for name := range f.fullQueues {
		if t.Targets[name] == nil {
			delete(f.fullQueues, name)
		}
	}
	if t.Config == nil {
		return
	}
	routes := make(map[pimentoroute.RouteName]bool)
	for _, r := range t.Config.Routes {
		routes[r.Name] = true
	}
	for name := range f.splits {
		if !routes[name] {
			delete(f.splits, name)
		}
	}
	for name := range f.workByRoute {
		if !routes[name] {
			delete(f.workByRoute, name)
		}
	}
}

// nextSplitService returns the service that the next request of a route goes to.
func (f *trafficStats) nextSplitService(r *pimentoroute.Route) *pimentoroute.Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.splits == nil {
		f.splits = make(map[pimentoroute.RouteName]*pimentoroute.Split)
	}
	s := f.splits[r.Name]
	if s == nil {
		s = new(pimentoroute.Split)
		s.Start(r.Parts, rand.IntN(100))
		f.splits[r.Name] = s
	}
	return s.Next(r.Parts)
}

// recordLatency takes the time of one answer of a target that wasn't disturbed when
// the request was sent, beside a number of others.
func (f *trafficStats) recordLatency(r *pimentoroute.Route, took time.Duration, others, bytes int) {
	if took < minWork {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.routeWork(r)
	w.meanBytes += bytesWeight * (float64(bytes) - w.meanBytes)
	median := &w.alone
	if others > 0 {
		median = &w.concurrent
	}
	step := time.Duration(medianStep * float64(*median))
	if took < *median {
		step = -step
	}
	*median += step
	w.concurrent = max(w.concurrent, w.alone)
}

// spendRetry takes one spendRetry from this entry's share for a service.
func (g *Gate) spendRetry(c *call) bool {
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.retryAllowance(c.serviceName()).Spend(g.now())
}

// returnRetry gives a repeat back that wasn't sent.
func (g *Gate) returnRetry(c *call) {
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	g.retryAllowance(c.serviceName()).Return()
}

// countRequest counts a request whose countRequest send is due.
func (g *Gate) countRequest(c *call) {
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	g.retryAllowance(c.serviceName()).First(g.now())
}

// retryShare is the part of the limit on repeats that is used, since two
// lists of members may differ.
const retryShare = 0.75

// retryAllowance is called with flow.mu held.
func (g *Gate) retryAllowance(s pimentoregister.ServiceName) *pimentoretry.Allowance {
	f := &g.traffic
	if f.retries == nil {
		f.retries = make(map[pimentoregister.ServiceName]*pimentoretry.Allowance)
	}
	a := f.retries[s]
	if a == nil {
		a = &pimentoretry.Allowance{Ratio: g.settings.RetryRatio * retryShare, Window: time.Duration(g.settings.RetryWindow)}
		f.retries[s] = a
	}
	a.Fixed = 0
	if n := int(g.clusterSize.Load()); n > 0 {
		a.Fixed = g.settings.RetryBase * retryShare / float64(n)
	}
	return a
}
