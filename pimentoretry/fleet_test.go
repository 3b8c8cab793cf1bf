package pimentoretry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetLimit is a limit on the retries of a fleet, as its owners state it.
type fleetLimit struct {
	entries      int
	ratio, fixed float64
	window       time.Duration
}

// usedFraction is the fraction of a limit that the entries use, as in pimentogate.
const usedFraction = 0.75

// fleetLimits are limits of deployments of several sizes.
var fleetLimits = []fleetLimit{
	{16, 0.2, 60, 10 * time.Second}, {20, 0.2, 64, 10 * time.Second}, {127, 0.2, 200, 10 * time.Second},
	{140, 0.2, 214, 10 * time.Second}, {472, 0.2, 630, 10 * time.Second},
}

// fleet is a fleet whose requests all want retries without end.
type fleet struct {
	fleetLimit
	shares    []Allowance
	startedAt []time.Duration
	requests  []int // In each step.
	retries   []int
}

// fleetStep is the time between two requests at each entry that gets any.
const fleetStep = 500 * time.Millisecond

func newFleet(l fleetLimit) *fleet {
	f := &fleet{fleetLimit: l, shares: make([]Allowance, l.entries), startedAt: make([]time.Duration, l.entries)}
	for i := range f.shares {
		f.restart(i, 0)
	}
	return f
}

// restart replaces an entry by a new start of it, which knows the size of the fleet.
func (f *fleet) restart(i int, now time.Duration) {
	f.startedAt[i] = now
	f.shares[i] = Allowance{Ratio: usedFraction * f.ratio, Fixed: usedFraction * f.fixed / float64(f.entries), Window: f.window}
}

// step lets the first n entries get a request each, and send all retries that they may.
func (f *fleet) step(n, perRequest int) {
	now, sent := f.now(), 0
	for i := range n {
		at := now - f.startedAt[i]
		f.shares[i].Earn(at)
		for range perRequest {
			if f.shares[i].Spend(at) {
				sent++
			}
		}
	}
	f.requests = append(f.requests, n)
	f.retries = append(f.retries, sent)
}

// excess returns by how much the retries of any window exceed the limit. The requests are
// those of that window, the one before it, or the one half a window before it, whichever
// has most.
func (f *fleet) excess() float64 {
	steps := int(f.window / fleetStep)
	sum := func(list []int, end int) int {
		n := 0
		for i := max(0, end-steps); i < min(end, len(list)); i++ {
			n += list[i]
		}
		return n
	}
	most := math.Inf(-1)
	for end := 1; end <= len(f.retries); end++ {
		requests := max(sum(f.requests, end), sum(f.requests, end-steps), sum(f.requests, end-steps/2))
		most = max(most, float64(sum(f.retries, end))-f.ratio*float64(requests)-f.fixed)
	}
	return most
}

// Restarts of entries, of all at once, in turn, or as drawn, don't let the retries of a
// window exceed the limit.
func TestRestartsKeepTheLimit(t *testing.T) {
	for _, l := range fleetLimits {
		t.Run(fmt.Sprint(l.entries), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := quietFleet(l)
				perRequest := rapid.IntRange(1, 4).Draw(t, "retries")
				served := rapid.IntRange(1, l.entries).Draw(t, "served")
				from, perStep := 0, 0
				for range rapid.IntRange(1, 3*int(l.window/fleetStep)).Draw(t, "steps") {
					switch rapid.IntRange(0, 5).Draw(t, "event") {
					case 0: // All end at one moment.
						f.restartAll()
					case 1: // They are replaced in turn.
						perStep = rapid.IntRange(0, l.entries).Draw(t, "rolled")
					}
					for range perStep {
						f.restart(from%l.entries, f.now())
						from++
					}
					f.step(served, perRequest)
				}
				if over := f.excess(); over > 0 {
					t.Fatalf("%.1f retries above the limit of %.0f", over, l.fixed)
				}
			})
		})
	}
}

// The same for kills of all entries at equal intervals, and for one roll of all of them in
// half a window, with a few requests for each start of an entry.
func TestKillsAndRollsKeepTheLimit(t *testing.T) {
	const perRequest = 2
	steps := int(fleetLimits[0].window / fleetStep)
	for _, l := range fleetLimits {
		for kills := range 7 {
			f := quietFleet(l)
			for step := range steps {
				if kills > 0 && step > 0 && step%(steps/(kills+1)) == 0 {
					f.restartAll()
				}
				f.step(l.entries*(step%2), perRequest) // A request each in a second.
			}
			f.check(t, fmt.Sprint(kills, " kills"))
		}
		f := quietFleet(l)
		for step := range steps {
			for i := l.entries * min(2*step, steps) / steps; i < l.entries*min(2*step+2, steps)/steps; i++ {
				f.restart(i, f.now())
			}
			f.step(l.entries*(step%2), perRequest)
		}
		f.check(t, "a roll")
	}
}

// The same for kills of all entries whose new starts don't know their shares for some time,
// where only some of them may send a retry in advance, as in pimentogate.
func TestUnknownSharesKeepTheLimit(t *testing.T) {
	const (
		perRequest   = 2
		unknownSteps = 4
		targets      = 1.8 // For each entry.
	)
	steps := int(fleetLimits[0].window / fleetStep)
	for _, l := range fleetLimits {
		may := int(usedFraction * l.fixed / 2 / targets) // Of all entries.
		for kills := 1; kills <= 4; kills++ {
			f := quietFleet(l)
			known := 0
			for step := range steps {
				if step > 0 && step%(steps/(kills+1)) == 0 {
					f.restartAll()
					known = step + unknownSteps
				}
				for i := range f.shares {
					f.shares[i].Fixed = usedFraction * l.fixed / float64(l.entries)
					if step < known {
						f.shares[i].Fixed, f.shares[i].NoAdvance = 0, i >= may
					}
				}
				f.step(l.entries*(step%2), perRequest)
			}
			f.check(t, fmt.Sprint(kills, " kills"))
		}
	}
}

// quietFleet returns a fleet that has saved what it can save.
func quietFleet(l fleetLimit) *fleet {
	f := newFleet(l)
	f.step(l.entries, 0) // Each has had a request.
	for range 4 * int(l.window/fleetStep) {
		f.step(0, 0)
	}
	return f
}

// now returns the time of the next step.
func (f *fleet) now() time.Duration { return time.Duration(len(f.requests)) * fleetStep }

func (f *fleet) restartAll() {
	for i := range f.shares {
		f.restart(i, f.now())
	}
}

// check reports retries above the limit as an error.
func (f *fleet) check(t *testing.T, what string) {
	t.Helper()
	over := f.excess()
	t.Logf("%d entries, %s: %+.1f to the limit of %.0f", f.entries, what, over, f.fixed)
	if over > 0 {
		t.Errorf("%d entries, %s: %.1f retries above the limit of %.0f", f.entries, what, over, f.fixed)
	}
}
