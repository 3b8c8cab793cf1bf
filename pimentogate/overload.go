package pimentogate

import "pimentoarch/pimentoregister"

// movingRate is a moving average of yes (1) and no (0).
type movingRate float64

// observe takes one more observation.
func (s *movingRate) observe(yes bool, weight float64) {
	x := 0.0
	if yes {
		x = 1
	}
	*s += movingRate(weight * (x - float64(*s)))
}

// minFullQueue is the length of a queue, in slots, below which a refusal has
// another cause than a full queue.
const minFullQueue = 2

// recordFullQueue takes a refusal for lack of room.
func (f *trafficStats) recordFullQueue(s pimentoregister.ServiceName, r LoadReport) {
	if r.Slots == 0 || r.Running < r.Slots || r.Waiting < minFullQueue*r.Slots {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fullQueues == nil {
		f.fullQueues = make(map[pimentoregister.ServiceName]int)
	}
	f.fullQueues[s] = max(f.fullQueues[s], r.Waiting)
}

const (
	// refusalWeight is the weight of one send in a service's share of refusals.
	refusalWeight = 0.05
	// overloadLimit is the share of refused sends from which a service counts as
	// overloaded.
	overloadLimit = 0.3
)

// recordSend takes whether a target refused a send for lack of room. It reports
// whether the service counts as overloaded now, and whether that is a change.
func (f *trafficStats) recordSend(s pimentoregister.ServiceName, refused bool) (now, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusalRates == nil {
		f.refusalRates = make(map[pimentoregister.ServiceName]*movingRate)
	}
	shed := f.refusalRates[s]
	if shed == nil {
		shed = new(movingRate)
		f.refusalRates[s] = shed
	}
	before := *shed > overloadLimit
	shed.observe(refused, refusalWeight)
	now = *shed > overloadLimit
	return now, now != before
}

// overloaded reports whether targets of a service refuse a good part of what
// is sent there.
func (f *trafficStats) overloaded(s pimentoregister.ServiceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusalRates[s] != nil && *f.refusalRates[s] > overloadLimit
}
