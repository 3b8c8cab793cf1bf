package pimentokey

import "testing"

// modelState is the state of a small model of a design: who may dispatch one
// request, and how often it ran.
type modelState struct {
	runs       int
	refused    int
	clock      int
	claimed    [2]bool
	domainDown bool // The other failure domain is gone.
}

// step is one atomic step of a process. Between two steps a process can pause.
type step func(w *modelState)

// design is a model of a way to run a request once. Its processes are stepped
// in every possible order.
type design struct {
	name      string
	processes [][]step
	// runsTwice and refuses are what some order leads to.
	runsTwice, refuses bool
}

var designs = []design{
	{
		// A process may dispatch while its lease lasts. It pauses between the
		// look at the clock and the write.
		name: "lease with a clock",
		processes: [][]step{
			{func(w *modelState) { w.claimed[0] = w.clock < 1 }, func(w *modelState) { w.executeIf(w.claimed[0]) }},
			{func(w *modelState) { w.claimed[1] = w.clock >= 1 }, func(w *modelState) { w.executeIf(w.claimed[1]) }},
			{func(w *modelState) { w.clock++ }},
		},
		runsTwice: true,
	},
	{
		// The owner is a hash over the list of VMs. The caller sends to both
		// entries, whose lists differ.
		name: "owner by hash of the list",
		processes: [][]step{
			{func(w *modelState) { w.executeIf(ownerOf([]int{0, 1}) == 0) }},
			{func(w *modelState) { w.executeIf(ownerOf([]int{1}) == 1) }},
		},
		runsTwice: true,
	},
	{
		// A majority of four entries in two domains must agree. One domain may
		// go at any time.
		name: "claim at a majority",
		processes: [][]step{
			{func(w *modelState) { w.executeIf(w.votes() >= 3) }},
			{func(w *modelState) { w.domainDown = true }},
		},
		refuses: true,
	},
	{
		// The key names the only process that may dispatch, and the other one
		// passes the request to it. The same faults as above.
		name: "issuer of the key",
		processes: [][]step{
			{func(w *modelState) { w.claimed[0] = w.runs == 0 && !w.claimed[0] }, func(w *modelState) { w.executeIf(w.claimed[0]) }},
			{func(w *modelState) {}, func(w *modelState) {}},
			{func(w *modelState) { w.clock++ }, func(w *modelState) { w.domainDown = true }},
		},
	},
}

func (w *modelState) executeIf(ok bool) {
	if ok {
		w.runs++
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

// explore steps the processes in every order, and reports what may come of it.
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
		*twice = *twice || w.runs > 1
		*refuses = *refuses || w.runs == 0 && w.refused > 0
	}
}

// TestRejectedDesigns finds the order of steps that speaks against each design
// that was weighed, and none against the chosen one.
func TestRejectedDesigns(t *testing.T) {
	for _, d := range designs {
		var twice, refuses bool
		d.explore(modelState{}, make([]int, len(d.processes)), &twice, &refuses)
		if twice != d.runsTwice || (d.refuses && !refuses) {
			t.Errorf("%s: runs twice %t, refuses %t", d.name, twice, refuses)
		}
	}
}
