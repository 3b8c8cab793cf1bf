package pimentoload

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// newWaiter returns a request that came at a time.
func newWaiter(at time.Duration, priority int, caller string) *Waiter {
	return &Waiter{Priority: priority, Regions: AllRegions, Since: at, Objective: at + 500*ms, Deadline: at + 5*time.Second, Work: 100 * ms, Bytes: 1, Caller: caller}
}

// joined lets requests arrive and wait, in order.
func joined(l *Line, list ...*Waiter) {
	for _, w := range list {
		l.Arrive(w.Since, w)
		l.Join(w.Since, w)
	}
}

func TestLineOrder(t *testing.T) {
	early, late := newWaiter(0, 1, "a"), newWaiter(10*ms, 1, "b")
	urgent := newWaiter(20*ms, 0, "c")
	bound := newWaiter(30*ms, 1, "d")
	bound.Regions = 1
	long := newWaiter(5*ms, 1, "e")
	long.Work = 300 * ms
	t.Run("urgent, then bound to regions, then longest wait", func(t *testing.T) {
		is := is.New(t)
		var l Line
		joined(&l, early, long, late, urgent, bound)
		for _, want := range []*Waiter{urgent, bound, early, long, late} {
			is.Equal(l.Next(40*ms, false), want)
		}
	})
	t.Run("under overload who can be in time with least time left", func(t *testing.T) {
		is := is.New(t)
		var l Line
		joined(&l, early, long, late)
		is.Equal(l.Next(40*ms, true), long)
		is.Equal(l.Next(405*ms, true), late) // The first one would be late.
		is.Equal(l.Next(405*ms, true), early)
	})
}

// A request that comes doesn't overtake one that waits with its rank or a higher one, unless
// no region may serve both.
func TestNoOvertaking(t *testing.T) {
	is := is.New(t)
	var l Line
	waiting := newWaiter(0, 1, "a")
	waiting.Regions = 1
	joined(&l, waiting)
	for _, c := range []struct {
		priority int
		regions  RegionSet
		asks     bool
	}{{0, AllRegions, true}, {1, AllRegions, false}, {1, 2, true}, {2, 3, false}} {
		w := newWaiter(10*ms, c.priority, "b")
		w.Regions = c.regions
		l.Arrive(10*ms, w)
		asks := l.Ask(10*ms, w)
		is.Equal(asks, c.asks)
		if asks {
			l.Ended(10*ms, w, false)
		}
	}
}

// While regions have no room, requests that only they may serve don't look for targets, and
// others do.
func TestPausedRegions(t *testing.T) {
	is := is.New(t)
	var l Line
	bound, free := newWaiter(0, 1, "a"), newWaiter(0, 1, "b")
	bound.Regions = 1
	joined(&l, bound, free)
	l.Pause(0, 0, 3, 25*ms)
	is.Equal(l.Next(10*ms, false), free)
	is.Equal(l.Next(10*ms, false), nil)
	is.Equal(l.Next(25*ms, false), bound)
}

// Regions without room for a request may have room for a more urgent one, which doesn't wait
// for it.
func TestPauseOfLessUrgent(t *testing.T) {
	is := is.New(t)
	var l Line
	joined(&l, newWaiter(0, 1, "a"))
	l.Pause(0, 1, AllRegions, 25*ms)
	urgent, other := newWaiter(ms, 0, "b"), newWaiter(ms, 2, "b")
	l.Arrive(ms, urgent)
	l.Arrive(ms, other)
	is.True(l.Ask(ms, urgent))
	is.True(!l.Ask(ms, other))
	l.Ended(ms, urgent, false)
	l.Pause(ms, 0, AllRegions, 25*ms)
	l.Join(ms, urgent)
	is.Equal(l.Next(2*ms, false), nil)
}

// No kind starves, and a less urgent one doesn't get more turns than a more urgent one.
func TestNoKindStarves(t *testing.T) {
	is := is.New(t)
	var l Line
	turns := make(map[int]int)
	for range 800 {
		for p := range 4 {
			joined(&l, newWaiter(0, p, "a"))
		}
		w := l.Next(0, false)
		turns[w.Priority]++
		l.Ended(0, w, true)
	}
	is.True(turns[0] >= 800*(fairEvery-1)/fairEvery)
	for p := 1; p < 4; p++ {
		is.True(turns[p] >= 800/fairEvery/4)
		is.True(turns[p] <= turns[0])
	}
}

// While targets are looked for at the same time for several requests, one in fairEvery turns
// goes out of order all the same, and such a turn without a target isn't lost.
func TestOneFairTurnAtATime(t *testing.T) {
	is := is.New(t)
	var l Line
	const askers = 3
	turns := make(map[int]int)
	for range 400 {
		var asking []*Waiter
		for range askers {
			joined(&l, newWaiter(0, 0, "a"), newWaiter(0, 1, "a"))
			asking = append(asking, l.Next(0, false))
		}
		for _, w := range asking {
			turns[w.Priority]++
			l.Ended(0, w, true)
		}
	}
	total := turns[0] + turns[1]
	is.True(turns[1] <= total/fairEvery+1)
	is.True(turns[1] >= total/fairEvery/2)
	w := l.Next(0, false)
	for !w.Fair {
		l.Ended(0, w, true)
		w = l.Next(0, false)
	}
	l.Ended(0, w, false)
	l.Join(0, w)
	is.True(l.Next(0, false).Fair)
}

// A caller that sends many requests gets its turn after the others of its priority, and is
// forgotten later.
func TestGreedyCaller(t *testing.T) {
	is := is.New(t)
	var l Line
	for i := range 20 {
		l.Arrive(0, newWaiter(0, 1, fmt.Sprint(i)))
	}
	for range 200 {
		l.Arrive(0, newWaiter(0, 1, "greedy"))
	}
	greedy, other := newWaiter(10*ms, 1, "greedy"), newWaiter(20*ms, 1, "0")
	joined(&l, greedy, other)
	is.Equal(l.Next(30*ms, false), other)
	is.Equal(l.Next(30*ms, false), greedy)
	later := 3 * callerMemory
	greedy, other = newWaiter(later, 1, "greedy"), newWaiter(later+ms, 1, "0")
	joined(&l, greedy, other)
	is.Equal(l.Next(later+ms, false), greedy)
}

// A caller that holds most of the line gets its turn after the others.
func TestHoldingCaller(t *testing.T) {
	is := is.New(t)
	var l Line
	joined(&l, newWaiter(0, 1, "a"))
	for range 30 {
		joined(&l, newWaiter(0, 1, "holder"))
	}
	other := newWaiter(10*ms, 1, "b")
	joined(&l, other)
	n := 0
	for l.Next(20*ms, false) != other {
		n++
	}
	is.True(n <= greedyHeld*2+2)
}

func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	var cs Callers
	for i := range 10 * maxCallers {
		cs.Observe(0, fmt.Sprint(i))
	}
	is.Equal(len(cs.current.byCaller), maxCallers)
	cs.Observe(3*callerMemory, "a")
	is.Equal(len(cs.current.byCaller)+len(cs.last.byCaller), 1)
}

// oracle is a line without indexes.
type oracle struct {
	waiting []*Waiter
	turns   int
	passed  map[classKey]int
}

func (o *oracle) remove(w *Waiter) {
	o.waiting = slices.DeleteFunc(o.waiting, func(x *Waiter) bool { return x == w })
	if !slices.ContainsFunc(o.waiting, func(x *Waiter) bool { return x.class.classKey == w.class.classKey }) {
		delete(o.passed, w.class.classKey)
	}
}

// order compares two requests: who comes first under normal load.
func (o *oracle) order(a, b *Waiter) int {
	ka, kb := a.class.classKey, b.class.classKey
	flag := func(set bool) int {
		if set {
			return 1
		}
		return 0
	}
	return cmp.Or(ka.priority-kb.priority, flag(ka.greedy)-flag(kb.greedy), flag(ka.returned)-flag(kb.returned), bits.OnesCount64(uint64(ka.regions))-bits.OnesCount64(uint64(kb.regions)),
		cmp.Compare(ka.regions, kb.regions), cmp.Compare(a.Since, b.Since), cmp.Compare(a.seq, b.seq))
}

// next returns the request whose turn it is.
func (o *oracle) next(now time.Duration, overload bool) *Waiter {
	if len(o.waiting) == 0 {
		return nil
	}
	slices.SortFunc(o.waiting, o.order)
	class := o.waiting[0].class.classKey
	if o.turns >= fairEvery-1 {
		most := -1
		for _, w := range o.waiting {
			if p := o.passed[w.class.classKey]; p > most {
				most, class = p, w.class.classKey
			}
		}
	}
	var best *Waiter
	for _, w := range o.waiting {
		if w.class.classKey != class {
			continue
		}
		inTime := overload && w.latestStart() >= now
		switch {
		case best == nil:
			best = w
		case inTime && (best.latestStart() < now || compareTimes(w, best) < 0):
			best = w
		}
	}
	return best
}

// A line does what the oracle does with any history, and keeps its bounds.
func TestLineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Line{MaxLength: 20, MaxBytes: 60}
		o := oracle{passed: make(map[classKey]int)}
		now := time.Duration(0)
		pressing := false
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				w := newWaiter(now, rapid.IntRange(0, 3).Draw(t, "priority"), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "caller")))
				w.Regions = rapid.SampledFrom([]RegionSet{AllRegions, 1, 2, 3}).Draw(t, "regions")
				w.Work = time.Duration(rapid.IntRange(10, 400).Draw(t, "work")) * ms
				w.Bytes = rapid.IntRange(0, 10).Draw(t, "bytes")
				w.Returned = rapid.Bool().Draw(t, "returned")
				l.Arrive(now, w)
				l.Join(now, w)
				o.waiting = append(o.waiting, w)
				slices.SortFunc(o.waiting, o.order)
				for out := l.Overflow(now); out != nil; out = l.Overflow(now) {
					if last := o.waiting[len(o.waiting)-1]; out != last {
						t.Fatalf("%v has to leave, not the last %v", out, last)
					}
					o.remove(out)
				}
				for i, w := range o.waiting {
					if l.Position(w) != i {
						t.Fatalf("position %d, want %d", l.Position(w), i)
					}
				}
			case 3:
				want := o.next(now, pressing)
				got := l.Next(now, pressing)
				if got != want {
					t.Fatalf("next is %v, want %v", got, want)
				}
				if got == nil {
					break
				}
				o.remove(got)
				if l.Ended(now, got, true); got.Fair {
					o.turns = 0
				} else {
					o.turns++
				}
				delete(o.passed, got.class.classKey)
				seen := make(map[classKey]bool)
				for _, w := range o.waiting {
					if k := w.class.classKey; k != got.class.classKey && !seen[k] {
						seen[k] = true
						o.passed[k]++
					}
				}
			case 4:
				if len(o.waiting) > 0 {
					w := rapid.SampledFrom(o.waiting).Draw(t, "leaves")
					if !l.Leave(now, w) || l.Leave(now, w) {
						t.Fatal("it didn't leave once")
					}
					o.remove(w)
				}
			case 5:
				pressing = !pressing
			case 6:
				if len(o.waiting) > 0 {
					w := rapid.SampledFrom(o.waiting).Draw(t, "moves")
					o.remove(w)
					again := rapid.Bool().Draw(t, "joins again")
					if again {
						l.Leave(now, w)
					}
					l.SetRegions(w, rapid.SampledFrom([]RegionSet{AllRegions, 1, 2, 3}).Draw(t, "regions"))
					if again {
						l.Join(now, w)
					}
					o.waiting = append(o.waiting, w)
					slices.SortFunc(o.waiting, o.order)
				}
			}
			bytes := 0
			for _, w := range o.waiting {
				bytes += w.Bytes
			}
			if l.Length() != len(o.waiting) || l.Bytes() != bytes || l.Length() > l.MaxLength || l.Bytes() > l.MaxBytes {
				t.Fatalf("%d wait and hold %d bytes, want %d and %d", l.Length(), l.Bytes(), len(o.waiting), bytes)
			}
		}
	})
}

// BenchmarkLine measures one decision while 1,000 requests wait: one leaves with a target, and
// the next one joins.
func BenchmarkLine(b *testing.B) {
	var l Line
	for i := range 1000 {
		joined(&l, newWaiter(time.Duration(i)*ms/10, i%8, fmt.Sprint(i%100)))
	}
	now := 100 * ms
	b.ReportAllocs()
	for b.Loop() {
		now += 10 * time.Microsecond
		w := l.Next(now, true)
		l.Ended(now, w, true)
		w.Since, w.Objective = now, now+500*ms
		l.Arrive(now, w)
		if !l.Ask(now, w) {
			l.Join(now, w)
		}
		if out := l.Shed(now, w); out != nil {
			l.Join(now, out)
		}
	}
}
