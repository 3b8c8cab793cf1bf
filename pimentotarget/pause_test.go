package pimentotarget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

// No request and no probe goes to a target that has asked for a pause, until the longest
// time that it asked for has passed or it has restarted. While all targets are paused, the
// table says when the first one returns.
func TestPausedTargetGetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets = 3
		table := &Table{Self: "e", OwnerWait: 1, Location: Location{Region: "r", Domain: "d"}}
		view := &pimentoregister.ServiceView{Service: pimentoregister.Service{Name: "s", Slots: 3, ColdLimit: 3, MaxConnections: 100, ProbePath: "/p", ProbeBudget: 100, ProbeCost: 1}}
		for i := range targets {
			view.Targets = append(view.Targets, pimentoregister.TargetView{VM: pimentoregister.VM{Name: pimentoregister.VMName(fmt.Sprint("t", i)), Domain: "d", Address: fmt.Sprint("10.0.0.", i, ":1")}, Region: "r"})
		}
		table.Update(0, view)
		table.SetEntries(0, []EntryName{"e"})
		for _, tg := range table.Targets() {
			table.Merge(0, tg, VersionedPhase{Epoch: 1, Value: PhaseWarm})
		}
		until := make(map[*Target]time.Duration) // The oracle: when each pause ends.
		boot := make(map[*Target]uint64)
		type sent struct {
			tg *Target
			at time.Duration
		}
		var running []sent
		now := time.Second // After the wait of a new owner.
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				r := &Request{Arrived: now, Deadline: now + time.Second}
				if tg := table.BindNow(now, r); tg != nil {
					if now < until[tg] {
						t.Fatalf("at %v, %s got a request, paused until %v", now, tg.Name, until[tg])
					}
					running = append(running, sent{tg, now})
				}
			case 2:
				if len(running) == 0 {
					continue
				}
				s := running[0]
				running = running[1:]
				if rapid.Bool().Draw(t, "restarted") {
					boot[s.tg]++
					until[s.tg] = 0
				}
				result := ResultOK
				if rapid.Bool().Draw(t, "pauses") {
					d := time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
					result = ResultRefused
					table.Pause(now, s.tg, boot[s.tg]+1, d)
					until[s.tg] = max(until[s.tg], now+d)
				}
				table.Done(now, s.tg, s.at, result, boot[s.tg]+1)
			case 3:
				for _, tg := range table.DueProbes(now) {
					if now < until[tg] {
						t.Fatalf("at %v, %s is probed, paused until %v", now, tg.Name, until[tg])
					}
				}
			}
			left, paused := table.AllPaused(now, nil)
			first, all := time.Hour, true
			for _, tg := range table.Targets() {
				all = all && now < until[tg]
				first = min(first, until[tg]-now)
			}
			if paused != all || (all && left != first) {
				t.Fatalf("at %v: all paused %v for %v, want %v for %v", now, paused, left, all, first)
			}
		}
	})
}
