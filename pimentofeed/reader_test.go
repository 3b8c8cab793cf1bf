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
	is.True(first.Decide(0, 0, false, 0, true))
	is.True(!second.Decide(0, 1, true, 0, true))
	old := takeoverAge + takeoverStep + time.Millisecond
	is.True(second.Decide(old, 1, false, old, true))
	is.True(!third.Decide(old, 2, false, old, true))
	is.True(third.Decide(old+takeoverStep, 2, false, old+takeoverStep, true))
}

func TestReadPolicyHandsBack(t *testing.T) {
	is := is.New(t)
	var r ReadPolicy
	is.True(r.Decide(0, 1, false, time.Hour, true))
	is.True(r.Decide(time.Second, 1, true, 0, true))                  // The first entry reads again.
	is.True(r.Decide(2*time.Second, 1, false, 0, true))               // It no longer reads.
	is.True(r.Decide(3*time.Second, 1, true, 0, true))                // The delay starts again.
	is.True(!r.Decide(3*time.Second+handBackDelay, 1, true, 0, true)) // It has read for handBackDelay.
}

// regionModel is a region of entries that receive each other's state with a delay.
// Some can't reach the platform.
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
		// maxAge is the age at which the last entry takes over, plus a tick for each
		// hop of the state.
		maxAge = takeoverAge + size*takeoverStep + 4*tick
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
	rank, preceding := 0, false
	for i := range m.policies {
		if !m.up[i] {
			continue
		}
		m.age[i] = min(m.age[i], lowestAge+tick)
		m.reads[i] = m.policies[i].Decide(now, rank, preceding, m.age[i], true)
		rank++
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
