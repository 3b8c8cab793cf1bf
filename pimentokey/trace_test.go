package pimentokey

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// trace is a recorded sequence of calls to ledgers, with the expected results.
type trace struct {
	About  string       `json:"about"`
	Events []traceEvent `json:"events"`
}

// traceEvent is one call. Ledgers are numbered from 1; keys and exports are numbered
// from 0 in the order of their creation.
type traceEvent struct {
	// Op is "issue", "begin", "settle" (Resolve), "stop" (Stop and Export), "adopt" or
	// "learn" (ResolveRemote).
	Op     string `json:"op"`
	Ledger int    `json:"ledger"`
	Key    int    `json:"key"`
	Export int    `json:"export"`
	// Outcome is the argument of "settle" and "learn": "done", "notrun" or "unknown".
	Outcome string `json:"outcome"`
	// Want is the expected decision of "begin", or "ok" or "refused" for "adopt".
	Want string `json:"want"`
}

var traceOutcomes = map[string]Outcome{"done": OutcomeExecuted, "notrun": OutcomeNotExecuted, "unknown": OutcomeUnknown}

var traceDecisions = map[Decision]string{
	DecisionDispatch: "run", DecisionWait: "wait", DecisionReplay: "replay", DecisionEvicted: "forgotten",
	DecisionUnknown: "unknown", DecisionVoid: "void", DecisionMismatch: "mismatch", DecisionForged: "forged",
	DecisionNotHeld: "elsewhere", DecisionStopped: "stopped",
}

// TestTraces replays the recorded traces under testdata.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var tr trace
		if err := json.Unmarshal(data, &tr); err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Base(file), tr.replay)
	}
}

func (tr *trace) replay(t *testing.T) {
	ledgers := make(map[int]*Ledger)
	var keys []Key
	var exports [][]Range
	for i, ev := range tr.Events {
		l := ledgers[ev.Ledger]
		if l == nil {
			l = NewLedger(Incarnation(ev.Ledger), Secret{uint64(ev.Ledger)})
			ledgers[ev.Ledger] = l
		}
		got := ""
		switch ev.Op {
		case "issue":
			k, _ := l.Issue(testScope)
			keys = append(keys, k)
		case "begin":
			d, _ := l.Begin(keys[ev.Key], testScope, testFingerprint)
			got = traceDecisions[d]
		case "settle":
			l.Resolve(keys[ev.Key], traceOutcomes[ev.Outcome], &Response{})
		case "learn":
			l.ResolveRemote(keys[ev.Key], traceOutcomes[ev.Outcome], &Response{})
		case "stop":
			l.Stop()
			exports = append(exports, l.Export(1<<20))
		case "adopt":
			got = "ok"
			for _, r := range exports[ev.Export] {
				if l.Adopt(r) != nil {
					got = "refused"
				}
			}
		default:
			t.Fatalf("event %d: op %q", i, ev.Op)
		}
		if got != ev.Want {
			t.Fatalf("event %d, %s: %s, want %s", i, tr.About, got, ev.Want)
		}
	}
}
