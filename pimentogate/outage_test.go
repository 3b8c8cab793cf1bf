package pimentogate

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
)

// awayStep is the interval at which tests look at entries.
const awayStep = 50 * time.Millisecond

// untilAll waits until all entries take the platform for away, or none does, and returns the time
// that it took, at most limit.
func (f *outageFleet) untilAll(away bool, limit time.Duration) time.Duration {
	want := 0
	if away {
		want = len(f.gates)
	}
	start := time.Now()
	for f.countAway() != want && time.Since(start) < limit {
		time.Sleep(awayStep)
	}
	return time.Since(start)
}

// The platform is away for all: soon after its last answer all entries know it, also where each
// call times out, and they go on knowing it until it answers again.
func TestOutageForAllIsKnown(t *testing.T) {
	const limit = 3500 * time.Millisecond // From the last answer.
	for _, tc := range []struct {
		name  string
		sizes []int
		hang  bool
	}{
		{"refused", []int{4, 4, 4, 4, 4, 4}, false},
		{"silent", []int{4, 4, 4, 4, 4, 4}, true},
		{"refused, large domains", []int{17, 17, 17, 17}, false},
		{"silent, large domains", []int{17, 17, 17, 17}, true},
		{"refused, one entry each", []int{1, 1, 1, 1, 1, 1}, false},
		{"silent, one entry each", []int{1, 1, 1, 1, 1, 1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runOutageFleet(t, tc.sizes, tc.hang, func(f *outageFleet) {
				time.Sleep(8*time.Second + randomUpTo(4*time.Second))
				if n := f.countAway(); n > 0 {
					t.Fatalf("%d entries take the platform for away while it answers", n)
				}
				f.set(func() { f.away = true })
				f.untilAll(true, 20*time.Second)
				took := time.Since(f.answered)
				t.Logf("all knew it %v after the last answer", took)
				if took > limit {
					t.Errorf("all knew it %v after the last answer, the limit is %v", took, limit)
				}
				for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(awayStep) {
					if n := f.countAway(); n < len(f.gates) {
						t.Fatalf("only %d of %d entries know it, %v before the end", n, len(f.gates), time.Until(end))
					}
				}
				f.set(func() { f.away = false })
				took = f.untilAll(false, 20*time.Second)
				t.Logf("none took it for away %v after its return", took)
				if took > 4*time.Second {
					t.Errorf("it was taken for away up to %v after its return", took)
				}
			})
		})
	}
}

// An entry that starts while the platform is away for all knows that too.
func TestOutageIsKnownAfterStart(t *testing.T) {
	runOutageFleet(t, []int{3, 3, 3, 3}, false, func(f *outageFleet) {
		time.Sleep(5 * time.Second)
		f.set(func() { f.away = true })
		f.untilAll(true, 20*time.Second)
		self := f.gates[4].cluster.members.Self()
		self.RunID, self.Version = 99, 7
		members := append(make([]pimentopeer.Member, 4), self, f.gates[5].cluster.members.Self())
		f.mu.Lock()
		g := f.addGate(members, 4, 0, pimentofeed.Update{})
		f.mu.Unlock()
		f.start(g)
		start := time.Now()
		for !f.awayAt(4) && time.Since(start) < 20*time.Second {
			time.Sleep(awayStep)
		}
		t.Logf("it knew it after %v", time.Since(start))
		if took := time.Since(start); took > 2500*time.Millisecond {
			t.Errorf("it knew it after %v", took)
		}
	})
}

// Entries with at most half of the fleet are cut off from the others and from the platform, or the
// platform turns away any number but answers others of which they hear, after an outage for all or
// not. From failureTTL after that on, nobody takes it for away.
func TestAnswersToOthersAreNoOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 3, 6).Draw(rt, "sizes")
		total := 0
		for _, n := range sizes {
			total += n
		}
		hang := rapid.Bool().Draw(rt, "hang")
		turnedAway := rapid.Bool().Draw(rt, "turned away")
		outageBefore := rapid.Bool().Draw(rt, "outage before")
		order := rapid.Permutation(domainIndexes(len(sizes))).Draw(rt, "domains")
		limit := rapid.IntRange(1, total).Draw(rt, "limit")
		most := total / 2
		if turnedAway {
			most = total - 1 // They hear of the answers to the last one.
		}
		group, first := make(map[int]bool), firstEntries(sizes)
		for _, d := range order { // Whole domains, and no more than limit.
			if n := len(group) + sizes[d]; n <= most && n <= limit {
				for i := range sizes[d] {
					group[first[d]+i] = true
				}
			}
		}
		if len(group) == 0 { // One entry.
			group[rapid.IntRange(0, total-1).Draw(rt, "entry")] = true
		}
		var problem atomic.Pointer[string]
		runOutageFleet(t, sizes, hang, func(f *outageFleet) {
			time.Sleep(5 * time.Second)
			if outageBefore {
				f.set(func() { f.away = true })
				time.Sleep(6 * time.Second)
			}
			f.set(func() {
				f.away = false
				if turnedAway {
					f.turned = group
				} else {
					f.isolated = group
				}
			})
			time.Sleep(failureTTL + time.Second/2) // Messages were under way.
			for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(awayStep) {
				for i := range f.gates {
					if f.awayAt(i) {
						s := fmt.Sprintf("entry %d takes the platform for away %v before the end, group %v of %d", i, time.Until(end), group, total)
						problem.Store(&s)
						return
					}
				}
			}
		})
		if s := problem.Load(); s != nil {
			rt.Fatal(*s)
		}
	})
}

// domainIndexes returns the numbers below n.
func domainIndexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// firstEntries returns the index of the first entry of each domain.
func firstEntries(sizes []int) []int {
	list, n := make([]int, len(sizes)), 0
	for d, size := range sizes {
		list[d] = n
		n += size
	}
	return list
}

// One entry in a domain that has most of the fleet is cut off. It takes its neighbours for down
// one after the other.
func TestCutOffEntryOfLargeDomainIsNoOutage(t *testing.T) {
	for _, sizes := range [][]int{{9}, {9, 2}, {2}, {5, 1}} {
		runOutageFleet(t, sizes, false, func(f *outageFleet) {
			time.Sleep(5 * time.Second)
			f.set(func() { f.isolated[1] = true })
			for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(awayStep) {
				if f.awayAt(1) {
					t.Fatalf("sizes %v: it takes the platform for away", sizes)
				}
			}
		})
	}
}

// Failures are forwarded as the newest ones of each domain, with their age, and an old one that
// comes again isn't taken for a new one.
func TestFailuresAreForwardedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := gateInRegion(t, 60, 0) // Three domains of 20.
		var list []failure
		for run := range uint64(60) {
			list = append(list, failure{run: run + 1, number: 5, at: -time.Duration(run) * time.Millisecond})
		}
		list = append(list, failure{run: 99, number: 1}) // Of an unknown entry.
		g.applySyncMessage(&syncMessage{sender: pimentopeer.Member{Name: "e000"}, failures: list, ageMillis: -1})
		is.Equal(len(g.cluster.currentFailures(g.now())), 3*failuresPerDomain)
		time.Sleep(time.Second)
		again := g.newSyncMessage(0, nil, 0)
		for _, f := range again.failures {
			is.True(f.at <= -time.Second)
		}
		time.Sleep(failureTTL - time.Second)
		is.Equal(len(g.newSyncMessage(0, nil, 0).failures), 0)
		g.applySyncMessage(again)
		is.Equal(len(g.newSyncMessage(0, nil, 0).failures), 0)
	})
}

// The platform refuses to send its history, or it is too large: it has answered.
func TestAnswersAreNoFailures(t *testing.T) {
	is := is.New(t)
	g := gateInRegion(t, 1, 0)
	for _, kind := range []pimentoplatform.Kind{pimentoplatform.KindCompacted, pimentoplatform.KindTooLarge, pimentoplatform.KindRestored} {
		g.noteFailure(&pimentoplatform.Error{Op: "read", Kind: kind, Err: errSimAway})
		is.Equal(len(g.cluster.currentFailures(g.now())), 0)
	}
	g.setReading(false) // It decided not to read.
	is.Equal(len(g.cluster.currentFailures(g.now())), 0)
	g.noteFailure(&pimentoplatform.Error{Op: "read", Kind: pimentoplatform.KindUnreachable, Err: errSimAway})
	is.Equal(len(g.cluster.currentFailures(g.now())), 1)
	g.setReading(true)
	is.Equal(len(g.cluster.currentFailures(g.now())), 0)
}
