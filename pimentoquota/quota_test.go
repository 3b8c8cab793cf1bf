package pimentoquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

var testBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

var testLimits = map[pimentoregister.OrganisationName]Limit{
	"large": {Rate: 136, Burst: 40}, "middle": {Rate: 12, Burst: 12}, "small": {Rate: 2, Burst: 4},
}

var testNames = []pimentoregister.OrganisationName{"large", "middle", "small"}

// In calm times at least 95% of what lies within a quota is admitted, whether an
// organisation asks for less than its rate or for more, and wherever its requests arrive.
func TestCalm(t *testing.T) {
	for _, entries := range []int{2, 20, 123} {
		for _, load := range []float64{0.6, 0.9, 1.5, 3} {
			t.Run(fmt.Sprint(entries, " entries, load ", load), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(7, entries, min(entries, 6), testBounds, testLimits)
				f.run(8 * time.Second)
				for _, name := range testNames {
					l := testLimits[name]
					f.demand(name, f.now, f.now+30*time.Second, load*l.Rate, f.anyEntry)
				}
				asks := f.asks
				f.run(40 * time.Second)
				for name, l := range testLimits {
					owed := within(f.asked[name], l)
					t.Logf("%s: %d asked, %d within, %d sent, excess %.1f, %d asks/s", name, len(f.asked[name]), owed, len(f.sends[name]), excess(f.sends[name], testBounds, l), (f.asks-asks)/32)
					is.True(excess(f.sends[name], testBounds, l) <= 0)
					is.True(len(f.sends[name]) >= owed*95/100)
				}
			})
		}
	}
}

// Whatever is lost, cut off, late, stalled or restarted, no window has more sends than may
// run, over all entries.
func TestHistories(t *testing.T) {
	for _, entries := range []int{2, 20, 123} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { checkHistory(rt, entries) })
		})
	}
}

func checkHistory(rt *rapid.T, entries int) {
	f := newFleet(rapid.Uint64().Draw(rt, "seed"), entries, min(entries, 6), testBounds, testLimits)
	length := 12 * time.Second
	hot := f.entries[f.rng.IntN(entries)]
	pick := f.anyEntry
	if rapid.Bool().Draw(rt, "moves") {
		pick = func() *testEntry {
			if f.now > length/2 && f.rng.IntN(4) > 0 {
				return hot
			}
			return f.anyEntry()
		}
	}
	load := rapid.Float64Range(0.5, 4).Draw(rt, "load")
	idle := time.Duration(rapid.IntRange(0, 8).Draw(rt, "idle s")) * time.Second
	for _, name := range testNames {
		f.demand(name, idle, length, load*testLimits[name].Rate, pick)
	}
	f.addFaults(rt, length)
	f.run(length + 2*time.Second)
	for name, l := range testLimits {
		if over := excess(f.sends[name], testBounds, l); over > 0 {
			rt.Fatalf("%s: %.1f sends too many in a window", name, over)
		}
	}
}

// addFaults draws faults and their times.
func (f *fleet) addFaults(rt *rapid.T, length time.Duration) {
	type span struct {
		kind     int
		from, to time.Duration
		a, b     int
	}
	var spans []span
	for range rapid.IntRange(0, 8).Draw(rt, "faults") {
		from := time.Duration(rapid.IntRange(0, int(length/time.Millisecond)).Draw(rt, "at ms")) * time.Millisecond
		s := span{
			kind: rapid.IntRange(0, 7).Draw(rt, "kind"), from: from,
			to: from + time.Duration(rapid.IntRange(50, 6000).Draw(rt, "for ms"))*time.Millisecond,
			a:  rapid.IntRange(0, 5).Draw(rt, "a"), b: rapid.IntRange(0, 5).Draw(rt, "b"),
		}
		spans = append(spans, s)
		switch s.kind {
		case 0, 1: // Entries of a domain, or every third one, die, and start again.
			for i, e := range f.entries {
				if (s.kind == 0 && e.domain == s.a) || (s.kind == 1 && i%3 == s.b%3) {
					f.at(s.from, func() { e.down = true })
					f.at(s.to, func() { f.start(e) })
				}
			}
		case 7: // All die, and start again together.
			for _, e := range f.entries {
				f.at(s.from, func() { e.down = true })
				f.at(s.to, func() { f.start(e) })
			}
		case 2: // Every fourth entry stands still.
			for i, e := range f.entries {
				if i%4 == s.a%4 {
					f.at(s.from, func() { e.stalled = max(e.stalled, s.to) })
				}
			}
		}
	}
	active := func(kind int, visit func(s *span) bool) bool {
		for i := range spans {
			if s := &spans[i]; s.kind == kind && s.from <= f.now && f.now < s.to && visit(s) {
				return true
			}
		}
		return false
	}
	f.cut = func(from, to *testEntry) bool {
		return active(3, func(s *span) bool { return (from.domain == s.a) != (to.domain == s.a) }) || // One domain is cut off.
			active(4, func(s *span) bool { return from.domain == s.a && to.domain == s.b }) || // One direction.
			active(5, func(s *span) bool { // A bridge: a and b reach the others.
				return (from.domain == s.a && to.domain == s.b) || (from.domain == s.b && to.domain == s.a)
			})
	}
	usual := f.delay
	f.delay = func(from, to *testEntry) time.Duration {
		d := usual(from, to)
		active(6, func(s *span) bool {
			if from.domain == s.a { // Messages are late, by up to 4 s.
				d += f.jitter(4 * time.Second)
			}
			return false
		})
		return d
	}
}
