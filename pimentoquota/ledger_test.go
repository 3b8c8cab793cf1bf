package pimentoquota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

const choir = pimentoregister.OrganisationName("choir")

// newLedger returns a ledger of one of the given number of entries, with one limit.
func newLedger(run uint64, entries int, l Limit) *Ledger {
	led := &Ledger{Bounds: testBounds, Run: run, Entries: entries}
	led.SetLimits(0, map[pimentoregister.OrganisationName]Limit{choir: l})
	return led
}

// held returns the tokens of the organisation.
func held(l *Ledger, now time.Duration) float64 {
	s, _ := l.Status(now, choir)
	return s.Held
}

// takeAll takes tokens until there are none, and returns their number.
func takeAll(l *Ledger, now time.Duration) int {
	for n := 0; ; n++ {
		if _, v := l.Take(now, choir); v != Granted {
			return n
		}
	}
}

func near(a, b, by float64) bool { return math.Abs(a-b) <= by }

// An entry mints its part of the rate, stores no more than tokens that are still young, and
// begins with none.
func TestMint(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100, Burst: 10}
	l := newLedger(1, 4, limit)
	is.Equal(takeAll(l, 0), 0)
	is.True(near(held(l, time.Second), 25, 0.01))
	life := testBounds.Life(limit)
	is.True(near(held(l, time.Hour), 25*life.Seconds(), 1))
	// All that may be spent in a window is what it mints and what is stored before it.
	is.True(limit.Rate*(testBounds.Window+life).Seconds() < testBounds.Most(limit, testBounds.Window))
	is.True(limit.Rate*life.Seconds() >= limit.Burst)
}

// An entry that doesn't know the size of the fleet mints nothing and doesn't refuse at once,
// and makes up for it when it knows.
func TestUnknownSize(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 0, Limit{Rate: 100})
	l.Alone = true
	_, v := l.Take(time.Second, choir)
	is.Equal(v, Wait)
	l.Entries = 10
	is.True(near(held(l, time.Second), 10, 0.2))
}

// What was minted too little while the fleet was taken to be larger is made up for soon after
// the start, up to this entry's part of the rate since then, and not later.
func TestMakeUp(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 400, Limit{Rate: 100})
	now := time.Second
	is.True(near(held(l, now), 0.25, 0.01))
	l.SetEntries(now, 100)
	is.True(near(held(l, now), 1, 0.02))
	l.SetEntries(now, 100)
	is.True(near(held(l, now), 1, 0.02))
	l.SetEntries(StartTime, 400)
	before := held(l, StartTime)
	l.SetEntries(StartTime, 100)
	is.Equal(held(l, StartTime), before)
}

// Tokens that aren't used expire, also those that were taken and not spent.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 1, Limit{Rate: 10})
	now := time.Second
	token, v := l.Take(now, choir)
	is.Equal(v, Granted)
	is.True(l.Fresh(now, choir, token))
	life := testBounds.Life(Limit{Rate: 10})
	is.True(held(l, now) > 8)
	l.Entries = 0 // No more are minted.
	is.True(!l.Fresh(now+life, choir, token))
	is.Equal(held(l, now+life+time.Second), 0.0)
	l.Return(now+life+time.Second, choir, token)
	is.Equal(held(l, now+life+time.Second), 0.0)
}

// A token whose request didn't run can be used again.
func TestReturn(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 1, Limit{Rate: 10})
	token, _ := l.Take(150*time.Millisecond, choir)
	is.Equal(takeAll(l, 150*time.Millisecond), 0)
	l.Return(150*time.Millisecond, choir, token)
	is.Equal(takeAll(l, 150*time.Millisecond), 1)
}

// A token that comes back after its organisation was forgotten leaves no count below zero.
func TestReturnForgotten(t *testing.T) {
	is := is.New(t)
	limits := map[pimentoregister.OrganisationName]Limit{choir: {Rate: 10}}
	l := newLedger(1, 1, limits[choir])
	token, v := l.Take(time.Second, choir)
	is.Equal(v, Granted)
	l.SetLimits(time.Second, nil)
	l.SetLimits(time.Minute, nil)
	l.SetLimits(time.Minute, limits)
	l.Return(time.Minute, choir, token)
	s, _ := l.Status(time.Minute, choir)
	is.Equal(s.Spent, uint64(0))
}

// exchange lets a child ask a hub; the ask is on its way for out, and the reply for back.
func exchange(child, hub *Ledger, now, out, back time.Duration) {
	ask := child.Ask(now, hub.Run)
	reply := hub.Serve(now+out, &ask)
	child.Apply(now+out+back, now, &reply)
}

// Tokens move to the hub and from there to those who need them, and their number doesn't
// grow.
func TestMove(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100}
	a, b, hub := newLedger(1, 3, limit), newLedger(2, 3, limit), newLedger(3, 3, limit)
	hub.Hub, hub.Alone = true, true
	exchange(a, hub, time.Second, 0, 0) // Learns the hub's time.
	is.True(near(held(a, time.Second), 33.3, 0.1))
	exchange(a, hub, time.Second, 0, 0)
	is.True(near(held(a, time.Second), 0, rounding))
	is.True(near(held(hub, time.Second), 66.7, 0.1))
	is.Equal(takeAll(b, time.Second), 33)
	exchange(b, hub, time.Second, 0, 0)
	is.True(held(b, time.Second) >= 1)
	is.True(near(held(b, time.Second)+held(hub, time.Second), 67, 0.1))
}

// A late ask doesn't make old tokens young: the hub knows since when the entry may have had
// them. A late reply doesn't either.
func TestLateMessages(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100}
	life := testBounds.Life(limit)
	child, hub := newLedger(1, 2, limit), newLedger(2, 2, limit)
	exchange(child, hub, time.Second, 0, 0)
	ask := child.Ask(time.Second, hub.Run)
	is.True(len(ask.Items) == 1 && len(ask.Items[0].Lots) > 0)
	before := held(hub, time.Second+2*life)
	hub.Serve(time.Second+2*life, &ask)
	is.Equal(held(hub, time.Second+2*life), before)

	child, hub = newLedger(1, 2, limit), newLedger(2, 2, limit)
	takeAll(child, time.Second)
	exchange(child, hub, time.Second, 0, 2*life)
	// It has only what it has minted itself.
	is.True(held(child, time.Second+2*life) <= 50*life.Seconds()+0.1)
}

// Tokens for an earlier run of the hub, whose time differs, don't count.
func TestRestartedHub(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100}
	child, hub := newLedger(1, 2, limit), newLedger(2, 2, limit)
	exchange(child, hub, time.Second, 0, 0)
	ask := child.Ask(1500*time.Millisecond, 2)
	is.True(len(ask.Items) > 0)
	restarted := newLedger(3, 2, limit)
	restarted.Serve(1500*time.Millisecond, &ask)
	is.True(near(held(restarted, 1500*time.Millisecond), 50*testBounds.Life(limit).Seconds(), 1.5))
	// The child hands nothing to a run that it has no time of.
	is.Equal(len(child.Ask(1600*time.Millisecond, 3).Items), 0)
}

// A lower limit binds what was stored under the old one, here and in messages of entries
// with the old configuration, and an organisation that comes back doesn't begin anew.
func TestLowerLimit(t *testing.T) {
	is := is.New(t)
	lower := map[pimentoregister.OrganisationName]Limit{choir: {Rate: 10, Burst: 10}}
	l := newLedger(1, 1, Limit{Rate: 100, Burst: 10})
	is.True(held(l, time.Second) > 99)
	l.SetLimits(time.Second, lower)
	is.True(near(held(l, time.Second), 10, 0.1))

	child, hub := newLedger(2, 2, Limit{Rate: 100, Burst: 10}), newLedger(3, 2, Limit{Rate: 100, Burst: 10})
	exchange(child, hub, time.Second, 0, 0)
	hub.SetLimits(time.Second, lower)
	exchange(child, hub, time.Second, 0, 0)
	is.True(near(held(hub, time.Second), 10, 0.1))

	takeAll(l, 2*time.Second)
	l.SetLimits(2*time.Second, nil)
	_, v := l.Take(2*time.Second, choir)
	is.Equal(v, Unlimited)
	l.SetLimits(2100*time.Millisecond, lower)
	is.True(held(l, 2100*time.Millisecond) < 2)
}

// While the hub has none, requests are refused at once, without asks; Retry-After is later
// the more are refused.
func TestShort(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10}
	child, hub := newLedger(1, 100, limit), newLedger(2, 100, limit)
	hub.Alone = true
	now := StartTime + 100*time.Millisecond
	_, v := child.Take(now, choir)
	is.Equal(v, Wait)
	is.True(child.Needs(now))
	for range 5 { // The hub expects others to bring some, and then no more.
		child.Take(now, choir)
		exchange(child, hub, now, 0, 0)
		now += 20 * time.Millisecond
	}
	_, v = child.Take(now, choir)
	is.Equal(v, Denied)
	is.True(!child.Needs(now))
	first := child.Refuse(now, choir)
	is.True(first >= minReturn && first <= maxReturn)
	_, v = child.Take(now+shortTime, choir)
	is.Equal(v, Wait)
}

// An entry that has just started has met neither the fleet nor its hub: its requests wait for
// tokens, and those that are refused twice return for the third time when it has.
func TestStart(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, 100, Limit{Rate: 10})
	l.Alone = true
	for range 20 {
		_, v := l.Take(StartTime-1, choir)
		is.Equal(v, Wait)
		is.Equal(l.Refuse(StartTime-1, choir), StartTime/2)
	}
	_, v := l.Take(StartTime, choir)
	is.Equal(v, Denied)
	is.True(l.Refuse(StartTime, choir) > minReturn)
}

// A hub that lacks tokens makes others keep fewer.
func TestWanted(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 30}
	child, hub := newLedger(1, 2, limit), newLedger(2, 2, limit)
	child.Hub, hub.Alone = true, true
	exchange(child, hub, time.Second, 0, 0)
	takeAll(hub, time.Second)
	hub.Take(time.Second, choir)
	child.Ask(time.Second, hub.Run)
	kept := held(child, time.Second)
	is.True(kept > 0)
	exchange(child, hub, time.Second, 0, 0)
	exchange(child, hub, time.Second, 0, 0)
	is.True(held(child, time.Second) < kept)
}

// Entries agree on hubs, ask only those with a higher hash, and for a time not those that
// didn't reply.
func TestChoose(t *testing.T) {
	is := is.New(t)
	var all []pimentopeer.Member
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		all = append(all, pimentopeer.Member{Name: pimentotarget.EntryName(name), Address: name, Domain: pimentoregister.DomainName(name[:1])})
	}
	top, hubs := 0, make(map[pimentotarget.EntryName]bool)
	for _, m := range all {
		var c Chooser
		choice := c.Choose(0, m, all)
		if choice.Parent.Name == "" {
			top++
			is.True(choice.Hub)
			continue
		}
		is.Equal(higher(&m, &choice.Parent).Name, choice.Parent.Name)
		if !choice.Hub {
			is.Equal(choice.Parent.Domain, m.Domain)
			hubs[choice.Parent.Name] = true
		}
		c.Avoid(0, choice.Parent.Name)
		is.True(c.Choose(time.Second, m, all).Parent.Name != choice.Parent.Name)
		is.Equal(c.Choose(avoidTime+1, m, all).Parent.Name, choice.Parent.Name)
	}
	is.Equal(top, 1)
	is.Equal(len(hubs), 2)
}
