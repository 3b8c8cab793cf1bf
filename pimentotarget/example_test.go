package pimentotarget_test

import (
	"fmt"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// A table selects a target for a request, and Done records the end of the exchange.
func Example() {
	t := &pimentotarget.Table{Self: "entry-1", Location: pimentotarget.Location{Region: "west", Domain: "west-a"}}
	t.SetEntries(0, []pimentotarget.EntryName{"entry-1", "entry-2"})
	t.Update(0, &pimentoregister.ServiceView{
		Service: pimentoregister.Service{Name: "charts", Slots: 3, ColdLimit: 1},
		Targets: []pimentoregister.TargetView{{
			VM:     pimentoregister.VM{Name: "charts-1", Address: "10.0.0.1:9000", Domain: "west-a"},
			Region: "west",
		}},
	})
	// Another entry has published that the target is warm.
	t.Merge(0, t.Target("charts-1"), pimentotarget.VersionedPhase{Epoch: 1, Value: pimentotarget.PhaseWarm})

	now := time.Second
	t.Offer(&pimentotarget.Request{Arrived: now, Deadline: now + time.Second})
	r := t.Next(now)
	fmt.Println(r.Target.Name, r.Target.Outstanding)
	t.Done(now+5*time.Millisecond, r.Target, r.Sent, pimentotarget.ResultOK, 0)
	fmt.Println(t.Outstanding(), t.Latency())
	// Output:
	// charts-1 1
	// 0 5ms
}
