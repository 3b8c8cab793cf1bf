package pimentotarget

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
)

// model simulates entries with a selection policy against targets in virtual time.
// It has only what determines the cost of a choice: targets with slots, a queue and
// a cold start, and delays between domains.
type model struct {
	now      time.Duration
	events   eventHeap
	seq      int
	rng      *rand.Rand
	scenario scenario
	entries  []*modelEntry
	targets  []*modelTarget

	latencies    []time.Duration
	timedOut     int
	coldOverload int // Greatest number of requests at a cold target above its limit.
	attempts     int
}

// scenario is the load and the faults of one run.
type scenario struct {
	name        string
	utilisation float64 // As a fraction of all slots.
	duration    time.Duration
	burst       bool // Three times the load for 50 ms of each second.
	slowTarget  bool // After a third of the run one target takes ten times as long.
	domainOut   bool // A domain is out of service for the middle third.
	restart     bool // After a third of the run a fifth of the targets restart cold.
}

const (
	modelTargets     = 20
	modelSlots       = 3
	modelServiceTime = 5 * time.Millisecond
	modelColdLimit   = 1
	modelWarmup      = time.Second
	modelQueue       = 12
	modelTimeout     = 2 * time.Second
	peerDelay        = 60 * time.Millisecond
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + d, seq: m.seq, run: run})
}

// modelTarget executes requests in its slots and queues others.
type modelTarget struct {
	m         *model
	view      pimentoregister.TargetView
	factor    float64
	running   int
	active    []*modelAttempt
	queue     []*modelAttempt
	warmAt    time.Duration // 0 until the first request after a start.
	restarted bool          // The target has restarted in this run.
	bootID    uint64
}

// modelAttempt is one request at one target.
type modelAttempt struct {
	target *modelTarget
	onEnd  func(Result)
	state  int    // 0 in transit or queued, 1 running, 2 ended.
	bootID uint64 // Boot ID of the process at the other end of the connection, 0 if new.
}

func (t *modelTarget) arrive(a *modelAttempt) {
	if a.state == 2 {
		return
	}
	if a.bootID != 0 && a.bootID != t.bootID {
		a.finish(ResultIncomplete)
		return
	}
	outstanding := t.running + len(t.queue) + 1
	if t.restarted {
		if t.warmAt == 0 {
			t.warmAt = t.m.now + modelWarmup*3/4
		}
		if t.m.now < t.warmAt {
			t.m.coldOverload = max(t.m.coldOverload, outstanding-modelColdLimit)
		}
	}
	if outstanding > modelSlots+modelQueue {
		a.finish(ResultRefused)
		return
	}
	t.queue = append(t.queue, a)
	t.startQueued()
}

// startQueued starts queued attempts while slots are free.
func (t *modelTarget) startQueued() {
	for t.running < modelSlots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		if a.state == 2 {
			continue
		}
		a.state = 1
		t.running++
		t.active = append(t.active, a)
		took := time.Duration(t.m.rng.ExpFloat64() * t.factor * float64(modelServiceTime))
		t.m.after(took, func() {
			if a.state == 1 {
				t.deactivate(a)
				a.finish(ResultOK)
				t.startQueued()
			}
		})
	}
}

func (t *modelTarget) deactivate(a *modelAttempt) {
	t.running--
	t.active = slices.DeleteFunc(t.active, func(o *modelAttempt) bool { return o == a })
}

func (a *modelAttempt) finish(res Result) {
	a.state = 2
	a.onEnd(res)
}

// cancel ends an attempt wherever it is, and frees its slot.
func (a *modelAttempt) cancel() {
	if a.state == 1 {
		a.target.deactivate(a)
		a.state = 2
		a.target.startQueued()
	}
	a.state = 2
	a.onEnd(ResultCancelled)
}

// modelRequest is a request of a caller.
type modelRequest struct {
	arrived  time.Duration
	done     bool
	inFlight []*modelAttempt
	tried    []*modelTarget
}

func (m *model) complete(r *modelRequest) {
	r.done = true
	m.latencies = append(m.latencies, m.now-r.arrived)
}

// modelEntry is an entry with its policy.
type modelEntry struct {
	m              *model
	domain         pimentoregister.DomainName
	ignoreDistance bool // Targets have no delay, for the single entry that gets all requests.
	// serve handles a request.
	serve func(r *modelRequest)
	// update sets a new view of the register.
	update func(s *pimentoregister.ServiceView)
	// receivePhase merges a phase that another entry has published.
	receivePhase func(name pimentoregister.VMName, phase VersionedPhase)
	// conns holds the boot ID of the process that the entry is connected to, by target.
	conns map[*modelTarget]uint64
}

// send starts an attempt at a target, with the network delay both ways. onEnd is
// called when its result arrives.
func (e *modelEntry) send(t *modelTarget, onEnd func(Result)) *modelAttempt {
	e.m.attempts++
	oneWay := domainRTT / 2
	if t.view.Domain == e.domain || e.ignoreDistance {
		oneWay = 0
	}
	a := &modelAttempt{target: t, bootID: e.conns[t]}
	ended := false
	a.onEnd = func(res Result) {
		if res == ResultCancelled {
			ended = true
			onEnd(res)
			return
		}
		e.m.after(oneWay, func() {
			if ended {
				return
			}
			ended = true
			switch res {
			case ResultOK, ResultRefused:
				e.conns[t] = t.bootID
			default:
				e.conns[t] = 0
			}
			onEnd(res)
		})
	}
	e.m.after(oneWay, func() { t.arrive(a) })
	return a
}

func (m *model) view() *pimentoregister.ServiceView {
	s := &pimentoregister.ServiceView{Service: pimentoregister.Service{
		Name: "s", Class: pimentoregister.ClassRead, Slots: modelSlots, MaxConnections: 260, ColdLimit: modelColdLimit,
		Warmup: pimentoregister.Millis(modelWarmup / time.Millisecond), Timeout: 5000,
	}}
	for _, t := range m.targets {
		s.Targets = append(s.Targets, t.view)
	}
	return s
}

// setOut sets whether a domain is out of service.
func (m *model) setOut(domain pimentoregister.DomainName, out bool) {
	for _, t := range m.targets {
		if t.view.Domain == domain {
			t.view.OutOfService = out
			t.restarted = false
		}
	}
	for _, e := range m.entries {
		e.update(m.view())
	}
}

// runScenario simulates a scenario with a policy and returns the model with its
// measurements.
func runScenario(sc scenario, entries int, seed uint64, policy func(*modelEntry, int, int)) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), scenario: sc}
	domains := []pimentoregister.DomainName{"a", "b", "c", "d"}
	for i := range modelTargets {
		name := pimentoregister.VMName(fmt.Sprintf("t%02d", i))
		m.targets = append(m.targets, &modelTarget{m: m, factor: 1, bootID: uint64(i) + 1, view: pimentoregister.TargetView{
			VM: pimentoregister.VM{Name: name, Address: string(name), Domain: domains[i%len(domains)]}, Region: "r",
		}})
	}
	for i := range entries {
		e := &modelEntry{m: m, domain: domains[i%len(domains)], conns: make(map[*modelTarget]uint64)}
		e.ignoreDistance = entries == 1
		m.entries = append(m.entries, e)
		policy(e, i, entries)
	}
	m.schedule()
	for len(m.events) > 0 {
		ev := heap.Pop(&m.events).(event)
		m.now = ev.at
		if m.now > sc.duration+modelTimeout {
			break
		}
		ev.run()
	}
	return m
}

func (m *model) schedule() {
	rate := m.scenario.utilisation * modelTargets * modelSlots / modelServiceTime.Seconds()
	var arrive func()
	arrive = func() {
		if m.now >= m.scenario.duration {
			return
		}
		e := m.entries[m.rng.IntN(len(m.entries))]
		r := &modelRequest{arrived: m.now}
		m.after(modelTimeout, func() {
			if !r.done {
				r.done = true
				m.timedOut++
			}
		})
		e.serve(r)
		currentRate := rate
		if m.scenario.burst && m.now%time.Second < 50*time.Millisecond {
			currentRate *= 3
		}
		m.after(time.Duration(m.rng.ExpFloat64()/currentRate*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	third := m.scenario.duration / 3
	if m.scenario.slowTarget {
		m.after(third, func() { m.targets[3].factor = 10 })
	}
	if m.scenario.domainOut {
		m.after(third, func() { m.setOut("b", true) })
		m.after(2*third, func() { m.setOut("b", false) })
	}
	if m.scenario.restart {
		m.after(third, func() {
			for i := range modelTargets / 5 {
				m.restart(m.targets[i*5])
			}
		})
	}
}

// restart makes a target cold and fails all its requests with ResultIncomplete.
func (m *model) restart(t *modelTarget) {
	t.restarted = true
	t.warmAt = 0
	t.bootID += 100
	lost := append(t.queue, t.active...)
	t.queue, t.active, t.running = nil, nil, 0
	for _, a := range lost {
		if a.state != 2 {
			a.finish(ResultIncomplete)
		}
	}
}

// quantile returns a quantile of the latencies of all requests. Requests without a
// response count with modelTimeout as their latency.
func (m *model) quantile(q float64) time.Duration {
	all := slices.Clone(m.latencies)
	for range m.timedOut {
		all = append(all, modelTimeout)
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// baseline returns a policy that sends each request immediately to the target that
// choose returns, and again after a refusal or a failed connection.
func baseline(choose func(e *modelEntry, outstanding []int, usable []int) int) func(*modelEntry, int, int) {
	return func(e *modelEntry, _, _ int) {
		outstanding := make([]int, modelTargets)
		var serve func(r *modelRequest)
		serve = func(r *modelRequest) {
			var usable []int
			for i, t := range e.m.targets {
				if !t.view.OutOfService {
					usable = append(usable, i)
				}
			}
			i := choose(e, outstanding, usable)
			outstanding[i]++
			e.send(e.m.targets[i], func(res Result) {
				outstanding[i]--
				switch {
				case r.done:
				case res == ResultOK:
					e.m.complete(r)
				default:
					e.m.after(time.Millisecond, func() { serve(r) })
				}
			})
		}
		e.serve = serve
		e.update = func(*pimentoregister.ServiceView) {}
		e.receivePhase = func(pimentoregister.VMName, VersionedPhase) {}
	}
}

var baselines = map[string]func(*modelEntry, int, int){
	"random": baseline(func(e *modelEntry, _ []int, usable []int) int { return usable[e.m.rng.IntN(len(usable))] }),
	"round robin": func(e *modelEntry, i, n int) {
		turn := i
		baseline(func(_ *modelEntry, _ []int, usable []int) int {
			turn++
			return usable[turn%len(usable)]
		})(e, i, n)
	},
	"two choices": baseline(func(e *modelEntry, outstanding []int, usable []int) int {
		a, b := usable[e.m.rng.IntN(len(usable))], usable[e.m.rng.IntN(len(usable))]
		if outstanding[b] < outstanding[a] {
			return b
		}
		return a
	}),
	// The fewest outstanding requests of the entry's own.
	"least own": baseline(func(e *modelEntry, outstanding []int, usable []int) int {
		first := e.m.rng.IntN(len(usable))
		best := usable[first]
		for k := range usable {
			if i := usable[(first+k)%len(usable)]; outstanding[i] < outstanding[best] {
				best = i
			}
		}
		return best
	}),
}

// policyOptions changes the policy of newTablePolicy.
type policyOptions struct {
	noHedge bool
	tune    func(*Table)
}

// newTablePolicy returns the policy that uses Table and package pimentoretry.
func newTablePolicy(opts policyOptions) func(*modelEntry, int, int) {
	return func(e *modelEntry, i, n int) {
		p := &tablePolicy{e: e, opts: opts}
		p.table = Table{Self: EntryName(fmt.Sprintf("e%02d", i)), Location: Location{Region: "r", Domain: e.domain}, OwnerWait: time.Millisecond, MaxQueue: 1024}
		if opts.tune != nil {
			opts.tune(&p.table)
		}
		var names []EntryName
		for k := range n {
			names = append(names, EntryName(fmt.Sprintf("e%02d", k)))
		}
		p.table.SetEntries(0, names)
		p.table.Update(0, e.m.view())
		for _, tg := range p.table.Targets() {
			if e.ignoreDistance {
				tg.Domain = e.domain
			}
			p.table.Merge(0, tg, VersionedPhase{Epoch: 1, Value: PhaseWarm})
		}
		e.serve = p.serve
		e.update = func(s *pimentoregister.ServiceView) {
			p.table.Update(e.m.now, s)
			p.dispatch()
		}
		e.receivePhase = func(name pimentoregister.VMName, phase VersionedPhase) {
			p.table.Merge(e.m.now, p.table.Target(name), phase)
			p.dispatch()
		}
	}
}

// tablePolicy is the state of that policy at one entry.
type tablePolicy struct {
	e           *modelEntry
	opts        policyOptions
	table       Table
	budget      pimentoretry.Budget
	delay       pimentoretry.HedgeDelay
	waiting     map[*Request]*modelRequest
	tickPending bool
}

func (p *tablePolicy) serve(r *modelRequest) {
	p.budget.Earn()
	p.offer(r)
}

func (p *tablePolicy) offer(r *modelRequest) {
	if p.waiting == nil {
		p.waiting = make(map[*Request]*modelRequest)
	}
	q := &Request{Class: pimentoregister.ClassRead, Arrived: r.arrived, Deadline: r.arrived + modelTimeout, Avoid: p.avoid(r)}
	if p.table.Offer(q) {
		p.waiting[q] = r
		p.dispatch()
	}
}

func (p *tablePolicy) avoid(r *modelRequest) []*Target {
	var list []*Target
	for _, t := range r.tried {
		list = append(list, p.table.Target(t.view.Name))
	}
	return list
}

func (p *tablePolicy) dispatch() {
	for {
		q := p.table.Next(p.e.m.now)
		if q == nil {
			break
		}
		r := p.waiting[q]
		delete(p.waiting, q)
		if q.Target == nil || r.done {
			continue
		}
		p.send(r, q.Target)
		if d, ok := p.delay.Value(); ok && !p.opts.noHedge {
			p.e.m.after(d, func() { p.hedge(r) })
		}
	}
	if len(p.waiting) > 0 && !p.tickPending {
		p.tickPending = true
		p.e.m.after(10*time.Millisecond, func() {
			p.tickPending = false
			p.dispatch()
		})
	}
}

func (p *tablePolicy) hedge(r *modelRequest) {
	if r.done || len(r.inFlight) != 1 || !p.budget.Spend() {
		return
	}
	q := &Request{Class: pimentoregister.ClassRead, Avoid: p.avoid(r)}
	tg := p.table.BindNow(p.e.m.now, q)
	if tg == nil {
		p.budget.Refund()
		return
	}
	p.send(r, tg)
}

func (p *tablePolicy) send(r *modelRequest, tg *Target) {
	sent := p.e.m.now
	t := p.e.m.targets[slices.IndexFunc(p.e.m.targets, func(t *modelTarget) bool { return t.view.Name == tg.Name })]
	r.tried = append(r.tried, t)
	var a *modelAttempt
	a = p.e.send(t, func(res Result) {
		r.inFlight = slices.DeleteFunc(r.inFlight, func(o *modelAttempt) bool { return o == a })
		bootID := t.bootID
		if res != ResultOK {
			bootID = 0
		}
		p.table.Done(p.e.m.now, tg, sent, res, bootID)
		p.broadcastPhases()
		if res == ResultOK {
			p.delay.Add(p.e.m.now - sent)
		}
		switch {
		case r.done || res == ResultCancelled:
		case res == ResultOK:
			p.e.m.complete(r)
			for _, o := range slices.Clone(r.inFlight) {
				o.cancel()
			}
		case len(r.inFlight) == 0 && p.budget.Spend():
			p.offer(r)
		}
		p.dispatch()
	})
	r.inFlight = append(r.inFlight, a)
}

// broadcastPhases sends changed phases to the other entries after peerDelay.
func (p *tablePolicy) broadcastPhases() {
	for _, tg := range p.table.Changed() {
		name, phase := tg.Name, tg.Phase
		p.e.m.after(peerDelay, func() {
			for _, other := range p.e.m.entries {
				if other != p.e {
					other.receivePhase(name, phase)
				}
			}
		})
	}
}
