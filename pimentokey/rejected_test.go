package pimentokey

import "testing"

// world is the state of a small model of a design: who may dispatch one
// request, and how often it ran.
type world struct {
	runs    int
	refused int
	clock   int
	leased  [2]bool
	dead    bool // The other failure domain is gone.
}

// step is one atomic step of a process. Between two steps a process can pause.
type step func(w *world)

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
			{func(w *world) { w.leased[0] = w.clock < 1 }, func(w *world) { w.runIf(w.leased[0]) }},
			{func(w *world) { w.leased[1] = w.clock >= 1 }, func(w *world) { w.runIf(w.leased[1]) }},
			{func(w *world) { w.clock++ }},
		},
		runsTwice: true,
	},
	{
		// The owner is a hash over the list of VMs. The caller sends to both
		// entries, whose lists differ.
		name: "owner by hash of the list",
		processes: [][]step{
			{func(w *world) { w.runIf(ownerOf([]int{0, 1}) == 0) }},
			{func(w *world) { w.runIf(ownerOf([]int{1}) == 1) }},
		},
		runsTwice: true,
	},
	{
		// A majority of four entries in two domains must agree. One domain may
		// go at any time.
		name: "claim at a majority",
		processes: [][]step{
			{func(w *world) { w.runIf(w.votes() >= 3) }},
			{func(w *world) { w.dead = true }},
		},
		refuses: true,
	},
	{
		// The key names the only process that may dispatch, and the other one
		// passes the request to it. The same faults as above.
		name: "issuer of the key",
		processes: [][]step{
			{func(w *world) { w.leased[0] = w.runs == 0 && !w.leased[0] }, func(w *world) { w.runIf(w.leased[0]) }},
			{func(w *world) {}, func(w *world) {}},
			{func(w *world) { w.clock++ }, func(w *world) { w.dead = true }},
		},
	},
}

func (w *world) runIf(ok bool) {
	if ok {
		w.runs++
	} else {
		w.refused++
	}
}

func (w *world) votes() int {
	if w.dead {
		return 2
	}
	return 4
}

func ownerOf(list []int) int { return list[0] }

// explore steps the processes in every order, and reports what may come of it.
func (d *design) explore(w world, at []int, twice, refuses *bool) {
	done := true
	for i, p := range d.processes {
		if at[i] == len(p) {
			continue
		}
		done = false
		next := w
		p[at[i]](&next)
		at[i]++
		d.explore(next, at, twice, refuses)
		at[i]--
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
		d.explore(world{}, make([]int, len(d.processes)), &twice, &refuses)
		if twice != d.runsTwice || (d.refuses && !refuses) {
			t.Errorf("%s: runs twice %t, refuses %t", d.name, twice, refuses)
		}
	}
}
