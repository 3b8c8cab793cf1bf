package pimentogate

import (
	"testing"
	"time"

	"pimentoarch/pimentoroute"
)

// What is decided about a request, by the time that its best target takes,
// whether it would wait there behind others, and whether the targets refuse much of what is sent.
func TestDecide(t *testing.T) {
	const objective = 400 * time.Millisecond
	for _, tc := range []struct {
		name       string
		elapsed    time.Duration
		expected   time.Duration // 0 means that no target answered.
		queued     bool
		overloaded bool
		want       verdict
	}{
		{"in time", 0, 300 * time.Millisecond, false, false, verdictSend},
		{"in time while overloaded", 0, 300 * time.Millisecond, false, true, verdictSend},
		{"late soon after it came", 0, 500 * time.Millisecond, false, false, verdictWait},
		{"late while overloaded", 0, 500 * time.Millisecond, false, true, verdictRefuse},
		{"late in a queue at first", 0, 500 * time.Millisecond, true, false, verdictWait},
		{"late in a queue after an eighth", 60 * time.Millisecond, 500 * time.Millisecond, true, false, verdictRefuse},
		{"a little late in a queue after half", 210 * time.Millisecond, 250 * time.Millisecond, true, false, verdictRefuse},
		{"in time in a queue", 210 * time.Millisecond, 150 * time.Millisecond, true, false, verdictSend},
		{"late after half", 210 * time.Millisecond, 250 * time.Millisecond, false, false, verdictSend},
		{"slow after half", 210 * time.Millisecond, 900 * time.Millisecond, false, false, verdictWait},
		{"slow after most", 300 * time.Millisecond, 900 * time.Millisecond, false, false, verdictSend},
		{"no answer at first", 0, 0, false, false, verdictWait},
		{"no answer after half", 210 * time.Millisecond, 0, false, false, verdictRefuse},
		{"no answer while overloaded", 0, 0, false, true, verdictRefuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := new(Gate)
			c := &call{
				received: time.Now().Add(-tc.elapsed),
				route:    &pimentoroute.Route{Name: "r", Objective: objective},
				service:  &pimentoroute.Service{Name: "s"},
			}
			for range 100 {
				g.flow.sent("s", tc.overloaded)
			}
			var p *pick
			if tc.expected > 0 {
				p = &pick{expected: tc.expected, queued: tc.queued}
			}
			if got := g.decide(c, p); got != tc.want {
				t.Errorf("verdict %d, want %d", got, tc.want)
			}
		})
	}
}

// A service stops counting as overloaded once its targets take work again.
func TestOverloadEnds(t *testing.T) {
	var f flow
	for n := 0; !f.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("20 refusals in a row are no overload")
		}
		f.sent("s", true)
	}
	for n := 0; f.overloaded("s"); n++ {
		if n == 20 {
			t.Fatal("20 answers in a row don't end the overload")
		}
		f.sent("s", false)
	}
}
