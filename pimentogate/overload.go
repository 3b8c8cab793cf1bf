package pimentogate

import "pimentoarch/pimentoregister"

// share is a moving average of yes (1) and no (0).
type share float64

// add takes one more observation.
func (s *share) add(yes bool, weight float64) {
	x := 0.0
	if yes {
		x = 1
	}
	*s += share(weight * (x - float64(*s)))
}

// leastQueue is the length of a queue, in slots, below which a refusal has
// another cause than a full queue.
const leastQueue = 2

// learnQueue takes a refusal for lack of room.
func (f *flow) learnQueue(s pimentoregister.ServiceName, r LoadReport) {
	if r.Slots == 0 || r.Running < r.Slots || r.Waiting < leastQueue*r.Slots {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queues == nil {
		f.queues = make(map[pimentoregister.ServiceName]int)
	}
	f.queues[s] = max(f.queues[s], r.Waiting)
}

const (
	// shedWeight is the weight of one send in a service's share of refusals.
	shedWeight = 0.05
	// shedLimit is the share of refused sends from which a service counts as
	// overloaded.
	shedLimit = 0.3
)

// sent takes whether a target refused a send for lack of room. It reports
// whether the service counts as overloaded now, and whether that is a change.
func (f *flow) sent(s pimentoregister.ServiceName, refused bool) (now, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shed == nil {
		f.shed = make(map[pimentoregister.ServiceName]*share)
	}
	shed := f.shed[s]
	if shed == nil {
		shed = new(share)
		f.shed[s] = shed
	}
	before := *shed > shedLimit
	shed.add(refused, shedWeight)
	now = *shed > shedLimit
	return now, now != before
}

// overloaded reports whether targets of a service refuse a good part of what
// is sent there.
func (f *flow) overloaded(s pimentoregister.ServiceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shed[s] != nil && *f.shed[s] > shedLimit
}
