package pimentogate

import (
	"testing"
	"time"

	"pimentoarch/pimentoroute"
)

// The decision about a request depends on the time since its arrival, the expected
// time of its best target, whether that target's slots are all taken, and whether
// the service is overloaded.
func TestDecide(t *testing.T) {
	const objective = 400 * time.Millisecond
	for _, tc := range []struct {
		name       string
		elapsed    time.Duration
		expected   time.Duration // 0 means that no target replied.
		queued     bool
		overloaded bool
		want       decision
	}{
		{"in time", 0, 300 * time.Millisecond, false, false, decisionSend},
		{"in time while overloaded", 0, 300 * time.Millisecond, false, true, decisionSend},
		{"late soon after it came", 0, 500 * time.Millisecond, false, false, decisionWait},
		{"late while overloaded", 0, 500 * time.Millisecond, false, true, decisionRefuse},
		{"late in a queue at first", 0, 500 * time.Millisecond, true, false, decisionWait},
		{"late in a queue after an eighth", 60 * time.Millisecond, 500 * time.Millisecond, true, false, decisionRefuse},
		{"a little late in a queue after half", 210 * time.Millisecond, 250 * time.Millisecond, true, false, decisionRefuse},
		{"in time in a queue", 210 * time.Millisecond, 150 * time.Millisecond, true, false, decisionSend},
		{"late after half", 210 * time.Millisecond, 250 * time.Millisecond, false, false, decisionSend},
		{"slow after half", 210 * time.Millisecond, 900 * time.Millisecond, false, false, decisionWait},
		{"slow after most", 300 * time.Millisecond, 900 * time.Millisecond, false, false, decisionSend},
		{"no answer at first", 0, 0, false, false, decisionWait},
		{"no answer after half", 210 * time.Millisecond, 0, false, false, decisionRefuse},
		{"no answer while overloaded", 0, 0, false, true, decisionRefuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := new(Gate)
			c := &call{
				received: time.Now().Add(-tc.elapsed),
				route:    &pimentoroute.Route{Name: "r", Objective: objective},
				service:  &pimentoroute.Service{Name: "s"},
			}
			for range 100 {
				g.traffic.recordSend("s", tc.overloaded)
			}
			var cand *candidate
			if tc.expected > 0 {
				cand = &candidate{expected: tc.expected, queued: tc.queued}
			}
			if got := g.decide(c, cand); got != tc.want {
				t.Errorf("decision %d, want %d", got, tc.want)
			}
		})
	}
}

// A service no longer counts as overloaded once its targets accept requests again.
func TestOverloadEnds(t *testing.T) {
	var ts trafficStats
	for n := 0; !ts.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("no overload after 20 refusals in a row")
		}
		ts.recordSend("s", true)
	}
	for n := 0; ts.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("still overloaded after 20 responses in a row")
		}
		ts.recordSend("s", false)
	}
}
