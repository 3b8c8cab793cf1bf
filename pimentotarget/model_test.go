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

// model runs entries with a policy against targets in virtual time. It is the
// least that shows what a choice costs: targets with slots, a queue and a cold
// start, and delays between domains.
type model struct {
	now     time.Duration
	events  eventHeap
	order   int
	rng     *rand.Rand
	load    load
	entries []*modelEntry
	targets []*modelTarget

	latencies []time.Duration
	refused   int
	coldOver  int // Most load on a cold target above what it bears.
	attempts  int
}

// load is what happens in one run.
type load struct {
	name    string
	use     float64 // Part of all slots.
	time    time.Duration
	burst   bool // Three times the load for 50 ms each second.
	slow    bool // One target takes ten times as long after a third.
	domain  bool // A domain is out for the middle third.
	restart bool // A fifth of the targets restart cold after a third.
}

const (
	modelTargets = 20
	modelSlots   = 3
	modelWork    = 5 * time.Millisecond
	modelCold    = 1
	modelWarmup  = time.Second
	modelQueue   = 12
	modelTimeout = 2 * time.Second
	gossipDelay  = 60 * time.Millisecond
)

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.events, event{at: m.now + d, order: m.order, do: do})
}

// modelTarget runs requests in slots and queues others.
type modelTarget struct {
	m       *model
	view    pimentoregister.TargetView
	factor  float64
	running int
	active  []*modelAttempt
	queue   []*modelAttempt
	warmAt  time.Duration // 0 until the first request after a start.
	restart bool          // The target has restarted in this run.
	boot    uint64
}

// modelAttempt is one request at one target.
type modelAttempt struct {
	target *modelTarget
	end    func(Result)
	state  int    // 0 on its way or queued, 1 running, 2 ended.
	boot   uint64 // Of the process to which the connection leads, 0 for a new one.
}

func (t *modelTarget) arrive(a *modelAttempt) {
	if a.state == 2 {
		return
	}
	if a.boot != 0 && a.boot != t.boot {
		a.finish(ResultIncomplete)
		return
	}
	outstanding := t.running + len(t.queue) + 1
	if t.restart {
		if t.warmAt == 0 {
			t.warmAt = t.m.now + modelWarmup*3/4
		}
		if t.m.now < t.warmAt {
			t.m.coldOver = max(t.m.coldOver, outstanding-modelCold)
		}
	}
	if outstanding > modelSlots+modelQueue {
		a.finish(ResultRefused)
		return
	}
	t.queue = append(t.queue, a)
	t.work()
}

func (t *modelTarget) work() {
	for t.running < modelSlots && len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		if a.state == 2 {
			continue
		}
		a.state = 1
		t.running++
		t.active = append(t.active, a)
		took := time.Duration(t.m.rng.ExpFloat64() * t.factor * float64(modelWork))
		t.m.after(took, func() {
			if a.state == 1 {
				t.drop(a)
				a.finish(ResultOK)
				t.work()
			}
		})
	}
}

func (t *modelTarget) drop(a *modelAttempt) {
	t.running--
	t.active = slices.DeleteFunc(t.active, func(o *modelAttempt) bool { return o == a })
}

func (a *modelAttempt) finish(res Result) {
	a.state = 2
	a.end(res)
}

// cancel ends an attempt at its target.
func (a *modelAttempt) cancel() {
	if a.state == 1 {
		a.target.drop(a)
		a.state = 2
		a.target.work()
	}
	a.state = 2
	a.end(ResultCancelled)
}

// modelRequest is one request of a caller.
type modelRequest struct {
	arrived time.Duration
	done    bool
	open    []*modelAttempt
	tried   []*modelTarget
}

func (m *model) answer(r *modelRequest) {
	r.done = true
	m.latencies = append(m.latencies, m.now-r.arrived)
}

// modelEntry is one entry with its policy.
type modelEntry struct {
	m      *model
	domain pimentoregister.DomainName
	near   bool // All targets are near, for the chooser that sees all.
	// take serves a request.
	take func(r *modelRequest)
	// update tells the policy of a new register.
	update func(s *pimentoregister.ServiceView)
	hear   func(name pimentoregister.VMName, mark VersionedPhase)
	// conns has the process to which the entry has connections, by target.
	conns map[*modelTarget]uint64
}

// send lets an attempt travel to its target and back.
func (e *modelEntry) send(t *modelTarget, end func(Result)) *modelAttempt {
	e.m.attempts++
	trip := domainTrip / 2
	if t.view.Domain == e.domain || e.near {
		trip = 0
	}
	a := &modelAttempt{target: t, boot: e.conns[t]}
	ended := false
	a.end = func(res Result) {
		if res == ResultCancelled {
			ended = true
			end(res)
			return
		}
		e.m.after(trip, func() {
			if ended {
				return
			}
			ended = true
			switch res {
			case ResultOK, ResultRefused:
				e.conns[t] = t.boot
			default:
				e.conns[t] = 0
			}
			end(res)
		})
	}
	e.m.after(trip, func() { t.arrive(a) })
	return a
}

func (m *model) view() *pimentoregister.ServiceView {
	s := &pimentoregister.ServiceView{Service: pimentoregister.Service{
		Name: "s", Class: pimentoregister.ClassRead, Slots: modelSlots, MaxConnections: 260, ColdLimit: modelCold,
		Warmup: pimentoregister.Millis(modelWarmup / time.Millisecond), Timeout: 5000,
	}}
	for _, t := range m.targets {
		s.Targets = append(s.Targets, t.view)
	}
	return s
}

// setOut takes a domain out or brings it back.
func (m *model) setOut(domain pimentoregister.DomainName, out bool) {
	for _, t := range m.targets {
		if t.view.Domain == domain {
			t.view.OutOfService = out
			t.restart = false
		}
	}
	for _, e := range m.entries {
		e.update(m.view())
	}
}

// run runs one load with a policy and returns its figures.
func run(l load, entries int, seed uint64, policy func(*modelEntry, int, int)) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), load: l}
	domains := []pimentoregister.DomainName{"a", "b", "c", "d"}
	for i := range modelTargets {
		name := pimentoregister.VMName(fmt.Sprintf("t%02d", i))
		m.targets = append(m.targets, &modelTarget{m: m, factor: 1, boot: uint64(i) + 1, view: pimentoregister.TargetView{
			VM: pimentoregister.VM{Name: name, Address: string(name), Domain: domains[i%len(domains)]}, Region: "r",
		}})
	}
	for i := range entries {
		e := &modelEntry{m: m, domain: domains[i%len(domains)], conns: make(map[*modelTarget]uint64)}
		e.near = entries == 1
		m.entries = append(m.entries, e)
		policy(e, i, entries)
	}
	m.schedule()
	for len(m.events) > 0 {
		ev := heap.Pop(&m.events).(event)
		m.now = ev.at
		if m.now > l.time+modelTimeout {
			break
		}
		ev.do()
	}
	return m
}

func (m *model) schedule() {
	rate := m.load.use * modelTargets * modelSlots / modelWork.Seconds()
	var arrive func()
	arrive = func() {
		if m.now >= m.load.time {
			return
		}
		e := m.entries[m.rng.IntN(len(m.entries))]
		r := &modelRequest{arrived: m.now}
		m.after(modelTimeout, func() {
			if !r.done {
				r.done = true
				m.refused++
			}
		})
		e.take(r)
		now := rate
		if m.load.burst && m.now%time.Second < 50*time.Millisecond {
			now *= 3
		}
		m.after(time.Duration(m.rng.ExpFloat64()/now*float64(time.Second)), arrive)
	}
	m.after(0, arrive)
	third := m.load.time / 3
	if m.load.slow {
		m.after(third, func() { m.targets[3].factor = 10 })
	}
	if m.load.domain {
		m.after(third, func() { m.setOut("b", true) })
		m.after(2*third, func() { m.setOut("b", false) })
	}
	if m.load.restart {
		m.after(third, func() {
			for i := range modelTargets / 5 {
				m.restart(m.targets[i*5])
			}
		})
	}
}

// restart breaks what a target has and turns it cold.
func (m *model) restart(t *modelTarget) {
	t.restart = true
	t.warmAt = 0
	t.boot += 100
	lost := append(t.queue, t.active...)
	t.queue, t.active, t.running = nil, nil, 0
	for _, a := range lost {
		if a.state != 2 {
			a.finish(ResultIncomplete)
		}
	}
}

// quantile returns a quantile of the latencies of all requests; refused ones
// count as the timeout.
func (m *model) quantile(q float64) time.Duration {
	all := slices.Clone(m.latencies)
	for range m.refused {
		all = append(all, modelTimeout)
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// baseline is a policy that sends each request at once to the target that pick
// names, and again after a refusal or a broken connection.
func baseline(pick func(e *modelEntry, own []int, usable []int) int) func(*modelEntry, int, int) {
	return func(e *modelEntry, _, _ int) {
		own := make([]int, modelTargets)
		var take func(r *modelRequest)
		take = func(r *modelRequest) {
			var usable []int
			for i, t := range e.m.targets {
				if !t.view.OutOfService {
					usable = append(usable, i)
				}
			}
			i := pick(e, own, usable)
			own[i]++
			e.send(e.m.targets[i], func(res Result) {
				own[i]--
				switch {
				case r.done:
				case res == ResultOK:
					e.m.answer(r)
				default:
					e.m.after(time.Millisecond, func() { take(r) })
				}
			})
		}
		e.take = take
		e.update = func(*pimentoregister.ServiceView) {}
		e.hear = func(pimentoregister.VMName, VersionedPhase) {}
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
	"two choices": baseline(func(e *modelEntry, own []int, usable []int) int {
		a, b := usable[e.m.rng.IntN(len(usable))], usable[e.m.rng.IntN(len(usable))]
		if own[b] < own[a] {
			return b
		}
		return a
	}),
	"least own": baseline(func(e *modelEntry, own []int, usable []int) int {
		first := e.m.rng.IntN(len(usable))
		best := usable[first]
		for k := range usable {
			if i := usable[(first+k)%len(usable)]; own[i] < own[best] {
				best = i
			}
		}
		return best
	}),
}

// rules switches parts of the own policy off.
type rules struct {
	noHedge bool
	tune    func(*Table)
}

// own is the policy of this package and of pimentoretry.
func own(off rules) func(*modelEntry, int, int) {
	return func(e *modelEntry, i, n int) {
		p := &ownPolicy{e: e, off: off}
		p.table = Table{Self: EntryName(fmt.Sprintf("e%02d", i)), Location: Location{Region: "r", Domain: e.domain}, OwnerWait: time.Millisecond, MaxQueue: 1024}
		if off.tune != nil {
			off.tune(&p.table)
		}
		var names []EntryName
		for k := range n {
			names = append(names, EntryName(fmt.Sprintf("e%02d", k)))
		}
		p.table.SetEntries(0, names)
		p.table.Update(0, e.m.view())
		for _, tg := range p.table.Targets() {
			if e.near {
				tg.Domain = e.domain
			}
			p.table.Merge(0, tg, VersionedPhase{Epoch: 1, Value: PhaseWarm})
		}
		e.take = p.take
		e.update = func(s *pimentoregister.ServiceView) {
			p.table.Update(e.m.now, s)
			p.pump()
		}
		e.hear = func(name pimentoregister.VMName, mark VersionedPhase) {
			p.table.Merge(e.m.now, p.table.Target(name), mark)
			p.pump()
		}
	}
}

type ownPolicy struct {
	e       *modelEntry
	off     rules
	table   Table
	budget  pimentoretry.Budget
	delay   pimentoretry.HedgeDelay
	waiting map[*Request]*modelRequest
	ticking bool
}

func (p *ownPolicy) take(r *modelRequest) {
	p.budget.Earn()
	p.offer(r)
}

func (p *ownPolicy) offer(r *modelRequest) {
	if p.waiting == nil {
		p.waiting = make(map[*Request]*modelRequest)
	}
	q := &Request{Class: pimentoregister.ClassRead, Arrived: r.arrived, Deadline: r.arrived + modelTimeout, Avoid: p.avoid(r)}
	if p.table.Offer(q) {
		p.waiting[q] = r
		p.pump()
	}
}

func (p *ownPolicy) avoid(r *modelRequest) []*Target {
	var list []*Target
	for _, t := range r.tried {
		list = append(list, p.table.Target(t.view.Name))
	}
	return list
}

func (p *ownPolicy) pump() {
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
		if d, ok := p.delay.Value(); ok && !p.off.noHedge {
			p.e.m.after(d, func() { p.hedge(r) })
		}
	}
	if len(p.waiting) > 0 && !p.ticking {
		p.ticking = true
		p.e.m.after(10*time.Millisecond, func() {
			p.ticking = false
			p.pump()
		})
	}
}

func (p *ownPolicy) hedge(r *modelRequest) {
	if r.done || len(r.open) != 1 || !p.budget.Spend() {
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

func (p *ownPolicy) send(r *modelRequest, tg *Target) {
	sent := p.e.m.now
	t := p.e.m.targets[slices.IndexFunc(p.e.m.targets, func(t *modelTarget) bool { return t.view.Name == tg.Name })]
	r.tried = append(r.tried, t)
	var a *modelAttempt
	a = p.e.send(t, func(res Result) {
		r.open = slices.DeleteFunc(r.open, func(o *modelAttempt) bool { return o == a })
		boot := t.boot
		if res != ResultOK {
			boot = 0
		}
		p.table.Done(p.e.m.now, tg, sent, res, boot)
		p.tell()
		if res == ResultOK {
			p.delay.Add(p.e.m.now - sent)
		}
		switch {
		case r.done || res == ResultCancelled:
		case res == ResultOK:
			p.e.m.answer(r)
			for _, o := range slices.Clone(r.open) {
				o.cancel()
			}
		case len(r.open) == 0 && p.budget.Spend():
			p.offer(r)
		}
		p.pump()
	})
	r.open = append(r.open, a)
}

// tell sends the news to the other entries.
func (p *ownPolicy) tell() {
	for _, tg := range p.table.Changed() {
		name, mark := tg.Name, tg.Phase
		p.e.m.after(gossipDelay, func() {
			for _, other := range p.e.m.entries {
				if other != p.e {
					other.hear(name, mark)
				}
			}
		})
	}
}
