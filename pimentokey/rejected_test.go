package pimentokey

import "testing"

// modelState is the state of a small model of a design: which process may dispatch a
// request, and how often the request was executed.
type modelState struct {
	executions int
	refused    int
	clock      int
	claimed    [2]bool
	domainDown bool // The other failure domain has failed.
}

// step is one atomic step of a process. Between two steps a process may stall.
type step func(w *modelState)

// design is a model of a way to execute a request at most once. Its processes are
// stepped in every possible order.
type design struct {
	name      string
	processes [][]step
	// executesTwice is set if and only if some order ends with two executions.
	// refuses is set if the test requires an order that ends with a refusal and no
	// execution; if it isn't set, the test doesn't check for such orders.
	executesTwice, refuses bool
}

var designs = []design{
	{
		// A process may dispatch while its lease is valid. It stalls between
		// reading the clock and writing the request.
		name: "lease with a clock",
		processes: [][]step{
			{func(w *modelState) { w.claimed[0] = w.clock < 1 }, func(w *modelState) { w.executeIf(w.claimed[0]) }},
			{func(w *modelState) { w.claimed[1] = w.clock >= 1 }, func(w *modelState) { w.executeIf(w.claimed[1]) }},
			{func(w *modelState) { w.clock++ }},
		},
		executesTwice: true,
	},
	{
		// The owner is chosen by a hash over the list of VMs. The caller sends to
		// both entries, whose lists differ.
		name: "owner by hash of the list",
		processes: [][]step{
			{func(w *modelState) { w.executeIf(ownerOf([]int{0, 1}) == 0) }},
			{func(w *modelState) { w.executeIf(ownerOf([]int{1}) == 1) }},
		},
		executesTwice: true,
	},
	{
		// A majority of four entries in two failure domains must agree. One domain
		// may fail at any time, and the rest isn't a majority.
		name: "claim at a majority",
		processes: [][]step{
			{func(w *modelState) { w.executeIf(w.votes() >= 3) }},
			{func(w *modelState) { w.domainDown = true }},
		},
		refuses: true,
	},
	{
		// The key names the only process that may dispatch, and the other one
		// forwards the request to it. The faults are those of the designs above.
		name: "issuer of the key",
		processes: [][]step{
			{func(w *modelState) { w.claimed[0] = w.executions == 0 && !w.claimed[0] }, func(w *modelState) { w.executeIf(w.claimed[0]) }},
			{func(w *modelState) {}, func(w *modelState) {}},
			{func(w *modelState) { w.clock++ }, func(w *modelState) { w.domainDown = true }},
		},
	},
}

func (w *modelState) executeIf(ok bool) {
	if ok {
		w.executions++
	} else {
		w.refused++
	}
}

func (w *modelState) votes() int {
	if w.domainDown {
		return 2
	}
	return 4
}

func ownerOf(list []int) int { return list[0] }

// explore steps the processes in every order and sets twice and refuses if an order
// ends with two executions, or with a refusal and no execution.
func (d *design) explore(w modelState, positions []int, twice, refuses *bool) {
	done := true
	for i, p := range d.processes {
		if positions[i] == len(p) {
			continue
		}
		done = false
		next := w
		p[positions[i]](&next)
		positions[i]++
		d.explore(next, positions, twice, refuses)
		positions[i]--
	}
	if done {
		*twice = *twice || w.executions > 1
		*refuses = *refuses || w.executions == 0 && w.refused > 0
	}
}

// TestRejectedDesigns checks that each rejected design fails for some order of steps,
// and that the chosen design never executes a request twice.
func TestRejectedDesigns(t *testing.T) {
	for _, d := range designs {
		var twice, refuses bool
		d.explore(modelState{}, make([]int, len(d.processes)), &twice, &refuses)
		if twice != d.executesTwice || (d.refuses && !refuses) {
			t.Errorf("%s: executes twice %t, refuses %t", d.name, twice, refuses)
		}
	}
}
