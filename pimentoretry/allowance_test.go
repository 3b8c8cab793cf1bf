package pimentoretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever requests come to however many entries: in any window, the repeats of
// all of them are within the ratio of the requests of that window or the one
// before, and the fixed number. The requests counted are at least those of the
// window.
func TestAllowancesKeepTheLimit(t *testing.T) {
	const (
		ratio  = 0.2
		fixed  = 64.0
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		shares := make([]Allowance, entries)
		for i := range shares {
			shares[i] = Allowance{Ratio: ratio, Fixed: fixed / float64(entries), Window: window}
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			a := &shares[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "first") {
				a.Earn(now)
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 6).Draw(t, "repeats") {
				if a.Spend(now) {
					if rapid.IntRange(0, 9).Draw(t, "unused") == 0 {
						a.Refund()
						continue
					}
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			end := events[i].at
			repeats, firsts := 0, 0
			for _, e := range events[:i+1] {
				switch {
				case e.at <= end-window:
				case e.repeat:
					repeats++
				default:
					firsts++
				}
			}
			// What was saved before the window began may be spent in it.
			limit := ratio*float64(firsts) + fixed + float64(entries)
			if float64(repeats) > limit {
				t.Fatalf("%d repeats of %d requests in the window up to %v, the limit is %.1f", repeats, firsts, end, limit)
			}
		}
	})
}
