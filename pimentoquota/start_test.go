package pimentoquota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

// startAll starts all entries anew. They meet after a time; until then each knows only itself,
// and takes the fleet to be as large as the number of targets.
func (f *fleet) startAll(targets int, met time.Duration) {
	members := f.members
	f.members = nil
	for _, e := range f.entries {
		f.start(e)
		e.ledger.Entries = 0
		e.ledger.SetEntries(0, targets)
	}
	for i := range members {
		members[i] = f.entries[i].member
	}
	f.at(f.now+met, func() {
		f.members = members
		for _, e := range f.entries {
			e.ledger.SetEntries(e.clock(f), len(f.entries))
		}
	})
}

// When all entries have started, requests that lie within the quotas find tokens soon after
// the entries have met, also those of organisations of which each entry mints a small part of
// a token.
func TestFleetStart(t *testing.T) {
	for _, entries := range []int{20, 123} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			is := is.New(t)
			asked, sent := make(map[pimentoregister.OrganisationName]int), make(map[pimentoregister.OrganisationName]int)
			waits := make(map[pimentoregister.OrganisationName][]time.Duration)
			for seed := range uint64(20) {
				f := playStart(seed, entries, 0.6)
				for _, name := range testNames {
					is.True(excess(f.sends[name], testBounds, testLimits[name]) <= 0)
					asked[name] += len(f.asked[name])
					sent[name] += len(f.sends[name])
					waits[name] = append(waits[name], f.waits[name]...)
				}
			}
			for _, name := range testNames {
				slices.Sort(waits[name])
				w := waits[name]
				is.True(sent[name]*100 >= asked[name]*leastAtStart[entries][name])
				t.Logf("%s: %d asked, %d sent, half within %v, 9 of 10 within %v", name, asked[name], sent[name], w[len(w)/2], w[len(w)*9/10])
			}
		})
	}
}

// leastAtStart is the least percentage that finds a token in the first seconds, by the
// number of entries. A small organisation's rate yields one or two tokens in that time.
var leastAtStart = map[int]map[pimentoregister.OrganisationName]int{
	20:  {"large": 99, "middle": 93, "small": 65},
	123: {"large": 99, "middle": 92, "small": 32},
}

// playStart plays the first seconds after the start of all entries.
func playStart(seed uint64, entries int, load float64) *fleet {
	f := newFleet(seed, entries, min(entries, 6), testBounds, testLimits)
	f.wait = StartTime / 6
	f.startAll(3*entries, 400*time.Millisecond)
	for _, name := range testNames {
		f.demand(name, 0, StartTime, load*testLimits[name].Rate, f.anyEntry)
	}
	f.run(StartTime + time.Second)
	return f
}

// An entry mints from its head start on, and all entries may start three times in a window and
// the life before it without more tokens than may run.
func TestHeadStart(t *testing.T) {
	is := is.New(t)
	for _, limit := range testLimits {
		head := testBounds.headStart(limit)
		l := &Ledger{Bounds: testBounds, Run: 1, Entries: 4, HeadStart: true}
		l.SetLimits(0, map[pimentoregister.OrganisationName]Limit{choir: limit})
		is.True(near(held(l, 0), limit.Rate*head.Seconds()/4, 0.001))
		is.True(near(held(l, time.Second), min(limit.Rate*(time.Second+head).Seconds(), limit.Rate*testBounds.Life(limit).Seconds())/4, 0.02*limit.Rate))
		const starts = 3
		most := limit.Rate * (testBounds.Window + testBounds.Life(limit) + starts*head).Seconds()
		is.True(most < testBounds.Most(limit, testBounds.Window))
		// The time before the start counts once.
		takeAll(l, 0)
		l.SetLimits(0, nil)
		l.SetLimits(0, map[pimentoregister.OrganisationName]Limit{choir: limit})
		is.True(held(l, 0) < 1)
	}
}

// The start lasts from the first limit on: an entry whose configuration comes late makes its
// requests wait then as well.
func TestLateConfiguration(t *testing.T) {
	is := is.New(t)
	limits := map[pimentoregister.OrganisationName]Limit{choir: {Rate: 10}}
	l := &Ledger{Bounds: testBounds, Run: 1, Entries: 400, Alone: true}
	l.SetLimits(0, nil)
	first := 5 * time.Second
	l.SetLimits(first, limits)
	takeAll(l, first)
	now := first + StartTime - 1
	l.SetLimits(now, limits)
	_, v := l.Take(now, choir)
	is.Equal(v, Wait)
	is.Equal(l.Refuse(now, choir), startReturn)
	l.SetEntries(now, 100) // What was minted too little is made up for.
	is.True(near(held(l, now), 0.1*testBounds.Life(limits[choir]).Seconds(), 0.02))
	for range 3 {
		_, v = l.Take(first+StartTime, choir)
	}
	is.Equal(v, Denied)
}
