package pimentotarget

import (
	"fmt"
	"testing"
	"time"

	"pimentoarch/pimentoregister"
)

// ownerTable returns the table of a single entry, which owns count local targets.
func ownerTable(count int) *Table {
	tb := &Table{Self: "entry", Location: Location{Region: "r", Domain: "a"}, OwnerWait: time.Millisecond}
	tb.SetEntries(0, []EntryName{"entry"})
	s := &pimentoregister.ServiceView{Service: pimentoregister.Service{Name: "s", Slots: 3, ColdLimit: 3}}
	for i := range count {
		name := fmt.Sprint("t", i)
		s.Targets = append(s.Targets, pimentoregister.TargetView{
			VM:     pimentoregister.VM{Name: pimentoregister.VMName(name), Address: name, Domain: "a"},
			Region: "r",
		})
	}
	tb.Update(0, s)
	return tb
}

// runWithSlowFirst sends requests one after the other from now for the time span.
// The first one at target t0 takes the time slow, all others take fast. It returns
// the number of requests that t0 got after its slow one.
func runWithSlowFirst(t *testing.T, tb *Table, now, span, slow, fast time.Duration) int {
	t.Helper()
	first := tb.Target("t0")
	seen := 0
	for end := now + span; now < end; now += 10 * time.Millisecond {
		r := &Request{Arrived: now, Deadline: now + time.Hour}
		tb.Offer(r)
		if tb.Next(now) == nil {
			t.Fatalf("no target at %s", now)
		}
		took := fast
		if r.Target == first {
			if seen++; seen == 1 {
				took = slow
			}
		}
		now += took
		tb.Done(now, r.Target, r.Sent, ResultOK, 0)
	}
	return seen - 1
}

// A cold target whose first response was slow, because the machine was busy, still
// gets the requests that it needs to become warm.
func TestSlowFirstResponseStillWarms(t *testing.T) {
	tb := ownerTable(3)
	runWithSlowFirst(t, tb, time.Second, 2*time.Second, 500*time.Millisecond, time.Millisecond)
	for _, tg := range tb.Targets() {
		if state, why := tb.State(4*time.Second, tg); state != "warm" {
			t.Errorf("target %s is %s: %s", tg.Name, state, why)
		}
	}
}

// A warm target that was slow once gets requests again, even if others are idle.
func TestSlowTargetGetsRequestsAgain(t *testing.T) {
	tb := ownerTable(3)
	for _, tg := range tb.Targets() {
		tb.Merge(0, tg, VersionedPhase{Epoch: 1, Value: PhaseWarm})
	}
	if n := runWithSlowFirst(t, tb, time.Second, 20*time.Second, 500*time.Millisecond, time.Millisecond); n < 10 {
		t.Errorf("target t0 got %d requests in 20 s after a slow one", n)
	}
}
