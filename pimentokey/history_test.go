package pimentokey

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// history is a random execution of several processes with ledgers, with injected
// faults and an oracle. A process that isn't scheduled is stalled; messages stay
// queued until they are delivered, and may be lost or duplicated.
type history struct {
	procs           []*process
	lastIncarnation Incarnation
	messages        []message
	issued          []Key
	pending         []*dispatch

	executions          map[Key]int  // The oracle: how often each key was executed.
	reportedNotExecuted map[Key]bool // Keys that were reported as not executed.
	replies             map[string]int
	stops               int // Planned stops so far.
	faults              int // Other faults so far.
}

// process is one incarnation of an entry's process, with the entry's logic for
// forwarding a key to its holder.
type process struct {
	inc         Incarnation
	ledger      *Ledger
	directory   Directory
	dead        bool
	stopped     bool
	successor   Incarnation // The process to which the ranges were offered.
	exported    []Range
	adoptedFrom map[Incarnation]Incarnation // Previous holders of adopted ranges, by issuer.
}

// dispatch is a request for which Begin returned DecisionDispatch.
type dispatch struct {
	p        *process
	key      Key
	executed bool // The target has executed the request.
}

// message is a message between two processes. One of request, ranges, heldIssuers and
// resolvedKey is set; outcome and response belong to resolvedKey.
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
	h := &history{executions: make(map[Key]int), reportedNotExecuted: make(map[Key]bool), replies: make(map[string]int)}
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

// skipMost skips seven of eight calls, so that faults are rare in a history.
func skipMost(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "rare") != 0 {
		t.Skip("rare")
	}
}

// recordReply counts a reply to a caller and checks it against the oracle. The reply
// is "yes" (executed), "no" (not executed) or "unknown".
func (h *history) recordReply(t *rapid.T, k Key, reply string) {
	h.replies[reply]++
	switch reply {
	case "no":
		h.reportedNotExecuted[k] = true
	case "yes":
		if h.executions[k] != 1 {
			t.Fatalf("key %v: reported as executed, but was executed %d times", k, h.executions[k])
		}
	}
}

// handleRequest processes a request with a key that arrives at p.
func (h *history) handleRequest(t *rapid.T, p *process, k Key, forwarded bool) {
	d, resp := p.ledger.Begin(k, testScope, testFingerprint)
	switch d {
	case DecisionDispatch:
		h.pending = append(h.pending, &dispatch{p: p, key: k})
	case DecisionWait:
	case DecisionReplay:
		if string(resp.Body) != k.String() {
			t.Fatalf("key %v: response of another key", k)
		}
		h.recordReply(t, k, "yes")
	case DecisionEvicted:
		h.recordReply(t, k, "yes")
	case DecisionVoid, DecisionForged:
		h.recordReply(t, k, "no")
	case DecisionMismatch:
		t.Fatalf("key %v: mismatch reported for the same request", k)
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

// deliver processes a message at its receiver, if that is alive.
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

// resolve ends a dispatch with its true outcome, or with OutcomeUnknown if lost is set.
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

// actions returns the possible steps of a history.
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
			h.executions[d.key]++
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

// stop begins a planned stop. Like an entry's list of peers, the list from which the
// successor is chosen may be stale and name a process that is dead or has stopped.
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

// check fails if a key was executed twice, or was executed although it was reported
// as not executed.
func (h *history) check(t *rapid.T) {
	for k, n := range h.executions {
		if n > 1 {
			t.Fatalf("key %v was executed %d times", k, n)
		}
		if h.reportedNotExecuted[k] {
			t.Fatalf("key %v was executed, but reported as not executed", k)
		}
	}
}

// TestAtMostOnce checks random histories. To check more of them:
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
		t.Logf("%s: replies to callers %v", faults, counts)
	}
}

// addReplies adds the counts of replies to the totals of histories with the same kinds
// of faults.
func (h *history) addReplies(totals map[string]map[string]int) {
	name := fmt.Sprintf("planned stops %t, losses or crashes %t", h.stops > 0, h.faults > 0)
	if totals[name] == nil {
		totals[name] = make(map[string]int)
	}
	for reply, n := range h.replies {
		totals[name][reply] += n
	}
}

// TestPlannedStopDeniesNothing checks histories with planned stops only, each with a
// live successor and with messages that arrive in order. Every caller must then get
// the response.
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
				t.Fatalf("replies to callers %v, want executed only", h.replies)
			}
		}
		t.Repeat(actions)
	})
}

// resolveAll executes and resolves all pending dispatches.
func (h *history) resolveAll(t *rapid.T) {
	for _, d := range h.pending {
		d.executed = true
		h.executions[d.key]++
		h.resolve(t, d, false)
	}
	h.pending = nil
}

// replaceProcess stops a process in favour of a live successor and starts a new one.
// All processes receive the successor's list of held ranges.
func (h *history) replaceProcess(t *rapid.T) {
	var running []*process
	for _, p := range h.live() {
		if !p.stopped {
			running = append(running, p)
		}
	}
	if len(running) < 2 {
		t.Skip("too few")
	}
	p, successor := running[0], running[1]
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
