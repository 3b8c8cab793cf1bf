package pimentokey

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// history is a fleet of ledgers under faults, with an oracle beside them. A
// process that isn't scheduled is paused; messages wait until they are
// delivered, and may be lost or doubled.
type history struct {
	procs    []*process
	incs     Incarnation
	messages []message
	issued   []Key
	pending  []*dispatch

	runs   map[Key]int  // The oracle: how often each key has run.
	denied map[Key]bool // Keys of which somebody has said "not run".
	told   map[string]int
	stops  int // Planned stops so far.
	faults int // Other faults so far.
}

// process is one run of one process, with the part of an entry that decides
// where a key goes.
type process struct {
	inc       Incarnation
	ledger    *Ledger
	directory Directory
	dead      bool
	stopped   bool
	next      Incarnation // The successor that was offered the ranges.
	offer     []Range
	from      map[Incarnation]Incarnation // Where adopted ranges came from.
}

// dispatch is a request that a process was allowed to run.
type dispatch struct {
	p       *process
	key     Key
	written bool // The target has run it.
}

// message is one message between two processes.
type message struct {
	to       Incarnation
	from     Incarnation
	request  *Key
	offer    []Range
	held     []Incarnation
	learn    *Key
	outcome  Outcome
	answered *Response
}

var testScope = Scope{Service: "s", Organisation: "o"}

const testFingerprint = 7

func newHistory(n int) *history {
	h := &history{runs: make(map[Key]int), denied: make(map[Key]bool), told: make(map[string]int)}
	for range n {
		h.spawn()
	}
	return h
}

func (h *history) spawn() *process {
	h.incs++
	p := &process{inc: h.incs, ledger: NewLedger(h.incs, Secret{uint64(h.incs), 1}), from: make(map[Incarnation]Incarnation)}
	p.ledger.MaxBytes = 3 * recordBytes // Small, so that records are evicted.
	h.procs = append(h.procs, p)
	return p
}

func (h *history) find(inc Incarnation) *process {
	for _, p := range h.procs {
		if p.inc == inc && !p.dead {
			return p
		}
	}
	return nil
}

func (h *history) live() []*process {
	var list []*process
	for _, p := range h.procs {
		if !p.dead {
			list = append(list, p)
		}
	}
	return list
}

func drawFrom[T any](t *rapid.T, list []T, label string) T {
	if len(list) == 0 {
		t.Skip("none")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, label)]
}

// rare skips most calls, so that histories have few faults and much else.
func rare(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "rare") != 0 {
		t.Skip("rare")
	}
}

// tell notes what a caller is told about a key, and checks it against the oracle.
func (h *history) tell(t *rapid.T, k Key, what string) {
	h.told[what]++
	switch what {
	case "no":
		h.denied[k] = true
	case "yes":
		if h.runs[k] != 1 {
			t.Fatalf("key %v: told that it ran, and it ran %d times", k, h.runs[k])
		}
	}
}

// serve lets a process take a request with a key.
func (h *history) serve(t *rapid.T, p *process, k Key, forwarded bool) {
	v, a := p.ledger.Begin(k, testScope, testFingerprint)
	switch v {
	case DecisionDispatch:
		h.pending = append(h.pending, &dispatch{p: p, key: k})
	case DecisionWait:
	case DecisionReplay:
		if string(a.Body) != k.String() {
			t.Fatalf("key %v: answer of another key", k)
		}
		h.tell(t, k, "yes")
	case DecisionEvicted:
		h.tell(t, k, "yes")
	case DecisionVoid, DecisionForged:
		h.tell(t, k, "no")
	case DecisionMismatch:
		t.Fatalf("key %v: the same request is taken for another one", k)
	case DecisionNotHeld:
		h.forward(t, p, k, forwarded)
	case DecisionStopped:
		if p.next == 0 {
			h.tell(t, k, "no")
			return
		}
		h.messages = append(h.messages, message{to: p.next, request: &k})
	default:
		h.tell(t, k, "unknown")
	}
}

func (h *history) forward(t *rapid.T, p *process, k Key, forwarded bool) {
	holder := p.directory.Holder(k.Issuer)
	if forwarded || h.find(holder) == nil || holder == p.inc {
		h.tell(t, k, "unknown")
		return
	}
	h.messages = append(h.messages, message{to: holder, request: &k})
}

// deliver lets a message arrive.
func (h *history) deliver(t *rapid.T, m message) {
	p := h.find(m.to)
	if p == nil {
		return
	}
	switch {
	case m.request != nil:
		h.serve(t, p, *m.request, true)
	case m.offer != nil:
		h.adopt(p, m)
	case m.held != nil:
		for _, issuer := range m.held {
			p.directory.SetHolder(issuer, m.from)
		}
	case m.learn != nil:
		p.ledger.ResolveRemote(*m.learn, m.outcome, m.answered)
		if p.next != 0 {
			h.messages = append(h.messages, message{to: p.next, learn: m.learn, outcome: m.outcome, answered: m.answered})
		}
	}
}

func (h *history) adopt(p *process, m message) {
	for _, r := range m.offer {
		if p.ledger.Adopt(r) == nil {
			p.from[r.Issuer] = m.from
		}
	}
	for _, other := range h.live() {
		h.messages = append(h.messages, message{to: other.inc, from: p.inc, held: p.ledger.HeldIssuers()})
	}
}

// settle ends a dispatch with what is true of it, or with "unknown".
func (h *history) settle(t *rapid.T, d *dispatch, lost bool) {
	o := OutcomeNotExecuted
	var a *Response
	if d.written {
		o = OutcomeExecuted
		a = &Response{Body: []byte(d.key.String())}
	}
	if lost {
		o, a = OutcomeUnknown, nil
	}
	d.p.ledger.Resolve(d.key, o, a)
	if d.p.next != 0 {
		h.messages = append(h.messages, message{to: d.p.next, learn: &d.key, outcome: o, answered: a})
	}
	h.tell(t, d.key, map[Outcome]string{OutcomeNotExecuted: "no", OutcomeExecuted: "yes", OutcomeUnknown: "unknown"}[o])
}

// actions returns what can happen next.
func (h *history) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"issue": func(t *rapid.T) {
			if k, ok := drawFrom(t, h.live(), "process").ledger.Issue(testScope); ok {
				h.issued = append(h.issued, k)
			}
		},
		"send": func(t *rapid.T) {
			k := drawFrom(t, h.issued, "key")
			p := h.find(k.Issuer)
			if p == nil || rapid.Bool().Draw(t, "elsewhere") {
				p = drawFrom(t, h.live(), "process")
			}
			h.serve(t, p, k, false)
		},
		"write": func(t *rapid.T) {
			d := drawFrom(t, h.pending, "dispatch")
			if d.p.dead || d.written {
				t.Skip("no")
			}
			d.written = true
			h.runs[d.key]++
		},
		"settle": func(t *rapid.T) {
			i := rapid.IntRange(0, max(len(h.pending)-1, 0)).Draw(t, "dispatch")
			if i >= len(h.pending) || h.pending[i].p.dead {
				t.Skip("no")
			}
			d := h.pending[i]
			h.pending = slices.Delete(h.pending, i, i+1)
			h.settle(t, d, rapid.Bool().Draw(t, "lost"))
		},
		"deliver": func(t *rapid.T) {
			i := rapid.IntRange(0, max(len(h.messages)-1, 0)).Draw(t, "message")
			if i >= len(h.messages) {
				t.Skip("none")
			}
			m := h.messages[i]
			if !rapid.Bool().Draw(t, "doubled") {
				h.messages = slices.Delete(h.messages, i, i+1)
			}
			h.deliver(t, m)
		},
		"lose": func(t *rapid.T) {
			rare(t)
			i := rapid.IntRange(0, max(len(h.messages)-1, 0)).Draw(t, "message")
			if i >= len(h.messages) {
				t.Skip("none")
			}
			h.messages = slices.Delete(h.messages, i, i+1)
			h.faults++
		},
		"stop": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			if p.stopped {
				t.Skip("stopped")
			}
			rare(t)
			h.stop(t, p)
		},
		"offer again": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			if p.next == 0 {
				t.Skip("none")
			}
			h.messages = append(h.messages, message{to: p.next, from: p.inc, offer: p.offer})
		},
		"crash": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			rare(t)
			p.dead = true
			h.faults++
			h.spawn()
		},
		"abandon": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			for issuer, from := range p.from {
				if h.find(from) == nil {
					p.ledger.Abandon(issuer)
				}
			}
		},
	}
}

// stop begins a planned stop. The list from which the successor is taken may
// be stale, so it may name a process that is dead or has stopped.
func (h *history) stop(t *rapid.T, p *process) {
	h.stops++
	p.stopped = true
	p.ledger.Stop()
	p.offer = p.ledger.Export(2 * recordBytes)
	var others []Incarnation
	for _, other := range h.procs {
		if other != p {
			others = append(others, other.inc)
		}
	}
	p.next = drawFrom(t, others, "successor")
	h.messages = append(h.messages, message{to: p.next, from: p.inc, offer: p.offer})
	for _, other := range h.live() {
		h.messages = append(h.messages, message{to: other.inc, from: p.next, held: p.ledger.HeldIssuers()})
	}
}

// check is the oracle: no key runs twice, and none runs of which somebody has
// said "not run".
func (h *history) check(t *rapid.T) {
	for k, n := range h.runs {
		if n > 1 {
			t.Fatalf("key %v ran %d times", k, n)
		}
		if h.denied[k] {
			t.Fatalf("key %v ran, and somebody was told that it did not", k)
		}
	}
}

// TestAtMostOnce runs random histories. For more of them:
//
//	go test ./pimentokey -run TestAtMostOnce -rapid.checks=100000
func TestAtMostOnce(t *testing.T) {
	told := make(map[string]map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(3)
		for range 3 {
			k, _ := h.procs[0].ledger.Issue(testScope)
			h.issued = append(h.issued, k)
		}
		actions := h.actions()
		for _, frequent := range []string{"send", "write", "settle", "deliver"} {
			actions[frequent+" more"] = actions[frequent]
		}
		actions[""] = h.check
		for range 3 {
			t.Repeat(actions)
		}
		h.count(told)
	})
	for faults, what := range told {
		t.Logf("%s: callers were told %v", faults, what)
	}
}

// count adds what callers were told to the histories with the same faults.
func (h *history) count(told map[string]map[string]int) {
	name := fmt.Sprintf("planned stops %t, losses or crashes %t", h.stops > 0, h.faults > 0)
	if told[name] == nil {
		told[name] = make(map[string]int)
	}
	for what, n := range h.told {
		told[name][what] += n
	}
}

// TestPlannedStopDeniesNothing runs histories whose only faults are planned
// stops with a live successor and messages that arrive in order. No caller is
// then told anything but the answer.
func TestPlannedStopDeniesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(3)
		actions := h.actions()
		for _, fault := range []string{"lose", "crash", "abandon", "offer again", "deliver", "stop", "settle", "write"} {
			delete(actions, fault)
		}
		actions["settle"] = func(t *rapid.T) { h.settleAll(t) }
		actions["stop"] = func(t *rapid.T) { h.replace(t) }
		actions[""] = func(t *rapid.T) {
			for len(h.messages) > 0 {
				m := h.messages[0]
				h.messages = h.messages[1:]
				h.deliver(t, m)
			}
			h.check(t)
			if h.told["no"]+h.told["unknown"] > 0 {
				t.Fatalf("callers were told %v", h.told)
			}
		}
		t.Repeat(actions)
	})
}

// settleAll runs and answers all pending dispatches.
func (h *history) settleAll(t *rapid.T) {
	for _, d := range h.pending {
		d.written = true
		h.runs[d.key]++
		h.settle(t, d, false)
	}
	h.pending = nil
}

// replace stops a process whose successor lives, and starts another one, which
// hears who holds which range.
func (h *history) replace(t *rapid.T) {
	var open []*process
	for _, p := range h.live() {
		if !p.stopped {
			open = append(open, p)
		}
	}
	if len(open) < 2 {
		t.Skip("too few")
	}
	p, next := open[0], open[1]
	p.stopped = true
	p.ledger.MaxBytes = 1 << 20
	p.ledger.Stop()
	p.offer = p.ledger.Export(1 << 20)
	p.next = next.inc
	next.ledger.MaxBytes = 1 << 20
	h.deliver(t, message{to: next.inc, from: p.inc, offer: p.offer})
	p.directory.SetHolder(p.inc, next.inc)
	h.spawn()
	for _, other := range h.live() {
		h.deliver(t, message{to: other.inc, from: next.inc, held: next.ledger.HeldIssuers()})
	}
}
