package pimentoload

import (
	"testing"
	"time"
)

// The decision about a request depends on how long it has waited, on what its best target
// offers, on its urgency, and on whether it was sent before.
func TestDecide(t *testing.T) {
	const ms, objective = time.Millisecond, 400 * time.Millisecond
	room := func(expected time.Duration, room int) *Offer { return &Offer{Expected: expected, Room: room} }
	queued := func(expected time.Duration) *Offer { return &Offer{Expected: expected, Queued: true, Room: -2} }
	for _, tc := range []struct {
		name    string
		request Request
		offer   *Offer
		want    Decision
	}{
		{"in time", Request{}, room(300*ms, 1), Send},
		{"in time while overloaded", Request{Overloaded: true}, room(300*ms, 1), Send},
		{"in time at a crowded target", Request{}, room(300*ms, 0), Send},
		{"in time, sent again", Request{Repeat: true}, room(300*ms, 0), Send},
		{"late soon after it came", Request{}, room(500*ms, 2), Wait},
		{"late while overloaded", Request{Overloaded: true}, room(500*ms, 2), Refuse},
		{"late in a queue at first", Request{}, queued(530 * ms), Wait},
		{"very late in a queue after an eighth", Request{Waited: 60 * ms}, queued(500 * ms), Refuse},
		{"a little late in a queue after an eighth", Request{Waited: 60 * ms}, queued(400 * ms), Wait},
		{"in time in a queue", Request{Waited: 210 * ms}, queued(150 * ms), Send},
		{"late after half", Request{Waited: 210 * ms}, room(250*ms, 0), Send},
		{"slow after half", Request{Waited: 210 * ms}, room(900*ms, 2), Wait},
		{"slow after most", Request{Waited: 300 * ms}, room(900*ms, 2), Send},
		{"no response at first", Request{}, nil, Wait},
		{"no response after half", Request{Waited: 210 * ms}, nil, Refuse},
		{"no response while overloaded", Request{Overloaded: true}, nil, Refuse},

		{"pressure, room", Request{Pressure: 0.3}, room(300*ms, 1), Send},
		{"pressure, crowded", Request{Pressure: 0.3}, room(300*ms, 0), Wait},
		{"pressure, crowded after a while", Request{Pressure: 0.3, Waited: 170 * ms}, room(200*ms, 0), Refuse},
		{"pressure, idle target whose curve isn't known", Request{Pressure: 0.3}, &Offer{Expected: 300 * ms, Idle: true}, Send},
		{"pressure, urgent, crowded", Request{Pressure: 0.3, Urgent: true}, room(300*ms, 0), Send},
		{"pressure, urgent, in a queue", Request{Pressure: 0.3, Urgent: true}, queued(300 * ms), Send},
		{"pressure, urgent, late in a queue", Request{Pressure: 0.3, Urgent: true, Waited: 170 * ms}, queued(500 * ms), Refuse},
		{"pressure, late, little room", Request{Pressure: 0.3, Waited: 210 * ms}, room(250*ms, 1), Refuse},
		{"pressure, late, room", Request{Pressure: 0.3, Waited: 210 * ms}, room(250*ms, 2), Send},
		{"pressure, urgent and late, little room", Request{Pressure: 0.3, Urgent: true, Waited: 210 * ms}, room(250*ms, 1), Send},
		{"pressure, sent again, room", Request{Pressure: 0.3, Repeat: true}, room(100*ms, 2), Send},
		{"pressure, sent again, little room", Request{Pressure: 0.3, Repeat: true}, room(100*ms, 1), Wait},
		{"pressure, sent again, little room after a while", Request{Pressure: 0.3, Repeat: true, Waited: 170 * ms}, room(100*ms, 1), Refuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.request.Objective = objective
			tc.request.Usual = 100 * ms
			if got := Decide(tc.request, tc.offer); got != tc.want {
				t.Errorf("decision %d, want %d", got, tc.want)
			}
		})
	}
}

// A request that is sent before others with a lower priority isn't held by a crowded
// target, and priorities that no longer come don't count.
func TestUrgency(t *testing.T) {
	var u Urgency
	for _, step := range []struct {
		at       time.Duration
		priority int
		want     bool
	}{
		{0, 2, false}, {time.Second, 1, true}, {2 * time.Second, 2, false}, {3 * time.Second, 1, true},
		{2*time.Second + urgencyMemory + 1, 1, false}, {20 * time.Second, 1, false}, {21 * time.Second, 3, false}, {22 * time.Second, 1, true},
	} {
		if got := u.IsUrgent(step.at, step.priority); got != step.want {
			t.Errorf("at %v, priority %d: urgent %v, want %v", step.at, step.priority, got, step.want)
		}
	}
}

// Requests with a time limit below those of new ones count as sent again, new ones don't,
// also after a time in which most were sent again.
func TestRepeats(t *testing.T) {
	var p Repeats
	newLimit := func(i int) time.Duration { return 2100*time.Millisecond + time.Duration(i*37%400)*time.Millisecond }
	for i := range 300 {
		p.IsRepeat(newLimit(i), true)
	}
	for i := range 1000 { // Overload: two of three are sent again.
		if i%3 > 0 {
			p.IsRepeat(newLimit(i)-700*time.Millisecond, false)
		}
	}
	wrong, missed := 0, 0
	for i := range 1000 {
		if p.IsRepeat(newLimit(i), false) {
			wrong++
		}
		if !p.IsRepeat(newLimit(i)-700*time.Millisecond, false) {
			missed++
		}
	}
	if wrong > 0 || missed > 0 {
		t.Errorf("of 1000 new requests %d count as sent again, of 1000 sent again %d don't", wrong, missed)
	}
}

// Callers return at once where targets had room, soon while few are refused, and else over
// the time in which they follow a Retry-After, urgent ones first.
func TestReturnAfter(t *testing.T) {
	const left = 3 * time.Second
	for _, tc := range []struct {
		name     string
		refusal  Refusal
		min, max time.Duration
	}{
		{"targets had room", Refusal{Left: left, Pressure: 1, Shed: true}, 10 * time.Millisecond, 30 * time.Millisecond},
		{"few refused", Refusal{Left: left}, 60 * time.Millisecond, 180 * time.Millisecond},
		{"most refused", Refusal{Left: left, Pressure: 0.6}, 375 * time.Millisecond, 1125 * time.Millisecond},
		{"most refused, urgent", Refusal{Left: left, Pressure: 0.6, Urgent: true}, 225 * time.Millisecond, 675 * time.Millisecond},
		{"little time left", Refusal{Left: 100 * time.Millisecond, Pressure: 1}, 60 * time.Millisecond, 180 * time.Millisecond},
	} {
		first, last := tc.refusal.ReturnAfter(0), tc.refusal.ReturnAfter(1)
		if first != tc.min || last != tc.max {
			t.Errorf("%s: %v to %v, want %v to %v", tc.name, first, last, tc.min, tc.max)
		}
	}
}
