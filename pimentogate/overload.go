package pimentogate

import (
	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
)

// serviceStats is what this entry has measured on the requests to one service.
type serviceStats struct {
	curve   pimentoload.Curve
	urgency pimentoload.Urgency
	// pressure is the moving average of requests that this entry refused.
	pressure movingRate
	// refusalRate is the moving average of sends that targets refused.
	refusalRate movingRate
	// fullQueue is the longest queue at which a target refused a request, 0 if none did.
	fullQueue int
	// queue is what is known about targets that are silent when full.
	queue pimentoload.Queue
}

// service returns the statistics of a service. It is called with mu held.
func (ts *trafficStats) service(name pimentoregister.ServiceName) *serviceStats {
	if ts.services == nil {
		ts.services = make(map[pimentoregister.ServiceName]*serviceStats)
	}
	s := ts.services[name]
	if s == nil {
		s = new(serviceStats)
		ts.services[name] = s
	}
	return s
}

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

// recordFullQueue records the queue length of a target that refused a request
// because its queue was full.
func (ts *trafficStats) recordFullQueue(s pimentoregister.ServiceName, r LoadReport) {
	if !pimentoload.IsLong(r.Running, r.Waiting, r.Slots) {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	full := &ts.service(s).fullQueue
	*full = max(*full, r.Waiting)
	ts.service(s).queue.Refused()
}

const (
	// refusalWeight is the weight of one send in a service's refusal rate.
	refusalWeight = 0.05
	// overloadLimit is the refusal rate above which a service counts as overloaded.
	overloadLimit = 0.3
)

// recordSend records whether a target refused a send. It returns whether the
// service is overloaded now, and whether that has changed.
func (ts *trafficStats) recordSend(s pimentoregister.ServiceName, refused bool) (overloaded, changed bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	rate := &ts.service(s).refusalRate
	before := *rate > overloadLimit
	rate.observe(refused, refusalWeight)
	overloaded = *rate > overloadLimit
	return overloaded, overloaded != before
}

// overloaded reports whether the refusal rate of a service is above the limit.
func (ts *trafficStats) overloaded(s pimentoregister.ServiceName) bool {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.service(s).refusalRate > overloadLimit
}

const (
	// pressureWeight is the weight of one request in a service's pressure.
	pressureWeight = 0.04
	// calmPressure is the pressure below which hardly any requests are refused.
	calmPressure = 0.02
)

// recordEnd records whether this entry refused a request to a service.
func (ts *trafficStats) recordEnd(s pimentoregister.ServiceName, refused bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.service(s).pressure.observe(refused, pressureWeight)
}

// pressure returns the fraction of the last requests to a service that this entry refused.
func (ts *trafficStats) pressure(s pimentoregister.ServiceName) float64 {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return float64(ts.service(s).pressure)
}
