package pimentotarget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any second a cold target gets no more requests than the limit from all entries
// of its domain, as long as each entry assumes at least the actual number of entries.
func TestColdSharesKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 30).Draw(t, "limit")
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		limiters := make([]ColdLimiter, entries)
		names := make([]EntryName, entries)
		for i := range names {
			names[i] = EntryName(fmt.Sprint("e", i))
		}
		counted := make([]int, entries)
		for i := range counted {
			counted[i] = entries + rapid.IntRange(0, 2).Draw(t, "more")
		}
		var sent []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if limiters[i].Allow(now, ColdShare(limit, counted[i], ColdRank("t", names, names[i]))) {
				sent = append(sent, now)
			}
		}
		for i, end := range sent {
			n := 0
			for _, at := range sent[:i+1] {
				if end-at <= coldWindow {
					n++
				}
			}
			if float64(n) > limit {
				t.Fatalf("%d requests in the second up to %v, the limit is %.1f", n, end, limit)
			}
		}
	})
}

// In a domain with more entries than requests for a cold target, each target gets its whole
// limit, and most entries have a share of some targets.
func TestColdSharesAreSpread(t *testing.T) {
	const targets = 70
	for _, entries := range []int{13, 52, 172} {
		for _, limit := range []float64{6, 12, 16} {
			names := make([]EntryName, entries)
			for i := range names {
				names[i] = EntryName(fmt.Sprint("e", i))
			}
			shares := make([]int, entries)
			for tg := range targets {
				sum := 0
				for i, name := range names {
					share := ColdShare(limit, entries, ColdRank(fmt.Sprint("t", tg), names, name))
					sum += share
					shares[i] += share
				}
				if sum > int(limit) || sum < int(limit)-entries+1 {
					t.Errorf("%d entries: shares of a target add up to %d, the limit is %.0f", entries, sum, limit)
				}
			}
			without := 0
			for _, n := range shares {
				if n == 0 {
					without++
				}
			}
			if without > entries/4 {
				t.Errorf("limit %.0f: %d of %d entries have a share of no target", limit, without, entries)
			}
		}
	}
}
