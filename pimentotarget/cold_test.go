package pimentotarget

import (
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
		counted := make([]int, entries)
		for i := range counted {
			counted[i] = entries + rapid.IntRange(0, 2).Draw(t, "more")
		}
		var sent []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if limiters[i].Allow(now, ColdShare(limit, counted[i], i)) {
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
