package pimentoretry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ExampleBudget() {
	var b Budget
	for range 10 {
		b.Earn()
	}
	fmt.Println(b.Spend(), b.Spend())
	// Output: true false
}

func ExampleQuarantine() {
	var q Quarantine
	for _, target := range []string{"a", "b"} {
		if q.Allow(0, 7) {
			q.Crashed(0, 7, target)
		}
	}
	fmt.Println(q.Allow(0, 7))
	// Output: false
}

// Retries never exceed a tenth of the requests.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		earned, spent := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(*rapid.T) { b.Earn(); earned++ },
			"spend": func(*rapid.T) {
				if b.Spend() {
					spent++
				}
			},
			"": func(t *rapid.T) {
				if spent*requestsPerRetry > earned {
					t.Fatalf("%d retries for %d requests", spent, earned)
				}
			},
		})
	})
}

// A request that crashes every target crashes at most two of them, if entries merge
// each crash before the next attempt. There is one attempt at a time.
func TestRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]Quarantine, rapid.IntRange(1, 5).Draw(t, "entries"))
		now := time.Duration(0)
		crashed := 0
		for i := range 100 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if now > quarantineDuration {
				break
			}
			q := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			if !q.Allow(now, 1) {
				continue
			}
			crashed++
			c, changed := q.Crashed(now, 1, fmt.Sprint("target-", i%7))
			if !changed {
				continue
			}
			for j := range entries {
				if &entries[j] != q {
					entries[j].Merge(now, 1, c)
				}
			}
		}
		if crashed > MaxCrashes {
			t.Fatalf("%d targets crashed", crashed)
		}
	})
}

// A frequent request isn't quarantined when targets crash for other reasons: several
// copies at one target count once, and not at all soon after a response.
func TestFrequentRequestIsNotQuarantined(t *testing.T) {
	var q Quarantine
	now := time.Minute
	q.Allow(now, 1)
	q.Completed(now, 1)
	for range 8 {
		if !q.Allow(now, 1) {
			t.Fatal("a frequent request is refused before any crash")
		}
	}
	for range 8 {
		q.Crashed(now, 1, "a")
	}
	if !q.Allow(now, 1) {
		t.Fatal("a frequent request is refused after one crash of a target")
	}
	now += 2 * crashWindow
	q.Crashed(now, 1, "b")
	if !q.Allow(now, 1) {
		t.Fatal("the first crash counts, although a response preceded it")
	}
}

// There is no delay before minSamples latencies. It is then about their 95th percentile.
func TestHedgeDelay(t *testing.T) {
	var d HedgeDelay
	for i := range 1000 {
		if _, ok := d.Value(); ok && i < minSamples {
			t.Fatal("a delay without samples")
		}
		d.Add(time.Duration(i%100+1) * time.Millisecond)
	}
	if v, _ := d.Value(); v < 85*time.Millisecond || v > 110*time.Millisecond {
		t.Errorf("delay %s, want about 95 ms", v)
	}
}
