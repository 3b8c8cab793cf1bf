package pimentotarget

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

// If all entries have the same list, the shares of each target add up to the slots
// exactly. The test of the totals is weaker than what SlotShares promises: it allows
// a difference of slots%n, or of one if that is greater.
func TestSlotSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 40).Draw(t, "targets")
		slots := rapid.IntRange(1, 12).Draw(t, "units")
		n := rapid.IntRange(1, 30).Draw(t, "entries")
		sums := make([]int, count)
		totals := make([]int, n)
		for self := range n {
			for i, share := range SlotShares(count, slots, n, self) {
				sums[i] += share
				totals[self] += share
			}
		}
		for i, sum := range sums {
			if sum != slots {
				t.Fatalf("shares of target %d add up to %d, want %d", i, sum, slots)
			}
		}
		if count > 0 && slices.Max(totals)-slices.Min(totals) > max(1, slots%n) {
			t.Fatalf("totals differ too much: %v", totals)
		}
	})
}

// If some entries have a shorter list than others, the shares of a target add up to
// at most twice the slots, because those of each list alone add up to the slots.
func TestSlotSharesWithTwoLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "targets")
		slots := rapid.IntRange(1, 6).Draw(t, "units")
		n := rapid.IntRange(1, 20).Draw(t, "entries")
		more := rapid.IntRange(1, 5).Draw(t, "more")
		sums := make([]int, count)
		for self := range n + more {
			size := n + more
			if self < n && rapid.Bool().Draw(t, "short list") {
				size = n
			}
			for i, share := range SlotShares(count, slots, size, self) {
				sums[i] += share
			}
		}
		for i, sum := range sums {
			if sum > 2*slots {
				t.Fatalf("shares of target %d add up to %d, want at most twice %d", i, sum, slots)
			}
		}
	})
}

// Merged phases converge to the same one in any order of arrival.
func TestMarksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phases := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) VersionedPhase {
			return VersionedPhase{Epoch: Epoch(rapid.IntRange(0, 3).Draw(t, "epoch")), Value: Phase(rapid.IntRange(0, 1).Draw(t, "phase"))}
		}), 1, 8).Draw(t, "phases")
		shuffled := rapid.Permutation(phases).Draw(t, "shuffled")
		a, b := coldTable("a", 1), coldTable("a", 1)
		for i := range phases {
			a.Merge(0, a.targets[0], phases[i])
			b.Merge(0, b.targets[0], shuffled[i])
		}
		if a.targets[0].Phase != b.targets[0].Phase {
			t.Fatalf("phases %v and %v", a.targets[0].Phase, b.targets[0].Phase)
		}
	})
}

// coldTable returns the table of one of n entries, with one target.
func coldTable(self EntryName, n int) *Table {
	t := &Table{Self: self, Location: Location{Region: "r", Domain: "d"}, OwnerWait: time.Second}
	entries := []EntryName{"a", "b", "c", "d"}[:n]
	t.SetEntries(0, entries)
	t.Update(0, &pimentoregister.ServiceView{
		Service: pimentoregister.Service{Name: "s", Slots: 3, ColdLimit: 2, Warmup: 1000},
		Targets: []pimentoregister.TargetView{{VM: pimentoregister.VM{Name: "t", Address: "1", Domain: "d"}, Region: "r"}},
	})
	return t
}

// The load of a cold target stays within its limit while the entries have two
// different lists of entries, so that two of them can act as its owner.
func TestColdLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cold = 4
		names := []EntryName{"a", "b", "c", "d"}
		lists := [][]EntryName{names, names[:rapid.IntRange(1, 3).Draw(t, "short list")]}
		var tables []*Table
		for _, self := range names {
			tb := coldTable(self, 4)
			tb.service.ColdLimit = cold
			tb.SetEntries(0, lists[rapid.IntRange(0, 1).Draw(t, "list")])
			tables = append(tables, tb)
		}
		now := 2 * time.Second
		for range 20 {
			tb := tables[rapid.IntRange(0, 3).Draw(t, "entry")]
			tb.Offer(&Request{Deadline: time.Hour})
			tb.Next(now)
			load := 0
			for _, other := range tables {
				load += other.targets[0].Outstanding
			}
			if load > cold {
				t.Fatalf("%d requests at a cold target, the limit is %d", load, cold)
			}
		}
	})
}

// A new owner sends nothing before OwnerWait, which exceeds the lag of the lists.
func TestNewOwnerWaits(t *testing.T) {
	tb := coldTable("a", 1)
	tb.Offer(&Request{Deadline: time.Hour})
	for _, c := range []struct {
		at   time.Duration
		sent bool
	}{{999 * time.Millisecond, false}, {time.Second, true}} {
		if got := tb.Next(c.at) != nil; got != c.sent {
			t.Errorf("at %s: sent %t, want %t", c.at, got, c.sent)
		}
	}
}

// A request that is allowed only in the entry's region is forwarded to the owner of a
// cold target there, even if targets of other regions are warm.
func TestWarmupOwnerRespectsRegions(t *testing.T) {
	tb := coldTable("a", 4)
	if Owner("t", tb.entries) == "a" {
		tb = coldTable("b", 4)
	}
	view := &pimentoregister.ServiceView{Service: tb.service, Targets: []pimentoregister.TargetView{
		tb.targets[0].TargetView, {VM: pimentoregister.VM{Name: "u", Address: "2"}, Region: "other"},
	}}
	tb.Update(0, view)
	tb.Merge(0, tb.Target("u"), VersionedPhase{Epoch: 1, Value: PhaseWarm})
	if _, must, ok := tb.WarmupOwner(0, []pimentoregister.RegionName{"r"}); !must || !ok {
		t.Errorf("must %t, ok %t", must, ok)
	}
	if _, must, _ := tb.WarmupOwner(0, nil); must {
		t.Error("must is true for a request that a warm target of another region may get")
	}
}

// A cold target may still execute a cancelled request, so that it gets no other one
// before coldBackoff.
func TestColdTargetRestsAfterCancel(t *testing.T) {
	tb := coldTable("a", 1)
	now := 2 * time.Second
	r := &Request{Deadline: time.Hour}
	tb.Offer(r)
	if tb.Next(now) == nil {
		t.Fatal("the owner sends no request")
	}
	tb.Done(now, r.Target, r.Sent, ResultCancelled, 0)
	for _, c := range []struct {
		after time.Duration
		sent  bool
	}{{coldBackoff - 1, false}, {coldBackoff, true}} {
		tb.Offer(&Request{Deadline: time.Hour})
		if got := tb.Next(now+c.after) != nil; got != c.sent {
			t.Errorf("%s after the cancel: sent %t, want %t", c.after, got, c.sent)
		}
	}
}

// Targets that are out of service, leaving or removed get no requests.
func TestNoNewWork(t *testing.T) {
	cases := map[string]func(*Table, *pimentoregister.ServiceView){
		"out": func(tb *Table, s *pimentoregister.ServiceView) { s.Targets[0].OutOfService = true; tb.Update(0, s) },
		"leaving": func(tb *Table, _ *pimentoregister.ServiceView) {
			tb.SetLeaving(map[pimentoregister.VMName]bool{"t": true})
		},
		"gone": func(tb *Table, s *pimentoregister.ServiceView) { s.Targets = nil; tb.Update(0, s) },
	}
	for name, change := range cases {
		tb := coldTable("a", 1)
		tb.Merge(0, tb.targets[0], VersionedPhase{Epoch: 1, Value: PhaseWarm})
		first := &Request{Deadline: time.Hour}
		tb.Offer(first)
		if tb.Next(0) == nil {
			t.Fatalf("%s: a warm target gets no requests", name)
		}
		tb.Done(time.Millisecond, first.Target, first.Sent, ResultOK, 0)
		view := &pimentoregister.ServiceView{Service: tb.service, Targets: []pimentoregister.TargetView{tb.targets[0].TargetView}}
		change(tb, view)
		tb.Offer(&Request{Deadline: time.Hour})
		if tb.Next(time.Second) != nil {
			t.Errorf("%s: the target gets a new request", name)
		}
	}
}

// BenchmarkChoose measures Offer, Next and Done of one request, by number of targets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{4, 50, 200, 800, 2800} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			tb := warmTable(n, 16)
			r := &Request{Deadline: 1 << 62}
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				now += 100 * time.Microsecond
				tb.Offer(r)
				if tb.Next(now) == nil {
					b.Fatal("no target")
				}
				tb.Done(now, r.Target, r.Sent, ResultOK, 0)
			}
		})
	}
}

// BenchmarkChooseOutstanding measures the same by number of outstanding requests.
func BenchmarkChooseOutstanding(b *testing.B) {
	for _, n := range []int{0, 8, 24, 48} {
		b.Run(fmt.Sprintf("outstanding=%d", n), func(b *testing.B) {
			tb := warmTable(200, 16)
			for range n {
				tb.Offer(&Request{Deadline: 1 << 62})
				tb.Next(0)
			}
			r := &Request{Deadline: 1 << 62}
			b.ReportAllocs()
			for b.Loop() {
				tb.Offer(r)
				if tb.Next(0) == nil {
					b.Fatal("no target")
				}
				tb.Done(0, r.Target, r.Sent, ResultCancelled, 0)
			}
		})
	}
}

// warmTable returns a table of n warm targets, which are shared by the given number
// of entries.
func warmTable(n, entries int) *Table {
	tb := &Table{Self: "e00", Location: Location{Region: "r", Domain: "d0"}, OwnerWait: time.Second}
	var names []EntryName
	for i := range entries {
		names = append(names, EntryName(fmt.Sprintf("e%02d", i)))
	}
	tb.SetEntries(0, names)
	tb.Update(0, viewOf(n))
	for _, tg := range tb.targets {
		tb.Merge(0, tg, VersionedPhase{Epoch: 1, Value: PhaseWarm})
	}
	return tb
}

func viewOf(n int) *pimentoregister.ServiceView {
	s := &pimentoregister.ServiceView{Service: pimentoregister.Service{Name: "s", Slots: 3, ColdLimit: 1}}
	for i := range n {
		name := pimentoregister.VMName(fmt.Sprintf("t%04d", i))
		s.Targets = append(s.Targets, pimentoregister.TargetView{
			VM:     pimentoregister.VM{Name: name, Address: string(name), Domain: pimentoregister.DomainName(fmt.Sprintf("d%d", i%8))},
			Region: "r",
		})
	}
	return s
}

// BenchmarkUpdate measures Update after a change of one target, by number of targets.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2800} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			tb := warmTable(n, 16)
			views := []*pimentoregister.ServiceView{viewOf(n), viewOf(n)}
			views[1].Targets[0].OutOfService = true
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				tb.Update(0, views[i%2])
				i++
			}
		})
	}
}

// BenchmarkTableMemory reports the heap size of a table, by number of targets.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2800} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := heapAlloc()
				tb := warmTable(n, 16)
				bytes = heapAlloc() - before
				runtime.KeepAlive(tb)
			}
			b.ReportMetric(float64(bytes), "heap-bytes")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Two entries that both own a target stay within its probe budget together, and a
// target that has just responded isn't probed.
func TestProbesKeepTheirBudget(t *testing.T) {
	const cost, budget, minutes = 6, 1, 10 // ms, ms/s
	probes := 0
	var tables []*Table
	for _, self := range []EntryName{"a", "b"} {
		tb := coldTable(self, 1)
		tb.service.ProbePath, tb.service.ProbeCost, tb.service.ProbeBudget = "/load", cost, budget
		tb.SetEntries(0, []EntryName{self})
		tables = append(tables, tb)
	}
	for now := time.Duration(0); now < minutes*time.Minute; now += time.Second {
		for _, tb := range tables {
			for _, tg := range tb.DueProbes(now) {
				probes++
				tb.ProbeDone(now, tg, true, 0)
			}
		}
	}
	if spent, limit := probes*cost, minutes*60*budget; spent > limit || probes == 0 {
		t.Errorf("%d probes cost %d ms, the budget is %d ms", probes, spent, limit)
	}
	tb := tables[0]
	tb.targets[0].respondedAt = time.Hour
	if n := len(tb.DueProbes(time.Hour + staleAfter/2)); n != 0 {
		t.Errorf("%d probes of a target that has just responded", n)
	}
}
