package pimentofeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReaderTakesOverByRank(t *testing.T) {
	is := is.New(t)
	var first, second, third ReadPolicy
	is.True(first.Decide(0, 0, false, 0, true))
	is.True(!second.Decide(0, 1, true, 0, true))
	old := takeoverAge + takeoverStep + time.Millisecond
	is.True(second.Decide(old, 1, false, old, true))
	is.True(!third.Decide(old, 2, false, old, true))
	is.True(third.Decide(old+takeoverStep, 2, false, old+takeoverStep, true))
}

func TestReaderHandsBack(t *testing.T) {
	is := is.New(t)
	var r ReadPolicy
	is.True(r.Decide(0, 1, false, time.Hour, true))
	is.True(r.Decide(time.Second, 1, true, 0, true))             // The first one is back.
	is.True(r.Decide(2*time.Second, 1, false, 0, true))          // And gone again.
	is.True(r.Decide(3*time.Second, 1, true, 0, true))           // The wait begins anew.
	is.True(!r.Decide(3*time.Second+handBack, 1, true, 0, true)) // It has read long enough.
}

// region is a number of entries that hear of each other's state with a delay.
// Some can't reach the platform.
type regionModel struct {
	readers []ReadPolicy
	reads   []bool
	ok      []bool // Reaches the platform.
	up      []bool
	age     []time.Duration
}

// Whatever entries go, come back and lose the platform: while one that is up
// reaches the platform, all that are up have a fresh state within a bound, and
// once nothing changes for a while just one entry reads.
func TestSomeEntryReads(t *testing.T) {
	const (
		size = 5
		tick = 100 * time.Millisecond
		// bound is the takeover of the last one, and a tick for each hop.
		bound = takeoverAge + size*takeoverStep + 4*tick
		// calm is the time after which the readers that took over have stopped.
		calm = bound + handBack + 4*tick
	)
	rapid.Check(t, func(t *rapid.T) {
		m := &regionModel{
			readers: make([]ReadPolicy, size), reads: make([]bool, size), ok: make([]bool, size),
			up: make([]bool, size), age: make([]time.Duration, size),
		}
		for i := range size {
			m.ok[i], m.up[i] = true, true
		}
		now, quietFor := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			i := rapid.IntRange(0, size-1).Draw(t, "entry")
			if rapid.Bool().Draw(t, "platform") {
				m.ok[i] = !m.ok[i]
			} else {
				m.up[i] = !m.up[i]
				m.readers[i] = ReadPolicy{}
				m.reads[i] = false
			}
			quietFor = 0
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				now += tick
				quietFor += tick
				m.step(now, tick)
				m.check(t, quietFor, bound, calm)
			}
		}
	})
}

func (m *regionModel) step(now, tick time.Duration) {
	least := time.Hour
	for i := range m.readers {
		m.age[i] += tick
		if m.up[i] && m.reads[i] && m.ok[i] {
			m.age[i] = 0
		}
		if m.up[i] {
			least = min(least, m.age[i])
		}
	}
	worked := make([]bool, len(m.readers))
	for i := range m.readers {
		worked[i] = m.up[i] && m.reads[i] && m.ok[i]
	}
	rank, earlier := 0, false
	for i := range m.readers {
		if !m.up[i] {
			continue
		}
		m.age[i] = min(m.age[i], least+tick)
		m.reads[i] = m.readers[i].Decide(now, rank, earlier, m.age[i], true)
		rank++
		earlier = earlier || worked[i]
	}
}

func (m *regionModel) check(t *rapid.T, quietFor, bound, calm time.Duration) {
	reachable, reading := false, 0
	for i := range m.readers {
		if m.up[i] && m.ok[i] {
			reachable = true
			if m.reads[i] {
				reading++
			}
		}
	}
	if !reachable || quietFor < bound {
		return
	}
	for i := range m.readers {
		if m.up[i] && m.age[i] > bound {
			t.Fatalf("entry %d has a state of age %v, the bound is %v", i, m.age[i], bound)
		}
	}
	if quietFor > calm && reading != 1 {
		t.Fatalf("%d entries read the platform after %v without a change", reading, quietFor)
	}
}
