package pimentogate

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// trafficStats holds what this entry has measured on its own traffic, and its shares
// of limits.
type trafficStats struct {
	mu          sync.Mutex // Guards the fields below.
	splits      map[pimentoroute.RouteName]*pimentoroute.Splitter
	workByRoute map[pimentoroute.RouteName]*workStats
	repeats     map[pimentoroute.RouteName]*pimentoload.Repeats
	targets     map[pimentoroute.TargetID]*targetState
	retries     map[pimentoregister.ServiceName]*retryShare
	quarantine  pimentoretry.Quarantine
	// probes is this entry's share of the probe budget for all targets.
	probes pimentoretry.Allowance
	// probeDebt counts the probes that were sent without one left in that share.
	probeDebt int
	services  map[pimentoregister.ServiceName]*serviceStats
}

// workStats has the usual time that a target works on a route's requests if nothing runs
// beside them. It is a running median, which a few very slow responses don't move.
type workStats struct {
	alone     time.Duration
	meanBytes float64 // Mean response size.
}

const (
	// initialWorkFraction is the fraction of the objective that the work is assumed to
	// take until it was measured.
	initialWorkFraction = 0.38
	// maxAloneRatio is the ratio of a service's curve up to which requests count as running
	// alone.
	maxAloneRatio = 1.15
	// medianStep is the fraction by which a median moves with each measurement.
	medianStep = 0.04
	// bytesWeight is the weight of one response's size in the mean.
	bytesWeight = 0.1
	// minWork is the response time below which the target can't have worked on the
	// request; such responses aren't measured.
	minWork = 10 * time.Millisecond
	// calmSlowdown is the slowdown, in percent of the usual time, up to which a
	// response counts as a measurement of the work itself.
	calmSlowdown = 115
)

// routeWork returns the work statistics of a route. It is called with mu held.
func (ts *trafficStats) routeWork(r *pimentoroute.Route) *workStats {
	if ts.workByRoute == nil {
		ts.workByRoute = make(map[pimentoroute.RouteName]*workStats)
	}
	w := ts.workByRoute[r.Name]
	if w == nil {
		w = &workStats{alone: time.Duration(initialWorkFraction * float64(r.Objective))}
		ts.workByRoute[r.Name] = w
	}
	return w
}

// targetState is what this entry has measured on one target.
type targetState struct {
	coldLimiter pimentotarget.ColdLimiter
	coldUntil   time.Duration
	// backoffUntil is set after a failure or a refusal; the target is ranked last until
	// then.
	backoffUntil time.Duration
	// withdrawal is what the target said about new requests.
	withdrawal pimentotarget.Withdrawal
	// unreachableAt is when a probe last failed.
	unreachableAt time.Duration
	// failureRate is the moving average of failed sends, from 0 to 1.
	failureRate movingRate
	// inFlight counts this entry's requests that the target is processing.
	inFlight int
	// report is the last load report, if hasReport is set, and sentSinceReport
	// counts this entry's sends since then.
	report     LoadReport
	reportedAt time.Duration
	// askedAt is when the probe began that the report replies to, 0 if it came otherwise.
	askedAt         time.Duration
	hasReport       bool
	sentSinceReport int
	// illSince is when the target first reported itself unhealthy since it was healthy, in time of
	// bootTime, 0 while it is healthy.
	illSince time.Duration
	probing  *pendingProbe
	// nextConfirmation is waited for and not sent yet. confirming is set while a goroutine
	// sends confirmations.
	nextConfirmation *confirmation
	confirming       bool
}

const (
	// failureBackoff is the backoff of a target that didn't reply, and
	// refusalBackoff of one that refused a request.
	failureBackoff = 500 * time.Millisecond
	refusalBackoff = 60 * time.Millisecond
	// failureWeight is the weight of one send in a target's failure rate.
	failureWeight = 0.25
)

// retryAfterBusy is the Retry-After time of requests that didn't get as far as a choice of
// target.
const retryAfterBusy = 120 * time.Millisecond

// target returns the state of a target. It is called with mu held.
func (ts *trafficStats) target(id pimentoroute.TargetID) *targetState {
	if ts.targets == nil {
		ts.targets = make(map[pimentoroute.TargetID]*targetState)
	}
	s := ts.targets[id]
	if s == nil {
		s = new(targetState)
		ts.targets[id] = s
	}
	return s
}

// prune drops the statistics of targets, services and routes that are no longer
// published. Targets with requests in flight, targets that have withdrawn and retry
// allowances are kept.
func (ts *trafficStats) prune(now time.Duration, t *pimentoroute.Table) {
	if t == nil {
		return
	}
	known := make(map[pimentoroute.TargetID]bool)
	for _, list := range t.Targets {
		for _, tg := range list {
			known[tg.ID] = true
		}
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, s := range ts.targets {
		if !known[id] && s.inFlight == 0 && !s.withdrawal.Keep(now) {
			delete(ts.targets, id)
		}
	}
	for name := range ts.services {
		if t.Targets[name] == nil {
			delete(ts.services, name)
		}
	}
	if t.Config == nil {
		return
	}
	routes := make(map[pimentoroute.RouteName]bool)
	for _, r := range t.Config.Routes {
		routes[r.Name] = true
	}
	for name := range ts.splits {
		if !routes[name] {
			delete(ts.splits, name)
		}
	}
	for name := range ts.repeats {
		if !routes[name] {
			delete(ts.repeats, name)
		}
	}
	for name := range ts.workByRoute {
		if !routes[name] {
			delete(ts.workByRoute, name)
		}
	}
}

// nextSplitService returns the split service that the route's next request goes to, or
// nil if there are several and none has a positive weight.
func (ts *trafficStats) nextSplitService(r *pimentoroute.Route) *pimentoroute.SplitService {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.splits == nil {
		ts.splits = make(map[pimentoroute.RouteName]*pimentoroute.Splitter)
	}
	s := ts.splits[r.Name]
	if s == nil {
		s = new(pimentoroute.Splitter)
		s.Skip(r.Parts, rand.IntN(100))
		ts.splits[r.Name] = s
	}
	return s.Next(r.Parts)
}

// recordLatency updates a route's work statistics and the service's curve with one response.
// others is the number of other requests that ran at the target when it was chosen.
// recordOutcome leaves out targets that were slowed down or full at that time. bytes is the
// length of the response, or unknownLength.
func (ts *trafficStats) recordLatency(r *pimentoroute.Route, s pimentoregister.ServiceName, took time.Duration, others, bytes int) {
	if took < minWork {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	w, curve := ts.routeWork(r), &ts.service(s).curve
	if bytes != unknownLength {
		w.meanBytes += bytesWeight * (float64(bytes) - w.meanBytes)
	}
	curve.Observe(others, float64(took)/float64(w.alone))
	if others > 0 && curve.Ratio(others) > maxAloneRatio {
		return
	}
	step := time.Duration(medianStep * float64(w.alone))
	if took < w.alone {
		step = -step
	}
	w.alone += step
}

// repeatsOf returns what is known about a route's requests that are sent again. It is
// called with mu held.
func (ts *trafficStats) repeatsOf(r pimentoroute.RouteName) *pimentoload.Repeats {
	if ts.repeats == nil {
		ts.repeats = make(map[pimentoroute.RouteName]*pimentoload.Repeats)
	}
	p := ts.repeats[r]
	if p == nil {
		p = new(pimentoload.Repeats)
		ts.repeats[r] = p
	}
	return p
}

// countRequest counts a request towards the retry allowance, before its first send, and
// determines whether it is urgent and whether it was sent before.
func (g *Gate) countRequest(c *call) {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	g.retryAllowance(c.serviceName()).Earn(g.now())
	ts.service(c.serviceName()).queue.Arrived(g.now())
	c.urgent = ts.service(c.serviceName()).urgency.IsUrgent(g.now(), c.priority())
	if !c.callerDeadline.IsZero() {
		calm := ts.service(c.serviceName()).pressure < calmPressure
		c.repeat = ts.repeatsOf(c.route.Name).IsRepeat(c.callerDeadline.Sub(c.received), calm)
	}
}
