package pimentogate

import "pimentoarch/pimentoregister"

// movingRate is a moving average of observations, 1 for yes and 0 for no.
type movingRate float64

// observe adds an observation.
func (r *movingRate) observe(yes bool, weight float64) {
	x := 0.0
	if yes {
		x = 1
	}
	*r += movingRate(weight * (x - float64(*r)))
}

// minFullQueue is the queue length per slot below which a refusal isn't due to a
// full queue.
const minFullQueue = 2

// recordFullQueue records the queue length of a target that refused a request
// because its queue was full.
func (ts *trafficStats) recordFullQueue(s pimentoregister.ServiceName, r LoadReport) {
	if r.Slots == 0 || r.Running < r.Slots || r.Waiting < minFullQueue*r.Slots {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.fullQueues == nil {
		ts.fullQueues = make(map[pimentoregister.ServiceName]int)
	}
	ts.fullQueues[s] = max(ts.fullQueues[s], r.Waiting)
}

const (
	// refusalWeight is the weight of one send in a service's refusal rate.
	refusalWeight = 0.05
	// overloadLimit is the refusal rate above which a service counts as overloaded.
	overloadLimit = 0.3
)

// recordSend records whether a target refused a send. It returns whether the
// service is overloaded now, and whether that has changed.
func (ts *trafficStats) recordSend(s pimentoregister.ServiceName, refused bool) (now, changed bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.refusalRates == nil {
		ts.refusalRates = make(map[pimentoregister.ServiceName]*movingRate)
	}
	rate := ts.refusalRates[s]
	if rate == nil {
		rate = new(movingRate)
		ts.refusalRates[s] = rate
	}
	before := *rate > overloadLimit
	rate.observe(refused, refusalWeight)
	now = *rate > overloadLimit
	return now, now != before
}

// overloaded reports whether the refusal rate of a service is above the limit.
func (ts *trafficStats) overloaded(s pimentoregister.ServiceName) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.refusalRates[s] != nil && *ts.refusalRates[s] > overloadLimit
}
