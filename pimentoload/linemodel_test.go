package pimentoload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// lineModel plays callers, one entry with a Line, and the slots of one service in virtual
// time. The entry knows which slots are free.
type lineModel struct {
	pattern linePattern
	rnd     *rand.Rand
	now     time.Duration
	events  eventQueue
	line    Line
	// free are the free slots that any request may use, and freeBound those of the regions
	// that bound requests may use.
	free, freeBound int
	requests        map[*Waiter]*lineRequest // That haven't ended.
	results         []lineResult
}

// linePattern is a load, and the rules that apply to it.
type linePattern struct {
	slots, boundSlots int
	length            time.Duration
	kinds             []lineKind

	// withoutPriority makes all requests equally urgent, withoutTime orders them by their age
	// also under overload, withoutShed lets them wait until they are late, withoutCallers
	// takes all for those of one caller, withoutTurns gives no turn out of order,
	// withoutRegions takes no account of the regions, and withoutReturn lets refused callers
	// return after busyReturn.
	withoutPriority, withoutTime, withoutShed, withoutCallers, withoutTurns, withoutRegions, withoutReturn bool
}

// lineKind is a kind of request.
type lineKind struct {
	rate            float64
	work, objective time.Duration
	limit           time.Duration
	priority        int
	callers         int // Number of callers; those of different kinds differ.
	bound           bool
}

// lineResult counts requests of one kind by their end.
type lineResult struct {
	all, inTime, served, refused, again int
	attempts                            int           // That were refused.
	held                                time.Duration // By these.
}

// lineRequest is a request of a caller.
type lineRequest struct {
	*Waiter
	kind     int
	first    time.Duration
	deadline time.Duration
	attempts int
}

func (m *lineModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

// playLine plays a pattern and returns the results by kind.
func playLine(p linePattern, seed uint64) []lineResult {
	m := &lineModel{pattern: p, rnd: rand.New(rand.NewPCG(seed, 2)), free: p.slots, freeBound: p.boundSlots, requests: make(map[*Waiter]*lineRequest), results: make([]lineResult, len(p.kinds))}
	m.line.MaxLength = 1000
	for k := range p.kinds {
		m.arrive(k)
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	return m.results
}

func (m *lineModel) arrive(kind int) {
	k := m.pattern.kinds[kind]
	if m.now > m.pattern.length {
		return
	}
	r := &lineRequest{kind: kind, first: m.now, deadline: m.now + k.limit}
	m.results[kind].all++
	m.receive(r)
	m.after(time.Duration(m.rnd.ExpFloat64()/k.rate*float64(time.Second)), func() { m.arrive(kind) })
}

const (
	boundRegion = RegionSet(1)
	lineRegions = RegionSet(3)
)

// receive begins an attempt of a caller.
func (m *lineModel) receive(r *lineRequest) {
	k := m.pattern.kinds[r.kind]
	r.attempts++
	w := &Waiter{Priority: k.priority, Regions: lineRegions, Since: m.now, Objective: m.now + k.objective, Deadline: r.deadline, Work: k.work,
		Caller: fmt.Sprint(r.kind, m.rnd.IntN(max(1, k.callers))), Returned: r.attempts > 1}
	if k.bound {
		w.Regions = boundRegion
	}
	if m.pattern.withoutPriority {
		w.Priority = 0
	}
	if m.pattern.withoutCallers {
		w.Caller = ""
	}
	if m.pattern.withoutShed {
		w.Work = -k.limit
	}
	r.Waiter = w
	m.line.Arrive(m.now, w)
	if m.pattern.withoutRegions {
		w.class = m.line.classOf(classKey{w.Priority, w.class.greedy, w.Returned, lineRegions})
	}
	m.requests[w] = r
	if m.hasRoom(r) && m.line.Ask(m.now, w) {
		m.run(r)
		return
	}
	m.line.Join(m.now, w)
	m.after(max(0, w.Objective-m.now), func() {
		if m.line.Leave(m.now, w) {
			m.refuse(r)
		}
	})
	for out := m.line.Shed(m.now, w); out != nil; out = m.line.Shed(m.now, w) {
		m.refuse(m.requests[out])
	}
}

func (m *lineModel) hasRoom(r *lineRequest) bool {
	return m.freeBound > 0 || (m.free > 0 && !m.pattern.kinds[r.kind].bound)
}

// run gives a request a slot, outside the bound regions if there is one.
func (m *lineModel) run(r *lineRequest) {
	k := m.pattern.kinds[r.kind]
	slots := &m.freeBound
	if m.free > 0 && !k.bound {
		slots = &m.free
	}
	*slots--
	m.line.Ended(m.now, r.Waiter, true)
	delete(m.requests, r.Waiter)
	m.after(time.Duration(float64(k.work)*max(0.3, 1+workSpread*m.rnd.NormFloat64())), func() {
		*slots++
		res := &m.results[r.kind]
		res.served++
		if m.now <= r.first+k.objective {
			res.inTime++
		}
		m.next()
	})
}

// next gives free slots to waiting requests.
func (m *lineModel) next() {
	for m.free+m.freeBound > 0 {
		if m.pattern.withoutTurns {
			m.line.turns = 0
		}
		w := m.line.Next(m.now, !m.pattern.withoutTime)
		if w == nil {
			return
		}
		if r := m.requests[w]; m.hasRoom(r) {
			m.run(r)
			continue
		}
		m.line.Ended(m.now, w, false)
		m.line.Join(m.now, w)
		m.line.Pause(m.now, w.Priority, boundRegion, m.now+ms)
		if m.pattern.withoutRegions {
			return
		}
	}
}

// refuse refuses an attempt. Its caller returns if it has attempts and time left.
func (m *lineModel) refuse(r *lineRequest) {
	res := &m.results[r.kind]
	res.held += m.now - r.Since
	res.attempts++
	delete(m.requests, r.Waiter)
	left := r.deadline - m.now
	refusal := Refusal{Left: left, Pressure: 0.2, Room: m.line.Return(m.now, r.Priority, Backlog{})}
	if m.pattern.withoutReturn {
		refusal.Room = 0
	}
	after := refusal.ReturnAfter(m.rnd.Float64())
	if r.attempts > 1 {
		res.again++
	}
	if r.attempts == modelAttempts || left <= 0 {
		res.refused++
		return
	}
	m.after(after, func() { m.receive(r) })
}

// lineBurst is a load of 1.5 times what the slots serve.
func lineBurst() linePattern {
	return linePattern{slots: 20, length: 10 * time.Second, kinds: []lineKind{
		{rate: 100, work: 100 * ms, objective: 400 * ms, limit: 4 * time.Second, priority: 0, callers: 20},
		{rate: 200, work: 100 * ms, objective: 400 * ms, limit: 4 * time.Second, priority: 1, callers: 20},
	}}
}

// floodBurst is one in which one caller sends as much as all others.
func floodBurst() linePattern {
	p := lineBurst()
	p.kinds[0].rate, p.kinds[0].priority = 150, 1
	p.kinds[1].rate, p.kinds[1].callers = 150, 1
	return p
}

// flooded is a load of which the urgent requests alone take all slots.
func flooded() linePattern {
	p := lineBurst()
	p.kinds[0].rate, p.kinds[1].rate = 260, 40
	return p
}

// boundBurst is one in which requests bound to half of the slots compete with others.
func boundBurst() linePattern {
	p := lineBurst()
	p.slots, p.boundSlots = 10, 10
	p.kinds[0] = lineKind{rate: 90, work: 100 * ms, objective: 400 * ms, limit: 4 * time.Second, priority: 1, callers: 20, bound: true}
	p.kinds[1].rate = 150
	return p
}

// longBurst is one in which requests with a short objective compete with others of the same
// rank.
func longBurst() linePattern {
	p := lineBurst()
	p.kinds[0].rate, p.kinds[0].priority, p.kinds[0].objective = 150, 1, 250*ms
	p.kinds[1].rate, p.kinds[1].objective = 95, 1500*ms
	return p
}

// What requests have to get of a load from a line, and that they don't get it with a rule
// taken out.
func TestLinePatterns(t *testing.T) {
	inTime := func(k int) func([]lineResult) float64 {
		return func(r []lineResult) float64 { return float64(r[k].inTime) / float64(r[k].all) }
	}
	served := func(k int) func([]lineResult) float64 {
		return func(r []lineResult) float64 { return float64(r[k].served) / float64(r[k].all) }
	}
	quick := func(r []lineResult) float64 { // The fraction of the objective that a refusal left.
		return 1 - float64(r[1].held)/float64(r[1].attempts)/float64(400*ms)
	}
	onceRefused := func(r []lineResult) float64 { return 1 - float64(r[1].again)/float64(r[1].all) }
	for _, c := range []struct {
		name    string
		pattern linePattern
		without func(*linePattern)
		value   func([]lineResult) float64
		least   float64
	}{
		{"urgent requests first", lineBurst(), func(p *linePattern) { p.withoutPriority = true }, inTime(0), 0.9},
		{"who can be in time first", longBurst(), func(p *linePattern) { p.withoutTime = true }, inTime(0), 0.5},
		{"refused at once", lineBurst(), func(p *linePattern) { p.withoutShed = true }, quick, 0.85},
		{"greedy callers last", floodBurst(), func(p *linePattern) { p.withoutCallers = true }, inTime(0), 0.85},
		{"no kind starves", flooded(), func(p *linePattern) { p.withoutTurns = true }, served(1), 0.25},
		{"bound to regions first", boundBurst(), func(p *linePattern) { p.withoutRegions = true }, inTime(0), 0.7},
		{"return when there is room", lineBurst(), func(p *linePattern) { p.withoutReturn = true }, onceRefused, 0.12},
	} {
		t.Run(c.name, func(t *testing.T) {
			median := func(p linePattern) float64 {
				var list []float64
				for seed := range patternSeeds {
					list = append(list, c.value(playLine(p, uint64(seed))))
				}
				slices.Sort(list)
				return list[len(list)/2]
			}
			with := median(c.pattern)
			c.without(&c.pattern)
			without := median(c.pattern)
			t.Logf("%.2f, without the rule %.2f", with, without)
			if with < c.least || without >= c.least {
				t.Errorf("%.2f, and %.2f without the rule; want at least %.2f only with it", with, without, c.least)
			}
		})
	}
}
