package pimentoload

import (
	"slices"
	"testing"
	"time"
)

// patternSeeds is the number of seeds with which each pattern is played.
const patternSeeds = 10

// burst is a load of 1.2 times what 23 targets serve that slow down from five of six
// requests on, three quarters of it reads and the rest more urgent.
func burst() loadPattern {
	const ms = time.Millisecond
	return loadPattern{
		targets: 23, slots: 6, knee: 4, kneeFactor: 1.7, length: 6 * time.Second,
		kinds: []requestKind{
			{rate: 800, work: 90 * ms, objective: 250 * ms, limit: 2500 * ms, priority: 2},
			{rate: 240, work: 120 * ms, objective: 300 * ms, limit: 3000 * ms, priority: 1},
		},
	}
}

// medianInTime returns the median over the seeds of the fractions of requests in time, by
// kind.
func medianInTime(p loadPattern) []float64 {
	byKind := make([][]float64, len(p.kinds))
	for seed := range patternSeeds {
		for k, r := range play(p, uint64(seed)) {
			byKind[k] = append(byKind[k], r.inTimeFraction())
		}
	}
	medians := make([]float64, len(p.kinds))
	for k, list := range byKind {
		slices.Sort(list)
		medians[k] = list[len(list)/2]
	}
	return medians
}

// shedding is a load that the targets could serve, of which they refuse a half although they
// have room.
func shedding() loadPattern {
	p := burst()
	p.shedding = 0.5
	p.kinds[0].rate, p.kinds[1].rate = 320, 96
	return p
}

// What requests of each kind have to get of a load, and that they don't get it with a rule
// taken out.
func TestPatterns(t *testing.T) {
	const reads, urgent = 0, 1
	none := func(*loadPattern) {}
	for _, c := range []struct {
		name    string
		pattern loadPattern
		without func(*loadPattern)
		kind    int
		inTime  float64 // At least this fraction is in time, below it without a rule.
		holds   bool
	}{
		{"urgent requests of a burst", burst(), none, urgent, 0.85, true},
		{"urgent requests of a burst, targets crowded", burst(), func(p *loadPattern) { p.withoutRoom = true }, urgent, 0.85, false},
		{"reads of a burst", burst(), none, reads, 0.6, true},
		{"reads of a burst, repeats like new ones", burst(), func(p *loadPattern) { p.withoutRepeats = true }, reads, 0.6, false},
		{"reads of a burst, callers return soon", burst(), func(p *loadPattern) { p.withoutReturn = true }, reads, 0.6, false},
		{"reads at shedding targets", shedding(), none, reads, 0.8, true},
		{"reads at shedding targets, callers return late", shedding(), func(p *loadPattern) { p.withoutReturn = true }, reads, 0.8, false},
		{"urgent requests at shedding targets", shedding(), none, urgent, 0.8, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.without(&c.pattern)
			if got := medianInTime(c.pattern)[c.kind]; (got >= c.inTime) != c.holds {
				t.Errorf("%.2f in time, want at least %.2f: %v", got, c.inTime, c.holds)
			}
		})
	}
}
