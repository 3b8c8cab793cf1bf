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
	procs           []*process
	lastIncarnation Incarnation
	messages        []message
	issued          []Key
	pending         []*dispatch

	runs           map[Key]int  // The oracle: how often each key has run.
	reportedNotRun map[Key]bool // Keys of which somebody has said "not run".
	replies        map[string]int
	stops          int // Planned stops so far.
	faults         int // Other faults so far.
}

// process is one run of one process, with the part of an entry that decides
// where a key goes.
type process struct {
	inc         Incarnation
	ledger      *Ledger
	directory   Directory
	dead        bool
	stopped     bool
	successor   Incarnation // The successor that was offered the ranges.
	exported    []Range
	adoptedFrom map[Incarnation]Incarnation // Where adopted ranges came from.
}

// dispatch is a request that a process was allowed to run.
type dispatch struct {
	p        *process
	key      Key
	executed bool // The target has run it.
}

// message is one message between two processes.
type message struct {
	to          Incarnation
	from        Incarnation
	request     *Key
	ranges      []Range
	heldIssuers []Incarnation
	resolvedKey *Key
	outcome     Outcome
	response    *Response
}

var testScope = Scope{Service: "s", Organisation: "o"}

const testFingerprint = 7

func newHistory(n int) *history {
	h := &history{runs: make(map[Key]int), reportedNotRun: make(map[Key]bool), replies: make(map[string]int)}
	for range n {
		h.spawn()
	}
	return h
}

func (h *history) spawn() *process {
	h.lastIncarnation++
	p := &process{inc: h.lastIncarnation, ledger: NewLedger(h.lastIncarnation, Secret{uint64(h.lastIncarnation), 1}), adoptedFrom: make(map[Incarnation]Incarnation)}
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

// skipMost skips most calls, so that histories have few faults and much else.
func skipMost(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "rare") != 0 {
		t.Skip("rare")
	}
}

// recordReply notes what a caller is told about a key, and checks it against the oracle.
func (h *history) recordReply(t *rapid.T, k Key, reply string) {
	h.replies[reply]++
	switch reply {
	case "no":
		h.reportedNotRun[k] = true
	case "yes":
		if h.runs[k] != 1 {
			t.Fatalf("key %v: told that it ran, and it ran %d times", k, h.runs[k])
		}
	}
}

// handleRequest lets a process take a request with a key.
func (h *history) handleRequest(t *rapid.T, p *process, k Key, forwarded bool) {
	d, resp := p.ledger.Begin(k, testScope, testFingerprint)
	switch d {
	case DecisionDispatch:
		h.pending = append(h.pending, &dispatch{p: p, key: k})
	case DecisionWait:
	case DecisionReplay:
		if string(resp.Body) != k.String() {
			t.Fatalf("key %v: answer of another key", k)
		}
		h.recordReply(t, k, "yes")
	case DecisionEvicted:
		h.recordReply(t, k, "yes")
	case DecisionVoid, DecisionForged:
		h.recordReply(t, k, "no")
	case DecisionMismatch:
		t.Fatalf("key %v: the same request is taken for another one", k)
	case DecisionNotHeld:
		h.forward(t, p, k, forwarded)
	case DecisionStopped:
		if p.successor == 0 {
			h.recordReply(t, k, "no")
			return
		}
		h.messages = append(h.messages, message{to: p.successor, request: &k})
	default:
		h.recordReply(t, k, "unknown")
	}
}

func (h *history) forward(t *rapid.T, p *process, k Key, forwarded bool) {
	holder := p.directory.Holder(k.Issuer)
	if forwarded || h.find(holder) == nil || holder == p.inc {
		h.recordReply(t, k, "unknown")
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
		h.handleRequest(t, p, *m.request, true)
	case m.ranges != nil:
		h.adopt(p, m)
	case m.heldIssuers != nil:
		for _, issuer := range m.heldIssuers {
			p.directory.SetHolder(issuer, m.from)
		}
	case m.resolvedKey != nil:
		p.ledger.ResolveRemote(*m.resolvedKey, m.outcome, m.response)
		if p.successor != 0 {
			h.messages = append(h.messages, message{to: p.successor, resolvedKey: m.resolvedKey, outcome: m.outcome, response: m.response})
		}
	}
}

func (h *history) adopt(p *process, m message) {
	for _, r := range m.ranges {
		if p.ledger.Adopt(r) == nil {
			p.adoptedFrom[r.Issuer] = m.from
		}
	}
	for _, other := range h.live() {
		h.messages = append(h.messages, message{to: other.inc, from: p.inc, heldIssuers: p.ledger.HeldIssuers()})
	}
}

// resolve ends a dispatch with what is true of it, or with "unknown".
func (h *history) resolve(t *rapid.T, d *dispatch, lost bool) {
	o := OutcomeNotExecuted
	var resp *Response
	if d.executed {
		o = OutcomeExecuted
		resp = &Response{Body: []byte(d.key.String())}
	}
	if lost {
		o, resp = OutcomeUnknown, nil
	}
	d.p.ledger.Resolve(d.key, o, resp)
	if d.p.successor != 0 {
		h.messages = append(h.messages, message{to: d.p.successor, resolvedKey: &d.key, outcome: o, response: resp})
	}
	h.recordReply(t, d.key, map[Outcome]string{OutcomeNotExecuted: "no", OutcomeExecuted: "yes", OutcomeUnknown: "unknown"}[o])
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
			h.handleRequest(t, p, k, false)
		},
		"write": func(t *rapid.T) {
			d := drawFrom(t, h.pending, "dispatch")
			if d.p.dead || d.executed {
				t.Skip("no")
			}
			d.executed = true
			h.runs[d.key]++
		},
		"settle": func(t *rapid.T) {
			i := rapid.IntRange(0, max(len(h.pending)-1, 0)).Draw(t, "dispatch")
			if i >= len(h.pending) || h.pending[i].p.dead {
				t.Skip("no")
			}
			d := h.pending[i]
			h.pending = slices.Delete(h.pending, i, i+1)
			h.resolve(t, d, rapid.Bool().Draw(t, "lost"))
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
			skipMost(t)
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
			skipMost(t)
			h.stop(t, p)
		},
		"offer again": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			if p.successor == 0 {
				t.Skip("none")
			}
			h.messages = append(h.messages, message{to: p.successor, from: p.inc, ranges: p.exported})
		},
		"crash": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			skipMost(t)
			p.dead = true
			h.faults++
			h.spawn()
		},
		"abandon": func(t *rapid.T) {
			p := drawFrom(t, h.live(), "process")
			for issuer, from := range p.adoptedFrom {
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
	p.exported = p.ledger.Export(2 * recordBytes)
	var others []Incarnation
	for _, other := range h.procs {
		if other != p {
			others = append(others, other.inc)
		}
	}
	p.successor = drawFrom(t, others, "successor")
	h.messages = append(h.messages, message{to: p.successor, from: p.inc, ranges: p.exported})
	for _, other := range h.live() {
		h.messages = append(h.messages, message{to: other.inc, from: p.successor, heldIssuers: p.ledger.HeldIssuers()})
	}
}

// check is the oracle: no key runs twice, and none runs of which somebody has
// said "not run".
func (h *history) check(t *rapid.T) {
	for k, n := range h.runs {
		if n > 1 {
			t.Fatalf("key %v ran %d times", k, n)
		}
		if h.reportedNotRun[k] {
			t.Fatalf("key %v ran, and somebody was told that it did not", k)
		}
	}
}

// TestAtMostOnce runs random histories. For more of them:
//
//	go test ./pimentokey -run TestAtMostOnce -rapid.checks=100000
func TestAtMostOnce(t *testing.T) {
	replies := make(map[string]map[string]int)
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
		h.addReplies(replies)
	})
	for faults, counts := range replies {
		t.Logf("%s: callers were told %v", faults, counts)
	}
}

// addReplies adds what callers were told to the histories with the same faults.
func (h *history) addReplies(totals map[string]map[string]int) {
	name := fmt.Sprintf("planned stops %t, losses or crashes %t", h.stops > 0, h.faults > 0)
	if totals[name] == nil {
		totals[name] = make(map[string]int)
	}
	for reply, n := range h.replies {
		totals[name][reply] += n
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
		actions["settle"] = func(t *rapid.T) { h.resolveAll(t) }
		actions["stop"] = func(t *rapid.T) { h.replaceProcess(t) }
		actions[""] = func(t *rapid.T) {
			for len(h.messages) > 0 {
				m := h.messages[0]
				h.messages = h.messages[1:]
				h.deliver(t, m)
			}
			h.check(t)
			if h.replies["no"]+h.replies["unknown"] > 0 {
				t.Fatalf("callers were told %v", h.replies)
			}
		}
		t.Repeat(actions)
	})
}

// resolveAll runs and answers all pending dispatches.
func (h *history) resolveAll(t *rapid.T) {
	for _, d := range h.pending {
		d.executed = true
		h.runs[d.key]++
		h.resolve(t, d, false)
	}
	h.pending = nil
}

// replaceProcess stops a process whose successor lives, and starts another one, which
// hears who holds which range.
func (h *history) replaceProcess(t *rapid.T) {
	var open []*process
	for _, p := range h.live() {
		if !p.stopped {
			open = append(open, p)
		}
	}
	if len(open) < 2 {
		t.Skip("too few")
	}
	p, successor := open[0], open[1]
	p.stopped = true
	p.ledger.MaxBytes = 1 << 20
	p.ledger.Stop()
	p.exported = p.ledger.Export(1 << 20)
	p.successor = successor.inc
	successor.ledger.MaxBytes = 1 << 20
	h.deliver(t, message{to: successor.inc, from: p.inc, ranges: p.exported})
	p.directory.SetHolder(p.inc, successor.inc)
	h.spawn()
	for _, other := range h.live() {
		h.deliver(t, message{to: other.inc, from: successor.inc, heldIssuers: successor.ledger.HeldIssuers()})
	}
}
