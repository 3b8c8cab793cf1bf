package pimentoentry

import (
	"sync"
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
)

// quarantine holds the requests that crash targets.
type quarantine struct {
	now func() time.Duration

	mu    sync.Mutex // Guards state.
	state pimentoretry.Quarantine
}

// trialPoll is the time between two checks whether a request under trial may be sent.
const trialPoll = 2 * time.Millisecond

// allow reports whether the request may be sent. While another exchange of the same
// request is under trial, allow waits for its result, at most until the deadline.
func (q *quarantine) allow(p pimentoretry.Fingerprint, deadline time.Time) bool {
	for {
		q.mu.Lock()
		ok := q.state.Allow(q.now(), p)
		busy := q.state.InFlight(p)
		q.mu.Unlock()
		if ok || !busy || time.Now().After(deadline) {
			return ok
		}
		time.Sleep(trialPoll)
	}
}

// completed records that a target has responded to the request, which clears it.
func (q *quarantine) completed(p pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Completed(q.now(), p)
	q.mu.Unlock()
}

// ended records that an exchange has ended in a way that says nothing about the request.
func (q *quarantine) ended(p pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Release(p)
	q.mu.Unlock()
}

// merge applies a crash that a peer has recorded, and reports whether it was new.
func (q *quarantine) merge(p pimentoretry.Fingerprint, c pimentoretry.Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Merge(q.now(), p, c)
}

// len returns the number of requests that are recorded with crashes.
func (q *quarantine) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Len()
}

// onCrash records that a request's target dropped the connection without a response.
// It publishes the crash to the peers in the home regions of the organisation, and
// waits for acknowledgements, because the caller resends once it has a response.
func (e *Entry) onCrash(c *call, a *attempt) {
	q := &e.quarantine
	q.mu.Lock()
	crash, isNew := q.state.Crashed(q.now(), a.quarantineID, string(a.target.Name))
	q.mu.Unlock()
	if isNew {
		e.publishAndWait([]pimentopeer.Change{{Fingerprint: a.quarantineID, Crash: crash, Regions: c.homeRegions}})
	}
}
