package pimentoload

import "time"

// Callers counts the requests of each caller lately. It remembers maxCallers at most for
// callerMemory to twice that, and forgets them then. The zero value is ready to use. It isn't
// safe for concurrent use.
type Callers struct {
	last, current callerCounts
	since         time.Duration // Of current.
}

type callerCounts struct {
	byCaller map[string]int
	total    int
}

const (
	maxCallers   = 256
	callerMemory = 5 * time.Second
	// greedyFactor times what other callers send or hold on average is the number above
	// which a caller counts as greedy, and greedyRequests and greedyHeld are numbers that
	// no caller exceeds by chance.
	greedyFactor   = 4
	greedyRequests = 40
	greedyHeld     = 4
)

// Observe records a request. Callers beyond maxCallers aren't counted.
func (cs *Callers) Observe(now time.Duration, caller string) {
	if cs.current.byCaller == nil || now-cs.since >= callerMemory {
		if cs.last = cs.current; now-cs.since >= 2*callerMemory {
			cs.last = callerCounts{}
		}
		cs.current, cs.since = callerCounts{byCaller: make(map[string]int)}, now
	}
	n, known := cs.current.byCaller[caller]
	if !known && len(cs.current.byCaller) >= maxCallers {
		return
	}
	cs.current.byCaller[caller] = n + 1
	cs.current.total++
}

// SendsMost reports whether a caller sends far more requests than others.
func (cs *Callers) SendsMost(caller string) bool {
	own := cs.current.byCaller[caller] + cs.last.byCaller[caller]
	total := cs.current.total + cs.last.total
	callers := max(len(cs.current.byCaller), len(cs.last.byCaller))
	return exceeds(own, total, callers, greedyRequests)
}

// exceeds reports whether own is above least and far above the mean of the others. A caller
// without others isn't compared.
func exceeds(own, total, callers, least int) bool {
	return callers > 1 && own > least && own*(callers-1) > greedyFactor*(total-own)
}

// isGreedy reports whether a caller holds or sends far more requests than others.
func (l *Line) isGreedy(caller string) bool {
	return l.callers.SendsMost(caller) || exceeds(l.held[caller], l.length, len(l.held), greedyHeld)
}
