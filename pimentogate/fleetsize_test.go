package pimentogate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// While further members are met, and while none is although there are seeds, the size is
// unknown.
func TestFleetSizeSettles(t *testing.T) {
	is := is.New(t)
	var f fleetSize
	f.observe(0, 1, true)
	f.observe(10*settleTime, 1, true)
	is.Equal(f.value(), 0)
	at := 10 * settleTime
	for n := 2; n < 20; n++ {
		at += settleTime / 2
		f.observe(at, n, false)
		is.Equal(f.value(), 0)
	}
	f.observe(at+settleTime, 19, false)
	is.Equal(f.value(), 19)
	f.observe(at+settleTime, 3, false) // The others were lost.
	is.Equal(f.value(), 19)
}

// An entry that stands alone and has no seeds knows that soon.
func TestFleetOfOne(t *testing.T) {
	is := is.New(t)
	var f fleetSize
	f.observe(0, 1, false)
	is.Equal(f.value(), 0)
	f.observe(settleTime, 1, false)
	is.Equal(f.value(), 1)
}

// An entry that starts again knows the size from the first entry that it meets. A size from
// before entries were removed is forgotten once each entry has started again.
func TestStatedFleetSize(t *testing.T) {
	is := is.New(t)
	var old, young, last fleetSize
	old.observe(0, 140, false)
	old.observe(settleTime, 140, false)
	young.observe(0, 2, false)
	young.state(old.own())
	is.Equal(young.value(), 140)
	is.Equal(young.own(), 0)
	young.observe(settleTime, 16, false)
	young.observe(2*settleTime, 16, false)
	is.Equal(young.value(), 140)
	last.state(young.own())
	is.Equal(last.value(), 16)
}

// The size never decreases once it is known, and is never less than the members that were
// met.
func TestFleetSizeNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fleetSize
		now, known, met := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			live := rapid.IntRange(1, 140).Draw(t, "live")
			met = max(met, live)
			f.observe(now, live, live == 1 && rapid.Bool().Draw(t, "seeds"))
			if rapid.IntRange(0, 5).Draw(t, "message") == 0 {
				f.state(rapid.IntRange(0, 140).Draw(t, "stated"))
			}
			if n := f.value(); n < known || (n > 0 && n < met) {
				t.Fatalf("size %d after %d, of %d members", n, known, met)
			}
			known = f.value()
		}
	})
}

// Soon after a start, the members that were met count if no more are met for a while.
func TestEarlySize(t *testing.T) {
	is := is.New(t)
	var f fleetSize
	f.observe(0, 1, true)
	is.Equal(f.early(time.Hour), 0) // Alone.
	f.observe(time.Second, 5, false)
	f.observe(time.Second+earlySettleTime/2, 9, false)
	is.Equal(f.early(time.Second+earlySettleTime), 0)
	is.Equal(f.early(time.Second+earlySettleTime*3/2), 9)
	is.Equal(f.value(), 0)
}
