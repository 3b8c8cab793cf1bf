package pimentogate

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// flow is what this entry has learned from its own traffic.
type flow struct {
	mu       sync.Mutex // Guards the fields below.
	splits   map[pimentoroute.RouteName]*pimentoroute.Split
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

// share is a moving average of yes (1) and no (0).
type share float64

// add takes one more observation.
func (s *share) add(yes bool, weight float64) {
	x := 0.0
	if yes {
		x = 1
	}
	*s += share(weight * (x - float64(*s)))
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
	cold      pimentotarget.ColdGate
	coldUntil time.Duration
	// restUntil is set after a failure; the target is asked last until then.
	restUntil time.Duration
	// failing is the share of sends that failed lately, from 0 to 1.
	failing float64
	// sending counts this entry's requests that run there.
	sending int
	// report is the last one, where there is one, and sentSince counts this
	// entry's sends after it.
	report    Report
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

// comeBackSoon is when a caller may come back after a refusal for lack of room.
const comeBackSoon = 120 * time.Millisecond

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
func (f *flow) part(r *pimentoroute.Route) *pimentoroute.Part {
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

// leastQueue is the length of a queue, in slots, below which a refusal has
// another cause than a full queue.
const leastQueue = 2

// learnQueue takes a refusal for lack of room.
func (f *flow) learnQueue(s pimentoregister.ServiceName, r Report) {
	if r.Slots == 0 || r.Running < r.Slots || r.Waiting < leastQueue*r.Slots {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queues == nil {
		f.queues = make(map[pimentoregister.ServiceName]int)
	}
	f.queues[s] = max(f.queues[s], r.Waiting)
}

const (
	// shedWeight is the weight of one send in a service's share of refusals.
	shedWeight = 0.05
	// shedLimit is the share of refused sends from which a service counts as
	// overloaded.
	shedLimit = 0.3
)

// sent takes whether a target refused a send for lack of room. It reports
// whether the service has begun or ceased to count as overloaded.
func (f *flow) sent(s pimentoregister.ServiceName, refused bool) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shed == nil {
		f.shed = make(map[pimentoregister.ServiceName]*share)
	}
	if f.shed[s] == nil {
		f.shed[s] = new(share)
	}
	before := *f.shed[s] > shedLimit
	f.shed[s].add(refused, shedWeight)
	return before != (*f.shed[s] > shedLimit)
}

// overloaded reports whether targets of a service refuse a good part of what
// is sent there.
func (f *flow) overloaded(s pimentoregister.ServiceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shed[s] != nil && *f.shed[s] > shedLimit
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
	g.allowance(c.part()).Return()
}

// first counts a request whose first send is due.
func (g *Gate) first(c *call) {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	g.allowance(c.part()).First(g.now())
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
		a = &pimentoretry.Allowance{Ratio: g.settings.Ratio * repeatShare, Window: time.Duration(g.settings.Window)}
		f.repeats[s] = a
	}
	a.Fixed = 0
	if n := int(g.fleetSize.Load()); n > 0 {
		a.Fixed = g.settings.Repeats * repeatShare / float64(n)
	}
	return a
}

// serve answers one request.
func (g *Gate) serve(c *call) *answer {
	a := g.answer(c)
	took := time.Since(c.received)
	status := a.resp.StatusCode()
	if c.service != nil && a.why == reasonNone {
		g.metrics.served(c.part(), took)
	}
	g.noteServed(c, a, status, took)
	return a
}

// noteServed writes the line about a request that has ended: what was decided,
// and what it was decided from.
func (g *Gate) noteServed(c *call, a *answer, status int, took time.Duration) {
	severity := level.InfoValue()
	if a.why != reasonNone || status >= 500 {
		severity = level.WarnValue()
	}
	fields := []any{"msg", "request ended", "id", c.id, "from", c.from, "status", status}
	if a.why != reasonNone {
		fields = append(fields, "reason", a.why, "ran", ranWord(c.mayRan))
	}
	if c.lastWhy != reasonNone {
		fields = append(fields, "last", c.lastWhy)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
	}
	if c.service != nil {
		fields = append(fields, "service", c.part(), "config", c.table.Config.Version)
	}
	fields = append(fields, "sends", c.sends, "ms", took.Milliseconds())
	g.note(severity, append(fields, c.decided()...)...)
}

// decided returns what the last choice of a target was made from.
func (c *call) decided() []any {
	p := c.last
	if p == nil {
		return nil
	}
	return []any{"target", p.target.ID, "domain", p.target.Domain, "expected_ms", p.expected.Milliseconds(),
		"stretch", p.report.Stretch, "running", p.report.Running, "waiting", p.report.Waiting,
		"report_age_ms", c.lastAt.Sub(p.at).Milliseconds(), "cold", p.cold}
}

func ranWord(mayRan bool) string {
	if mayRan {
		return "unknown"
	}
	return "no"
}

// answer routes a request and sends it on.
func (g *Gate) answer(c *call) *answer {
	t := g.table.Load()
	if t == nil || t.Config == nil {
		return g.refusal(c, reasonUnconfigured, comeBackStart)
	}
	c.table = t
	path := string(c.req.Header.RequestURI())
	if !strings.HasPrefix(path, "/") {
		a := g.refusal(c, reasonInvalid, 0)
		a.closes = true
		return a
	}
	route := t.Match(string(c.req.Header.Host()), path)
	if route == nil {
		return g.refusal(c, reasonRoute, 0)
	}
	c.setRoute(route)
	part := g.flow.part(route)
	if part == nil {
		return g.refusal(c, reasonTargets, comeBackSoon)
	}
	c.service = t.Config.Services[part.Service]
	if !g.mayTry(c) {
		return g.refusal(c, reasonCrash, 0)
	}
	g.first(c)
	return g.attempts(c)
}

// comeBackStart is when a caller may come back to an entry that has just
// started.
const comeBackStart = 150 * time.Millisecond
