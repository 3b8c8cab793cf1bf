package pimentospread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

// fleet is entries and domains in virtual time. In each tick an entry's requests fill slots by
// its shares. Figures show loads as they were a delay before.
type fleet struct {
	domains, regions int
	entries          []*View
	demand           []float64 // By domain of callers, in slots.
	slots            []int     // By domain of targets.
	delay            time.Duration
	history          [][]float64 // Loads by tick and domain.
	number           uint32
	// jump, if set, replaces the bounded step: all shares are set to what the figures ask.
	jump     bool
	pressure float64 // Of all entries.
}

// everywhere is the set of all domains.
const everywhere = math.MaxUint64

var testKey = shareKey{testService, everywhere}

const (
	tick       = 100 * time.Millisecond
	smallDelay = time.Second
)

// newFleet returns a fleet with as many entries in each domain.
func newFleet(entries, domains, regions int) *fleet {
	f := &fleet{domains: domains, regions: regions, delay: smallDelay}
	for i := range entries {
		f.entries = append(f.entries, NewView(uint32(i+1), testDomains(domains, regions, i%domains)))
	}
	for range domains {
		f.demand, f.slots = append(f.demand, 50), append(f.slots, 100)
	}
	return f
}

// run plays ticks, and returns the loads of the last one as fractions of the slots.
func (f *fleet) run(ticks int) []float64 {
	for range ticks {
		f.tick()
	}
	return f.history[len(f.history)-1]
}

func (f *fleet) tick() {
	now := time.Duration(len(f.history)) * tick
	loads := make([]float64, f.domains)
	for i, v := range f.entries {
		home := i % f.domains
		part := f.demand[home] / float64((len(f.entries)+f.domains-1-home)/f.domains)
		away := 0.0
		if s := v.services[testKey]; s != nil {
			for j := range f.domains {
				if f.slots[j] > 0 {
					loads[j] += part * s.away[j] / float64(max(1, f.slots[j]))
					away += s.away[j]
				}
			}
		}
		// The rest goes to the own domain, or to the one beside it if that has no targets.
		rest := home
		if f.slots[home] == 0 {
			rest = home ^ 1
		}
		loads[rest] += part * (1 - away) / float64(f.slots[rest])
	}
	f.history = append(f.history, loads)
	seen := len(f.history) - 1 - int(f.delay/tick)
	if seen < 0 {
		return
	}
	f.number++
	for i, v := range f.entries {
		for j, l := range f.history[seen] {
			if f.slots[j] > 0 {
				v.MergeRoom(roomKey(j), Room{Stamp: Stamp{Origin: 1000, Number: f.number, At: now - f.delay}, Busy: Permille(1000 * l), Slowdown: usualSlowdown})
			}
		}
		// Entries don't change their shares in step.
		if at := now + time.Duration(i%5)*tick; at%stepInterval == 0 {
			f.step(v, now)
		}
	}
}

func (f *fleet) step(v *View, now time.Duration) {
	times := 1
	if f.jump {
		times = int(math.Round(1 / stepGain))
	}
	for range times {
		v.Step(now, testService, everywhere, f.pressure, f.slotsOf)
		if f.jump {
			v.services[testKey].stepped = false
		}
	}
	v.services[testKey].stepped = true
}

func (f *fleet) slotsOf(d pimentoregister.DomainName) int {
	var i int
	if _, err := fmt.Sscanf(string(d), "d%d", &i); err != nil {
		return 0
	}
	return f.slots[i]
}

// swing returns the largest difference between two loads of a domain in the last ticks.
func (f *fleet) swing(domain, ticks int) float64 {
	low, high := math.Inf(1), 0.0
	for _, loads := range f.history[len(f.history)-ticks:] {
		low, high = min(low, loads[domain]), max(high, loads[domain])
	}
	return high - low
}

// TestIdleDomainIsFilledWithoutAHerd answers the load under which all domains but one are
// full, and all entries learn at the same time that one is idle: with 20 and with 104 entries
// and figures a second old.
func TestIdleDomainIsFilledWithoutAHerd(t *testing.T) {
	for _, entries := range []int{20, 104} {
		is := is.New(t)
		f := newFleet(entries, 6, 3)
		f.demand = []float64{100, 100, 100, 100, 100, 0}
		loads := f.run(400)
		is.True(loads[5] > 0.5) // The idle domain serves part of the demand.
		for i := range 5 {
			is.True(loads[i] < 0.95) // The full ones have room again.
		}
		peak := 0.0
		for _, l := range f.history {
			peak = max(peak, l[5])
		}
		t.Logf("%d entries: loads %.2f, peak of the idle one %.2f, swing %.2f", entries, loads, peak, f.swing(5, 200))
		is.True(peak < fullBusy)
		is.True(f.swing(5, 200) < 0.1)
	}
}

// TestWithoutDampingItSwings takes the damping out of the same load: the domain that was idle
// gets more than it has room for, which the test above must not allow.
func TestWithoutDampingItSwings(t *testing.T) {
	for _, entries := range []int{20, 104} {
		is := is.New(t)
		f := newFleet(entries, 6, 3)
		f.demand = []float64{100, 100, 100, 100, 100, 0}
		f.jump = true
		f.run(400)
		peak := 0.0
		for _, l := range f.history {
			peak = max(peak, l[5])
		}
		t.Logf("%d entries without damping: peak %.2f, swing %.2f", entries, peak, f.swing(5, 200))
		is.True(peak >= fullBusy || f.swing(5, 200) >= 0.1)
	}
}

// TestRegionBeforeOtherRegions answers uneven demand that the domains of the region can take:
// no request leaves the region.
func TestRegionBeforeOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newFleet(18, 6, 3)
	f.demand = []float64{100, 20, 20, 20, 20, 20}
	loads := f.run(300)
	is.True(loads[0] < 0.9)
	is.True(loads[1] > 0.25)
	for i := 2; i < 6; i++ {
		is.True(math.Abs(loads[i]-0.2) < 1e-9)
	}
}

// TestDemandThatEndsComesHome answers a peak that ends: requests come back to their domain.
func TestDemandThatEndsComesHome(t *testing.T) {
	is := is.New(t)
	f := newFleet(18, 6, 3)
	f.demand = []float64{130, 20, 20, 20, 20, 20}
	f.run(300)
	is.True(f.swing(1, 1) == 0 && f.history[299][1] > 0.3)
	f.demand[0] = 30
	loads := f.run(300)
	is.True(loads[0] > 0.29)
	is.True(loads[1] < 0.21)
}

// TestEvacuatedWhileOthersAreFull answers a domain out of service while that beside it is
// full and those of another region have room: its callers' requests go there.
func TestEvacuatedWhileOthersAreFull(t *testing.T) {
	is := is.New(t)
	f := newFleet(18, 6, 3)
	f.demand = []float64{60, 95, 30, 30, 30, 30}
	f.run(100)
	f.slots[0] = 0
	f.entries[0].services[testKey].away[0] = 0.1 // Of before: it must not last.
	f.run(300)
	away := f.entries[0].services[testKey].away
	is.Equal(away[0], 0.0)
	is.True(away[2]+away[3]+away[4]+away[5] > 0.2)
}

// TestBusiestDomainIsBroughtNearTheMean answers a load above all levels that is uneven.
func TestBusiestDomainIsBroughtNearTheMean(t *testing.T) {
	is := is.New(t)
	f := newFleet(18, 6, 3)
	f.demand = []float64{140, 80, 80, 80, 80, 80}
	loads := f.run(300)
	t.Logf("loads %.2f", loads)
	is.True(loads[0] < 0.95)
	is.True(loads[5] > 0.81)
}

// TestSmallIdleDomainIsNotOverrun answers five full domains beside a small idle one: each moves
// its own part only.
func TestSmallIdleDomainIsNotOverrun(t *testing.T) {
	for _, entries := range []int{20, 104} {
		is := is.New(t)
		f := newFleet(entries, 6, 3)
		f.demand = []float64{130, 130, 130, 130, 130, 0}
		f.slots[5] = 20
		f.run(400)
		peak := 0.0
		for _, l := range f.history {
			peak = max(peak, l[5])
		}
		t.Logf("%d entries: peak of the small idle one %.2f, swing %.2f", entries, peak, f.swing(5, 200))
		is.True(peak < 1.4) // The mean load is 1.25.
		is.True(f.swing(5, 200) < 0.1)
	}
}

// TestSmallIdleDomainUnderRefusals answers the same while half of the requests are refused:
// entries take into account what others move for that reason.
func TestSmallIdleDomainUnderRefusals(t *testing.T) {
	for _, entries := range []int{20, 104} {
		f := newFleet(entries, 6, 3)
		f.demand = []float64{130, 130, 130, 130, 130, 0}
		f.slots[5], f.pressure = 20, 0.5
		f.run(400)
		peak := 0.0
		for _, l := range f.history {
			peak = max(peak, l[5])
		}
		t.Logf("%d entries: peak of the small idle one %.2f, swing %.2f", entries, peak, f.swing(5, 200))
		is.New(t).True(peak < 1.4)
	}
}

// TestSmallIdleDomainSettlesUnderRefusals checks that the same load doesn't swing.
func TestSmallIdleDomainSettlesUnderRefusals(t *testing.T) {
	for _, entries := range []int{20, 104} {
		f := newFleet(entries, 6, 3)
		f.demand = []float64{130, 130, 130, 130, 130, 0}
		f.slots[5], f.pressure = 20, 0.5
		f.run(400)
		peak := 0.0
		for _, l := range f.history {
			peak = max(peak, l[5])
		}
		t.Logf("%d entries: peak of the small idle one %.2f, swing %.2f", entries, peak, f.swing(5, 200))
		is.New(t).True(f.swing(5, 200) < 0.1)
	}
}
