package pimentoquota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// fleet plays entries in virtual time: their ledgers, the messages between them, and the
// requests that they let run.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	entries []*testEntry
	members []pimentopeer.Member
	bounds  Bounds
	limits  map[pimentoregister.OrganisationName]Limit
	cut     func(from, to *testEntry) bool // Messages are lost. May be nil.
	delay   func(from, to *testEntry) time.Duration
	sends   map[pimentoregister.OrganisationName][]time.Duration
	asked   map[pimentoregister.OrganisationName][]time.Duration
	waits   map[pimentoregister.OrganisationName][]time.Duration // Of the sends.
	wait    time.Duration                                        // For which a request waits for a token.
	asks    int
	runs    uint64
}

type testEntry struct {
	name    string
	domain  int
	ledger  *Ledger
	chooser Chooser
	member  pimentopeer.Member
	offset  time.Duration // Its clock is the fleet's time minus offset.
	down    bool
	stalled time.Duration // It does nothing until then.
	asking  bool
	nextAsk time.Duration
	waiting []*testRequest
}

type testRequest struct {
	name         pimentoregister.OrganisationName
	asked, until time.Duration
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var seq int

func (f *fleet) at(t time.Duration, do func()) {
	seq++
	heap.Push(&f.events, event{max(t, f.now), seq, do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

const (
	testInterval = 500 * time.Millisecond
	testGap      = 20 * time.Millisecond
	testWait     = 150 * time.Millisecond
	testTimeout  = 600 * time.Millisecond
)

// newFleet starts entries in the given number of domains.
func newFleet(seed uint64, entries, domains int, bounds Bounds, limits map[pimentoregister.OrganisationName]Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), bounds: bounds, limits: limits, wait: testWait,
		waits: make(map[pimentoregister.OrganisationName][]time.Duration),
		sends: make(map[pimentoregister.OrganisationName][]time.Duration), asked: make(map[pimentoregister.OrganisationName][]time.Duration),
	}
	f.delay = func(from, to *testEntry) time.Duration {
		if from.domain == to.domain {
			return 500 * time.Microsecond
		}
		return 30 * time.Millisecond
	}
	for i := range entries {
		e := &testEntry{name: fmt.Sprint("e", i), domain: i % domains}
		f.entries = append(f.entries, e)
		f.start(e)
		f.members = append(f.members, e.member)
	}
	for _, e := range f.entries {
		e.ledger.Entries = entries
		f.at(f.jitter(testInterval), func() { f.tick(e) })
	}
	return f
}

func (f *fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(d))
}

// start starts an entry's process anew.
func (f *fleet) start(e *testEntry) {
	f.runs++
	e.ledger = &Ledger{Bounds: f.bounds, Run: f.runs, Entries: len(f.entries), HeadStart: true}
	e.chooser = Chooser{}
	e.offset, e.down, e.waiting, e.asking = f.now, false, nil, false
	e.ledger.SetLimits(0, f.limits)
	e.member = pimentopeer.Member{Name: pimentotarget.EntryName(e.name), Domain: pimentoregister.DomainName(fmt.Sprint("d", e.domain)), Address: e.name, RunID: f.runs}
	for i := range f.members {
		if f.members[i].Name == e.member.Name {
			f.members[i] = e.member
		}
	}
}

// tick asks at intervals.
func (f *fleet) tick(e *testEntry) {
	d := testInterval
	if e.ledger.Starting(e.clock(f)) {
		d = min(d, max(testInterval/5, time.Duration(len(f.entries))*time.Millisecond))
	}
	f.at(f.now+d-f.jitter(d/5), func() { f.tick(e) })
	f.ask(e)
}

func (e *testEntry) clock(f *fleet) time.Duration { return f.now - e.offset }

func (f *fleet) ask(e *testEntry) {
	if e.down || e.asking || f.now < e.stalled {
		return
	}
	choice := e.chooser.Choose(e.clock(f), e.member, f.members)
	e.ledger.Hub, e.ledger.Alone = choice.Hub, choice.Parent.Name == ""
	if e.ledger.Alone {
		return
	}
	var parent *testEntry
	for _, p := range f.entries {
		if p.name == string(choice.Parent.Name) {
			parent = p
		}
	}
	e.asking = true
	f.asks++
	sentAt, run := e.clock(f), e.ledger.Run
	ask := e.ledger.Ask(sentAt, choice.Parent.RunID)
	done := false
	f.at(f.now+testTimeout, func() {
		if !done && e.ledger.Run == run {
			done, e.asking = true, false
			e.chooser.Avoid(e.clock(f), choice.Parent.Name)
		}
	})
	f.deliver(e, parent, func() {
		reply := parent.ledger.Serve(parent.clock(f), &ask)
		f.deliver(parent, e, func() {
			if done || e.ledger.Run != run {
				return
			}
			done, e.asking = true, false
			e.ledger.Apply(e.clock(f), sentAt, &reply)
			f.wake(e)
			f.askSoon(e)
		})
		f.askSoon(parent)
	})
}

// deliver calls do when a message has arrived, if it does.
func (f *fleet) deliver(from, to *testEntry, do func()) {
	if f.cut != nil && f.cut(from, to) {
		return
	}
	var arrive func()
	arrive = func() {
		switch {
		case to.down:
		case f.now < to.stalled:
			f.at(to.stalled, arrive)
		default:
			do()
		}
	}
	f.at(f.now+f.delay(from, to), arrive)
}

// askSoon asks at once if something is lacking.
func (f *fleet) askSoon(e *testEntry) {
	if e.nextAsk > f.now || !e.ledger.Needs(e.clock(f)) {
		return
	}
	e.nextAsk = f.now + testGap
	f.at(f.now+testGap/4, func() { f.ask(e) })
	f.at(f.now+testGap, func() { f.askSoon(e) })
}

// wake lets those that wait try again.
func (f *fleet) wake(e *testEntry) {
	list := e.waiting
	e.waiting = nil
	for _, r := range list {
		f.try(e, r)
	}
}

func (f *fleet) try(e *testEntry, r *testRequest) {
	if e.down || f.now > r.until {
		return
	}
	if f.now < e.stalled {
		f.at(e.stalled, func() { f.try(e, r) })
		return
	}
	switch _, verdict := e.ledger.Take(e.clock(f), r.name); verdict {
	case Granted, Unlimited:
		f.sends[r.name] = append(f.sends[r.name], f.now)
		f.waits[r.name] = append(f.waits[r.name], f.now-r.asked)
	case Wait:
		e.waiting = append(e.waiting, r)
		f.askSoon(e)
	case Denied:
		e.ledger.Refuse(e.clock(f), r.name)
	}
}

// request lets a request of an organisation arrive at an entry.
func (f *fleet) request(e *testEntry, name pimentoregister.OrganisationName) {
	f.asked[name] = append(f.asked[name], f.now)
	f.try(e, &testRequest{name: name, asked: f.now, until: f.now + f.wait})
}

// demand lets requests arrive at random times at the given rate, at entries that pick
// returns.
func (f *fleet) demand(name pimentoregister.OrganisationName, from, to time.Duration, rate float64, pick func() *testEntry) {
	var next func()
	step := func() time.Duration { return time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) }
	next = func() {
		if f.now >= to {
			return
		}
		f.request(pick(), name)
		f.at(f.now+step(), next)
	}
	f.at(from+step(), next)
}

// anyEntry returns an entry; half of the requests go to a tenth of the entries.
func (f *fleet) anyEntry() *testEntry {
	n := len(f.entries)
	if f.rng.IntN(2) == 0 {
		n = max(1, n/10)
	}
	return f.entries[f.rng.IntN(n)]
}

// excess returns by how much the sends of an organisation exceed what may run in any
// window, negative if they don't.
func excess(sends []time.Duration, b Bounds, l Limit) float64 {
	worst, first := math.Inf(-1), 0
	for i, t := range sends {
		for t-sends[first] > b.Window {
			first++
		}
		worst = max(worst, float64(i-first+1)-b.Most(l, b.Window))
	}
	return worst
}

// within returns how many requests a token bucket of the limit would let pass.
func within(asked []time.Duration, l Limit) int {
	tokens, last, n := l.Burst, time.Duration(0), 0
	for _, t := range asked {
		tokens = min(max(1, l.Burst), tokens+l.Rate*(t-last).Seconds())
		last = t
		if tokens >= 1 {
			tokens--
			n++
		}
	}
	return n
}
