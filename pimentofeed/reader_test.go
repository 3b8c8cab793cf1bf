package pimentofeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestReadPolicyTakesOverByRank(t *testing.T) {
	is := is.New(t)
	var first, second, third ReadPolicy
	is.True(first.Decide(0, Position{}, false, 0, true))
	is.True(!second.Decide(0, Position{1, 1}, true, 0, true))
	old := minTakeoverAge + takeoverStep + time.Millisecond
	is.True(second.Decide(old, Position{1, 1}, false, old, true))
	is.True(!third.Decide(old, Position{2, 2}, false, old, true))
	is.True(third.Decide(old+takeoverStep, Position{2, 2}, false, old+takeoverStep, true))
}

// The first entry of a domain takes over first, whatever its rank in the region, and the
// last of any number of entries at MaxTakeoverAge.
func TestTakeoverAgeIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(Position{RegionRank: 300}.takeoverAge(), minTakeoverAge)
	before := minTakeoverAge
	for rank := range 1000 {
		age := Position{RegionRank: rank + 1, DomainRank: rank}.takeoverAge()
		is.True(age >= before && age <= MaxTakeoverAge)
		before = age
	}
	is.Equal(before, MaxTakeoverAge)
}

func TestReadPolicyHandsBack(t *testing.T) {
	is := is.New(t)
	var r ReadPolicy
	is.True(r.Decide(0, Position{1, 1}, false, time.Hour, true))
	is.True(r.Decide(time.Second, Position{1, 1}, true, 0, true))                  // The first entry reads again.
	is.True(r.Decide(2*time.Second, Position{1, 1}, false, 0, true))               // It no longer reads.
	is.True(r.Decide(3*time.Second, Position{1, 1}, true, 0, true))                // The delay starts again.
	is.True(!r.Decide(3*time.Second+handBackDelay, Position{1, 1}, true, 0, true)) // It has read for handBackDelay.
}

// The last statement of a reader that is no longer heard doesn't stop the entry that took
// over for it.
func TestTakeoverOutlastsOldStatement(t *testing.T) {
	is := is.New(t)
	var r ReadPolicy
	at := Position{RegionRank: 5}
	is.True(!r.Decide(0, at, true, 0, true))
	took := 10 * time.Second
	is.True(r.Decide(took, at, true, minTakeoverAge+1, true))
	is.True(r.Decide(took+time.Second, at, true, 0, true))
}

// regionModel is a region of entries, in domains of two, that receive each other's state
// with a delay. Some can't reach the platform.
type regionModel struct {
	policies  []ReadPolicy
	reads     []bool
	connected []bool // The entry reaches the platform.
	up        []bool
	age       []time.Duration
}

// Entries stop, start, and lose their connection to the platform. While at least one
// running entry reaches the platform, the state of every running entry is at most
// maxAge old, once nothing has changed for that time. When nothing has changed for
// stableTime, exactly one entry reads.
func TestSomeEntryReads(t *testing.T) {
	const (
		size = 5
		tick = 100 * time.Millisecond
		// maxAge is the age at which the second entry of a domain takes over, plus a tick
		// for each hop of the state.
		maxAge = minTakeoverAge + takeoverStep + 4*tick
		// stableTime is the time after which the entries that took over have stopped
		// reading.
		stableTime = maxAge + handBackDelay + 4*tick
	)
	rapid.Check(t, func(t *rapid.T) {
		m := &regionModel{
			policies: make([]ReadPolicy, size), reads: make([]bool, size), connected: make([]bool, size),
			up: make([]bool, size), age: make([]time.Duration, size),
		}
		for i := range size {
			m.connected[i], m.up[i] = true, true
		}
		now, stableFor := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			i := rapid.IntRange(0, size-1).Draw(t, "entry")
			if rapid.Bool().Draw(t, "platform") {
				m.connected[i] = !m.connected[i]
			} else {
				m.up[i] = !m.up[i]
				m.policies[i] = ReadPolicy{}
				m.reads[i] = false
			}
			stableFor = 0
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				now += tick
				stableFor += tick
				m.step(now, tick)
				m.check(t, stableFor, maxAge, stableTime)
			}
		}
	})
}

func (m *regionModel) step(now, tick time.Duration) {
	lowestAge := time.Hour
	for i := range m.policies {
		m.age[i] += tick
		if m.up[i] && m.reads[i] && m.connected[i] {
			m.age[i] = 0
		}
		if m.up[i] {
			lowestAge = min(lowestAge, m.age[i])
		}
	}
	didRead := make([]bool, len(m.policies))
	for i := range m.policies {
		didRead[i] = m.up[i] && m.reads[i] && m.connected[i]
	}
	at, preceding := Position{}, false
	for i := range m.policies {
		if i%2 == 0 {
			at.DomainRank = 0
		}
		if !m.up[i] {
			continue
		}
		m.age[i] = min(m.age[i], lowestAge+tick)
		m.reads[i] = m.policies[i].Decide(now, at, preceding, m.age[i], true)
		at.RegionRank++
		at.DomainRank++
		preceding = preceding || didRead[i]
	}
}

func (m *regionModel) check(t *rapid.T, stableFor, maxAge, stableTime time.Duration) {
	reachable, reading := false, 0
	for i := range m.policies {
		if m.up[i] && m.connected[i] {
			reachable = true
			if m.reads[i] {
				reading++
			}
		}
	}
	if !reachable || stableFor < maxAge {
		return
	}
	for i := range m.policies {
		if m.up[i] && m.age[i] > maxAge {
			t.Fatalf("entry %d has a state of age %v, the limit is %v", i, m.age[i], maxAge)
		}
	}
	if stableFor > stableTime && reading != 1 {
		t.Fatalf("%d entries read the platform after %v without a change", reading, stableFor)
	}
}
