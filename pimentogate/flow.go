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

// flow is what this entry has learned from its own traffic.
type flow struct {
	mu       sync.Mutex // Guards the fields below.
	splits   map[pimentoroute.RouteName]*pimentoroute.Splitter
	works    map[pimentoroute.RouteName]*work
	targets  map[pimentoroute.TargetID]*targetState
	repeats  map[pimentoregister.ServiceName]*pimentoretry.Allowance
	suspects pimentoretry.Quarantine
	// questions is this entry's share of the questions to all targets.
	questions pimentoretry.Allowance
	// queues are the greatest lengths of queues at which targets refused.
	queues map[pimentoregister.ServiceName]int
	// shed is how many of the sends to a service its targets refused lately.
	shed map[pimentoregister.ServiceName]*share
}

// work is the usual time that a target works on a route's requests, with none
// or some others beside them: running medians, which a few very slow answers
// don't move.
type work struct {
	alone, beside time.Duration
	bytes         float64 // The mean size of the answers.
}

const (
	// firstShare is the part of the objective that the work takes until it was
	// measured, and besideFactor how many times longer it takes beside others.
	firstShare   = 0.38
	besideFactor = 1.25
	// workStep is the part by which a median moves with each measurement.
	workStep = 0.04
	// bytesWeight is the weight of one answer's size in the mean.
	bytesWeight = 0.1
	// leastWork is the time below which an answer wasn't worked for.
	leastWork = 10 * time.Millisecond
	// calmStretch is the stretch in percent up to which an answer counts as a
	// measurement of the work itself.
	calmStretch = 115
)

// work returns what is known of a route's work. It is called with mu held.
func (f *flow) work(r *pimentoroute.Route) *work {
	if f.works == nil {
		f.works = make(map[pimentoroute.RouteName]*work)
	}
	w := f.works[r.Name]
	if w == nil {
		first := time.Duration(firstShare * float64(r.Objective))
		w = &work{alone: first, beside: time.Duration(besideFactor * float64(first))}
		f.works[r.Name] = w
	}
	return w
}

// targetState is what this entry has learned of one target.
type targetState struct {
	cold      pimentotarget.ColdLimiter
	coldUntil time.Duration
	// restUntil is set after a failure; the target is asked last until then.
	restUntil time.Duration
	// failing is the share of sends that failed lately, from 0 to 1.
	failing share
	// sending counts this entry's requests that run there.
	sending int
	// report is the last one, where there is one, and sentSince counts this
	// entry's sends after it.
	report    LoadReport
	reportAt  time.Duration
	reported  bool
	sentSince int
	asking    *question
}

const (
	// failRest is the rest of a target that didn't answer, and shedRest of one
	// that had no room.
	failRest = 500 * time.Millisecond
	shedRest = 60 * time.Millisecond
	// failWeight is the weight of one send in a target's share of failures.
	failWeight = 0.25
)

const (
	// comeBackSoon is when a caller may come back after a refusal for lack of
	// room, and comeBackLater while the service is overloaded.
	comeBackSoon  = 120 * time.Millisecond
	comeBackLater = 400 * time.Millisecond
)

// target returns what is known of a target. It is called with mu held.
func (f *flow) target(id pimentoroute.TargetID) *targetState {
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

// forget drops what concerns targets and routes that are no longer published.
func (f *flow) forget(t *pimentoroute.Table) {
	known := make(map[pimentoroute.TargetID]bool)
	for _, list := range t.Targets {
		for _, tg := range list {
			known[tg.ID] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.targets {
		if !known[id] && s.sending == 0 {
			delete(f.targets, id)
		}
	}
	for name := range f.shed {
		if t.Targets[name] == nil {
			delete(f.shed, name)
		}
	}
	for name := range f.queues {
		if t.Targets[name] == nil {
			delete(f.queues, name)
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
	for name := range f.works {
		if !routes[name] {
			delete(f.works, name)
		}
	}
}

// part returns the service that the next request of a route goes to.
func (f *flow) part(r *pimentoroute.Route) *pimentoroute.SplitService {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.splits == nil {
		f.splits = make(map[pimentoroute.RouteName]*pimentoroute.Splitter)
	}
	s := f.splits[r.Name]
	if s == nil {
		s = new(pimentoroute.Splitter)
		s.Skip(r.Parts, rand.IntN(100))
		f.splits[r.Name] = s
	}
	return s.Next(r.Parts)
}

// learn takes the time of one answer of a target that wasn't disturbed when
// the request was sent, beside a number of others.
func (f *flow) learn(r *pimentoroute.Route, took time.Duration, others, bytes int) {
	if took < leastWork {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.work(r)
	w.bytes += bytesWeight * (float64(bytes) - w.bytes)
	median := &w.alone
	if others > 0 {
		median = &w.beside
	}
	step := time.Duration(workStep * float64(*median))
	if took < *median {
		step = -step
	}
	*median += step
	w.beside = max(w.beside, w.alone)
}

// repeat takes one repeat from this entry's share for a service.
func (g *Gate) repeat(c *call) bool {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	return g.allowance(c.part()).Spend(g.now())
}

// unrepeat gives a repeat back that wasn't sent.
func (g *Gate) unrepeat(c *call) {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	g.allowance(c.part()).Refund()
}

// first counts a request whose first send is due.
func (g *Gate) first(c *call) {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	g.allowance(c.part()).Earn(g.now())
}

// repeatShare is the part of the limit on repeats that is used, since two
// lists of members may differ.
const repeatShare = 0.75

// allowance is called with flow.mu held.
func (g *Gate) allowance(s pimentoregister.ServiceName) *pimentoretry.Allowance {
	f := &g.flow
	if f.repeats == nil {
		f.repeats = make(map[pimentoregister.ServiceName]*pimentoretry.Allowance)
	}
	a := f.repeats[s]
	if a == nil {
		a = &pimentoretry.Allowance{Ratio: g.settings.RetryRatio * repeatShare, Window: time.Duration(g.settings.RetryWindow)}
		f.repeats[s] = a
	}
	a.Fixed = 0
	if n := int(g.fleetSize.Load()); n > 0 {
		a.Fixed = g.settings.RetryBase * repeatShare / float64(n)
	}
	return a
}
