package pimentotarget

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pimentoarch/pimentoregister"
)

// trace is a sequence of calls to one table, with the expected results.
type trace struct {
	// About describes the failure that the trace reproduces.
	About     string   `json:"about"`
	Self      string   `json:"self"`
	Entries   []string `json:"entries"`
	Slots     int      `json:"slots"`
	ColdLimit int      `json:"cold"`
	Targets   []struct {
		Name   string `json:"name"`
		Domain string `json:"domain"`
		Warm   bool   `json:"warm"`
	} `json:"targets"`
	Events []traceEvent `json:"events"`
}

// traceEvent is one call to the table. At is in milliseconds.
type traceEvent struct {
	At float64 `json:"at"`
	// Op is "send", which calls Offer and Next, or "end", which ends the oldest
	// request at Target with Result.
	Op     string `json:"op"`
	Target string `json:"target"`
	Result string `json:"result"`
	// Want is the expected result of "send": a target's name, "any", or "none".
	Want string `json:"want"`
}

var traceResults = map[string]Result{
	"ok": ResultOK, "refused": ResultRefused, "connect": ResultConnectFailed, "broken": ResultIncomplete,
	"timeout": ResultTimeout, "cancelled": ResultCancelled,
}

// TestTraces replays the traces in testdata.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var tr trace
			if err := json.Unmarshal(data, &tr); err != nil {
				t.Fatal(err)
			}
			tr.replay(t)
		})
	}
}

func (tr *trace) table() *Table {
	tb := &Table{Self: EntryName(tr.Self), Location: Location{Region: "r", Domain: "a"}, OwnerWait: time.Millisecond}
	var entries []EntryName
	for _, e := range tr.Entries {
		entries = append(entries, EntryName(e))
	}
	tb.SetEntries(0, entries)
	s := &pimentoregister.ServiceView{Service: pimentoregister.Service{Name: "s", Slots: tr.Slots, ColdLimit: tr.ColdLimit, Warmup: 1000}}
	for _, tg := range tr.Targets {
		s.Targets = append(s.Targets, pimentoregister.TargetView{
			VM:     pimentoregister.VM{Name: pimentoregister.VMName(tg.Name), Address: tg.Name, Domain: pimentoregister.DomainName(tg.Domain)},
			Region: "r",
		})
	}
	tb.Update(0, s)
	for i, tg := range tr.Targets {
		if tg.Warm {
			tb.Merge(0, tb.targets[i], VersionedPhase{Epoch: 1, Value: PhaseWarm})
		}
	}
	return tb
}

func (tr *trace) replay(t *testing.T) {
	tb := tr.table()
	for i, ev := range tr.Events {
		now := time.Duration(ev.At * float64(time.Millisecond))
		switch ev.Op {
		case "send":
			r := &Request{Arrived: now, Deadline: now + time.Hour}
			tb.Offer(r)
			got := "none"
			if tb.Next(now) != nil {
				got = string(r.Target.Name)
			} else {
				tb.Cancel(r)
			}
			if got != ev.Want && (ev.Want != "any" || got == "none") {
				t.Fatalf("event %d, %s: target %s, want %s", i, tr.About, got, ev.Want)
			}
		case "end":
			tg := tb.Target(pimentoregister.VMName(ev.Target))
			tb.Done(now, tg, tg.started[0], traceResults[ev.Result], 0)
		default:
			t.Fatalf("event %d: op %q", i, ev.Op)
		}
	}
}
