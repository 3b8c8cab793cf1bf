package pimentoload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// model plays callers, one entry and the targets of one service in virtual time, around the
// decisions of this package. The entry knows the load of the targets that it asks.
type model struct {
	pattern loadPattern
	rnd     *rand.Rand
	now     time.Duration
	events  eventQueue
	targets []*modelTarget

	curve   Curve
	urgency Urgency
	repeats []Repeats // By kind.
	refused float64   // Moving average of refused requests.
	results []kindResult
}

// loadPattern is a load, and the rules that apply to it.
type loadPattern struct {
	targets, slots int
	// knee is the number of running requests from which on work takes kneeFactor times as
	// long.
	knee       int
	kneeFactor float64
	// noise is the fraction of the time in which a target is slowed down by its
	// neighbours, and noiseFactor how many times longer work takes then.
	noise, noiseFactor float64
	// shedding is the fraction of requests that targets refuse although they have room.
	shedding float64
	length   time.Duration
	kinds    []requestKind

	// withoutRoom makes all targets seem to have room, withoutRepeats all requests new,
	// and withoutReturn all refused callers return within 60 to 180 ms.
	withoutRoom, withoutRepeats, withoutReturn bool
}

// requestKind is a kind of request.
type requestKind struct {
	rate      float64 // Per second, while the load lasts.
	work      time.Duration
	objective time.Duration
	limit     time.Duration // Callers wait between 0.84 times the limit and the limit.
	priority  int
}

// kindResult counts requests of one kind by their end.
type kindResult struct{ all, inTime, late, failed int }

func (r kindResult) inTimeFraction() float64 { return float64(r.inTime) / float64(max(1, r.all)) }

// modelTarget is one target. Requests beyond its slots wait in order.
type modelTarget struct {
	running  int
	queue    []*modelRequest
	slowdown float64
}

// modelRequest is one request of a caller.
type modelRequest struct {
	kind     int
	first    time.Duration // When the caller sent it first.
	deadline time.Duration
	received time.Duration // When this attempt arrived.
	attempts int
	repeat   bool
	urgent   bool
	others   int // That ran at the target when it was sent.
	sentAt   time.Duration
	calm     bool // The target wasn't slowed down.
}

const (
	modelAttempts  = 3 // By a caller.
	modelFanout    = 6 // Targets asked for one choice.
	modelWait      = 25 * time.Millisecond
	workSpread     = 0.3
	pressureWeight = 0.04
)

type modelEvent struct {
	at time.Duration
	do func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

// calmTime is the time before the load, in which half of its rate teaches the entry how
// long requests take.
const calmTime = 20 * time.Second

// play plays a pattern and returns the results by kind of the requests under load.
func play(p loadPattern, seed uint64) []kindResult {
	m := &model{pattern: p, rnd: rand.New(rand.NewPCG(seed, 1)), repeats: make([]Repeats, len(p.kinds)), results: make([]kindResult, len(p.kinds))}
	for range p.targets {
		tg := new(modelTarget)
		m.targets = append(m.targets, tg)
		m.disturb(tg)
	}
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

// noiseInterval is the time for which a target is slowed down or not.
const noiseInterval = 300 * time.Millisecond

// disturb draws again and again whether a target is slowed down.
func (m *model) disturb(tg *modelTarget) {
	tg.slowdown = 1
	if m.rnd.Float64() < m.pattern.noise {
		tg.slowdown = m.pattern.noiseFactor
	}
	if m.now < calmTime+m.pattern.length {
		m.after(noiseInterval, func() { m.disturb(tg) })
	}
}

// arrive lets a request of a kind arrive, and the next one after it.
func (m *model) arrive(kind int) {
	k := m.pattern.kinds[kind]
	rate := k.rate
	if m.now < calmTime {
		rate /= 2
	}
	if m.now > calmTime+m.pattern.length {
		return
	}
	limit := time.Duration((0.84 + 0.16*m.rnd.Float64()) * float64(k.limit))
	r := &modelRequest{kind: kind, first: m.now, deadline: m.now + limit}
	m.receive(r)
	m.after(time.Duration(m.rnd.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(kind) })
}

// receive begins an attempt of a caller.
func (m *model) receive(r *modelRequest) {
	r.attempts++
	r.received = m.now
	r.urgent = m.urgency.IsUrgent(m.now, m.pattern.kinds[r.kind].priority)
	r.repeat = m.repeats[r.kind].IsRepeat(r.deadline-m.now, m.refused < 0.02)
	if m.pattern.withoutRepeats {
		r.repeat = false
	}
	m.decide(r)
}

// decide asks some targets and does what is decided.
func (m *model) decide(r *modelRequest) {
	k := m.pattern.kinds[r.kind]
	tg, offer := m.best(k)
	switch Decide(Request{Waited: m.now - r.received, Objective: k.objective, Usual: k.work, Urgent: r.urgent, Repeat: r.repeat, Pressure: m.refused}, offer) {
	case Send:
		m.send(r, tg)
	case Wait:
		m.after(modelWait, func() { m.decide(r) })
	case Refuse:
		m.refuse(r, false)
	}
}

// best returns the best of some targets at random.
func (m *model) best(k requestKind) (*modelTarget, *Offer) {
	var best *modelTarget
	var bestOffer *Offer
	var bestCost time.Duration
	for range modelFanout {
		tg := m.targets[m.rnd.IntN(len(m.targets))]
		slots := m.pattern.slots
		work := time.Duration(float64(k.work) * tg.slowdown * m.curve.Ratio(min(tg.running, slots-1)))
		o := &Offer{Expected: work, Idle: tg.running == 0, Room: m.curve.Knee(slots) - tg.running, Queued: tg.running >= slots}
		if o.Queued {
			o.Expected += work * time.Duration(len(tg.queue)+1) / time.Duration(slots)
			o.Room -= len(tg.queue)
		}
		if m.pattern.withoutRoom {
			o.Room = 1 << 20
		}
		cost := o.Expected
		if o.Room <= 0 {
			cost += time.Duration(float64(k.work) * tg.slowdown * float64(min(tg.running, slots)) * (m.curve.Ratio(slots-1) - 1) / 2)
		}
		if bestOffer == nil || cost < bestCost {
			best, bestOffer, bestCost = tg, o, cost
		}
	}
	return best, bestOffer
}

// send gives a request to a target, which may refuse it.
func (m *model) send(r *modelRequest, tg *modelTarget) {
	if m.rnd.Float64() < m.pattern.shedding && m.now > calmTime {
		m.refuse(r, true)
		return
	}
	r.others, r.sentAt, r.calm = tg.running, m.now, tg.slowdown == 1
	if tg.running >= m.pattern.slots {
		tg.queue = append(tg.queue, r)
		return
	}
	m.run(r, tg)
}

func (m *model) run(r *modelRequest, tg *modelTarget) {
	tg.running++
	work := tg.slowdown * float64(m.pattern.kinds[r.kind].work) * max(0.3, 1+workSpread*m.rnd.NormFloat64())
	if tg.running > m.pattern.knee {
		work *= m.pattern.kneeFactor
	}
	m.after(time.Duration(work), func() {
		tg.running--
		m.end(r)
		if len(tg.queue) > 0 {
			next := tg.queue[0]
			tg.queue = tg.queue[1:]
			m.run(next, tg)
		}
	})
}

// end counts a response.
func (m *model) end(r *modelRequest) {
	k := m.pattern.kinds[r.kind]
	if r.others < m.pattern.slots && r.calm {
		m.curve.Observe(r.others, float64(m.now-r.sentAt)/float64(k.work))
	}
	m.refused -= pressureWeight * m.refused
	m.count(r, m.now <= r.deadline, m.now-r.first <= k.objective)
}

// refuse refuses an attempt. Its caller returns if it has attempts and time left.
func (m *model) refuse(r *modelRequest, shed bool) {
	m.refused += pressureWeight * (1 - m.refused)
	left := r.deadline - m.now
	refusal := Refusal{Left: left, Pressure: m.refused, Urgent: r.urgent, Shed: shed}
	if m.pattern.withoutReturn {
		refusal = Refusal{}
	}
	after := min(refusal.ReturnAfter(m.rnd.Float64()), left/3)
	if r.attempts == modelAttempts || left <= 0 {
		m.count(r, false, false)
		return
	}
	m.after(after, func() { m.receive(r) })
}

// count counts the end of a request that came under load.
func (m *model) count(r *modelRequest, served, inTime bool) {
	if r.first < calmTime {
		return
	}
	res := &m.results[r.kind]
	res.all++
	switch {
	case served && inTime:
		res.inTime++
	case served:
		res.late++
	default:
		res.failed++
	}
}
