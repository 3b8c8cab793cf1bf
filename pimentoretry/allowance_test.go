package pimentoretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any window the retries of all entries together stay within the ratio of the
// first attempts plus the fixed number. The test counts the first attempts of the
// window itself, and allows one retry more for each entry, since retries that were
// saved earlier may be spent in the window.
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
			at    time.Duration
			retry bool
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
			for range rapid.IntRange(0, 6).Draw(t, "retries") {
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
			retries, firsts := 0, 0
			for _, e := range events[:i+1] {
				switch {
				case e.at <= end-window:
				case e.retry:
					retries++
				default:
					firsts++
				}
			}
			// Retries that were saved before the window may be spent in it.
			limit := ratio*float64(firsts) + fixed + float64(entries)
			if float64(retries) > limit {
				t.Fatalf("%d retries for %d requests in the window up to %v, the limit is %.1f", retries, firsts, end, limit)
			}
		}
	})
}

// In a large fleet, whose entries have less than one request of the fixed number each, all
// retries together stay within the limit from the start on, and most of it can be used.
func TestSmallAllowances(t *testing.T) {
	const (
		ratio    = 0.2
		fixed    = 630.0
		window   = 10 * time.Second
		length   = 3 * window
		interval = 250 * time.Millisecond // Between two requests at one entry.
	)
	for _, entries := range []int{472, 1546} {
		shares := make([]Allowance, entries)
		for i := range shares {
			shares[i] = Allowance{Ratio: ratio, Fixed: fixed / float64(entries), Window: window}
		}
		retries := make([]int, length/interval)
		for step := range retries {
			now := time.Duration(step) * interval
			for i := range shares {
				shares[i].Earn(now)
				if shares[i].Spend(now) {
					retries[step]++
				}
			}
		}
		perWindow := int(window / interval)
		limit := ratio*float64(entries*perWindow) + fixed
		for end := perWindow; end <= len(retries); end++ {
			n := 0
			for _, k := range retries[end-perWindow : end] {
				n += k
			}
			if float64(n) > limit || float64(n) < limit/2 {
				t.Errorf("%d entries: %d retries in a window, the limit is %.0f", entries, n, limit)
			}
		}
		for step, n := range retries[:4] { // Before first requests have earned any.
			if total := ratio*float64((step+1)*entries) + fixed; float64(n) > total {
				t.Errorf("%d entries: %d retries in step %d, the limit is %.0f", entries, n, step, total)
			}
		}
	}
}

// An entry that has just started, and doesn't know its share yet, may send one retry.
func TestAllowanceOfUnknownShare(t *testing.T) {
	a := Allowance{Ratio: 0.2, Window: 10 * time.Second}
	a.Earn(0)
	if !a.Spend(0) {
		t.Error("no retry may be sent")
	}
	if a.Spend(0) {
		t.Error("a second retry may be sent")
	}
}

// The retry that an entry may send before it knows its share is taken from its share.
func TestAdvanceIsPaidBack(t *testing.T) {
	const window = 10 * time.Second
	a := Allowance{Ratio: 0.2, Window: window}
	if !a.Spend(0) {
		t.Fatal("no retry may be sent")
	}
	a.Fixed = 4 // Of which half is refilled in a window.
	for _, at := range []time.Duration{0, window / 2, window - time.Millisecond} {
		if a.Spend(at) {
			t.Errorf("a retry may be sent after %v", at)
		}
	}
	if !a.Spend(window) {
		t.Error("no retry may be sent after a window")
	}
}
