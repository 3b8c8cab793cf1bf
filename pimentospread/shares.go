package pimentospread

import (
	"time"

	"pimentoarch/pimentoregister"
)

const (
	// highBusy is the load of a domain above which part of its requests goes elsewhere: three
	// probes find no free slot in half of the cases (0.8 to the third power).
	highBusy = 0.8
	// lowBusy is the load of a domain up to which others fill it. It is below highBusy, so
	// that what others send doesn't drive away its own requests.
	lowBusy = 0.65
	// crowdHighBusy and crowdLowBusy take their places for requests of which more than
	// crowdPressure are refused: for them, a full domain is better than a refusal. Once the
	// domains are full, their callers are refused alike.
	crowdHighBusy = 1.1
	crowdLowBusy  = 1.0
	crowdPressure = 0.1
	// evenMargin is how far above the mean load domains are left alone.
	evenMargin = 0.03
	// fullBusy is the load from which a domain counts as full: as many requests run and wait
	// as it has slots.
	fullBusy = 1.0
	// stepInterval is the time between two changes of shares.
	stepInterval = 500 * time.Millisecond
	// stepGain is the fraction of a difference that one change evens out. Figures show the
	// effect of a change about a second later, after two further changes.
	stepGain = 0.2
	// maxStep bounds one change of the share of a domain.
	maxStep = 0.06
	// yieldStep is the change of the share of free requests that make way, and calmYieldStep
	// that back, which is slower, because the shortage ends when they make way.
	yieldStep     = 0.1
	calmYieldStep = 0.02
	// shortLimit is the fraction of refused requests from which bound ones are short of room.
	shortLimit Permille = 20
	// maxAway bounds the fraction of requests whose first choice is another domain, so that
	// the own domain's figures stay known.
	maxAway = 0.9
)

// shares are the fractions of this entry's requests to one service whose first choice is
// another domain, and what they follow from.
type shares struct {
	steppedAt time.Duration
	stepped   bool
	away      [MaxDomains]float64 // By the index of the domain; 0 for the own one.
	loads     [MaxDomains]load
	// crowded is set while more than crowdPressure of these requests are refused and their home
	// is busy. Targets that refuse although they have room are no reason to go elsewhere.
	crowded  bool
	pressure float64 // The fraction of these requests that is refused here.
	// homeDistance is the smallest distance at which there are targets.
	homeDistance Distance
	low, high    float64 // The loads up to which a domain is filled, and above which it is relieved.
	// yield is the fraction of free requests that leave the room in this region to bound ones.
	yield float64
}

// load is the room of a domain in slots.
type load struct {
	slots, busy float64
	age         time.Duration
	slowdown    Percent
	known       bool
}

// excess returns the requests in a domain that should go elsewhere.
func (s *shares) excess(i int) float64 { return max(0, s.loads[i].busy-s.high*s.loads[i].slots) }

// spare returns the requests that others may send to a domain.
func (s *shares) spare(i int) float64 { return max(0, s.low*s.loads[i].slots-s.loads[i].busy) }

// Step updates the shares of the requests to a service that the allowed domains may serve, and
// reports whether it did, which it does each stepInterval. slots returns the slots of the
// service's targets in a domain, and pressure is the fraction of such requests that this entry
// refuses.
func (v *View) Step(now time.Duration, service pimentoregister.ServiceName, allowed uint64, pressure float64, slots func(pimentoregister.DomainName) int) bool {
	if len(v.domains) > MaxDomains {
		return false
	}
	key := shareKey{service, allowed}
	s := v.services[key]
	if s == nil {
		s = new(shares)
		put(&v.services, key, s)
	}
	if s.stepped && now-s.steppedAt < stepInterval {
		return false
	}
	s.stepped, s.steppedAt = true, now
	for i, d := range v.domains {
		s.loads[i] = load{}
		if allowed&(1<<i) == 0 {
			continue
		}
		r, known := v.Room(now, RoomKey{Service: service, Domain: d.Name})
		n := float64(slots(d.Name))
		s.loads[i] = load{slots: n, busy: n * float64(r.Busy) / 1000, age: now - r.At, slowdown: max(usualSlowdown, r.Slowdown), known: known && n > 0}
	}
	s.homeDistance = v.findHome(s)
	s.crowded = pressure > crowdPressure && v.homeIsBusy(s)
	s.pressure = pressure
	s.setLevels()
	v.stepYield(now, s, service, allowed)
	v.stepAway(s, pressure)
	return true
}

// setLevels sets the levels of load from the mean one: if that is high, all domains are brought
// near it, so that callers of the busiest aren't served worse than those of others.
func (s *shares) setLevels() {
	busy, slots := 0.0, 0.0
	for i := range s.loads {
		if l := &s.loads[i]; l.known {
			busy, slots = busy+l.busy, slots+l.slots
		}
	}
	mean := busy / max(1, slots)
	s.low, s.high = max(lowBusy, mean), max(highBusy, mean+evenMargin)
	if s.crowded {
		s.low, s.high = max(s.low, crowdLowBusy), max(s.high, crowdHighBusy)
	}
}

// stepYield changes the fraction of free requests that make way. Those that are bound
// themselves don't.
func (v *View) stepYield(now time.Duration, s *shares, service pimentoregister.ServiceName, allowed uint64) {
	if every := uint64(1)<<len(v.domains) - 1; allowed&every != every {
		return
	}
	region := v.ownRegion()
	short, ok := v.shortages[RegionKey{Service: service, Region: region}]
	if ok && now-short.At <= FreshLimit && short.Refused >= shortLimit {
		s.yield = min(1, s.yield+yieldStep)
		return
	}
	s.yield = max(0, s.yield-calmYieldStep)
}

// ownRegion returns the region of the entry.
func (v *View) ownRegion() pimentoregister.RegionName {
	for _, d := range v.domains {
		if d.Distance == SameDomain {
			return d.Region
		}
	}
	return ""
}

// stepAway changes the shares of the other domains by a bounded step towards those that even
// out what the fresh figures show. Each domain moves only its own part of what is to move, so
// that all entries together don't move more than there is room for.
func (v *View) stepAway(s *shares, pressure float64) {
	home, homeBusy, homeExcess, homeSpare, homeAge := v.home(s)
	if !home {
		s.away = [MaxDomains]float64{}
		return
	}
	if s.crowded {
		homeExcess += pressure * homeBusy
	}
	moved := v.moves(s, homeExcess)
	total := 0.0
	for i := range v.domains {
		l := &s.loads[i]
		if v.isHome(s, i) || !l.known {
			s.away[i] = 0
			continue
		}
		trust := max(0, 1-float64(max(l.age, homeAge))/float64(FreshLimit))
		change := moved[i]
		if change == 0 {
			change = -max(s.excess(i), homeSpare)
		}
		change *= stepGain * trust / max(1, homeBusy)
		s.away[i] = max(0, s.away[i]+min(maxStep, max(-maxStep, change)))
		total += s.away[i]
	}
	if total > maxAway {
		for i := range v.domains {
			s.away[i] *= maxAway / total
		}
	}
}

// isHome reports whether a domain is one that this entry's requests go to anyway: those at the
// smallest distance at which there are targets.
func (v *View) isHome(s *shares, i int) bool { return v.domains[i].Distance <= s.homeDistance }

// findHome returns the smallest distance at which there are targets.
func (v *View) findHome(s *shares) Distance {
	home := OtherRegion
	for i, d := range v.domains {
		if s.loads[i].slots > 0 {
			home = min(home, d.Distance)
		}
	}
	return home
}

// homeIsBusy reports whether the load of the home is above highBusy.
func (v *View) homeIsBusy(s *shares) bool {
	busy, slots := 0.0, 0.0
	for i := range v.domains {
		if l := &s.loads[i]; l.known && v.isHome(s, i) {
			busy, slots = busy+l.busy, slots+l.slots
		}
	}
	return busy > highBusy*slots
}

// home sums up the domains that this entry's requests go to anyway. It returns false if the
// figure of one with targets isn't known.
func (v *View) home(s *shares) (ok bool, busy, excess, spare float64, age time.Duration) {
	for i := range v.domains {
		l := &s.loads[i]
		if !v.isHome(s, i) || l.slots == 0 {
			continue
		}
		if !l.known {
			return false, 0, 0, 0, 0
		}
		ok = true
		busy, excess, spare = busy+l.busy, excess+s.excess(i), spare+max(0, s.spare(i)-evenMargin*l.slots)
		age = max(age, l.age)
	}
	return ok, busy, excess, spare, age
}

// moves returns the requests that should move from this entry's home to each domain: first to
// the domains of the region, and the rest to other regions. Where there is less spare room
// than the domains concerned want to move, each moves the same fraction.
func (v *View) moves(s *shares, homeExcess float64) (moved [MaxDomains]float64) {
	if homeExcess <= 0 {
		return moved
	}
	nearExcess, nearSpare := v.regionSums(s, v.ownRegion())
	near := min(1, nearSpare/max(nearExcess, homeExcess))
	farExcess, farSpare := 0.0, 0.0
	for i, d := range v.domains {
		if i > 0 && v.domains[i-1].Region == d.Region {
			continue // Domains are sorted by region.
		}
		excess, spare := v.regionSums(s, d.Region)
		farExcess += max(0, excess-spare)
		if d.Distance == OtherRegion {
			farSpare += max(0, spare-excess)
		}
	}
	rest := homeExcess * (1 - near)
	far := min(1, farSpare/max(farExcess, rest, 1e-9))
	for i, d := range v.domains {
		l := &s.loads[i]
		if !l.known || v.isHome(s, i) {
			continue
		}
		if d.Distance == SameRegion && nearSpare > 0 {
			moved[i] = homeExcess * near * s.spare(i) / nearSpare
		}
		if d.Distance == OtherRegion && farSpare > 0 {
			excess, spare := v.regionSums(s, d.Region)
			if spare > excess {
				moved[i] = rest * far * s.spare(i) / spare * (spare - excess) / farSpare
			}
		}
	}
	return moved
}

// regionSums returns the excess and spare of a region's domains with fresh figures.
func (v *View) regionSums(s *shares, region pimentoregister.RegionName) (excess, spare float64) {
	for i, d := range v.domains {
		if d.Region == region && s.loads[i].known {
			excess += s.excess(i)
			spare += s.spare(i)
			if l := &s.loads[i]; s.crowded && l.busy > highBusy*l.slots {
				// Requests are refused there as they are here, as far as is known.
				excess += s.pressure * l.busy
			}
		}
	}
	return excess, spare
}
