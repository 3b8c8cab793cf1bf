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

// allowPoll is the time between two checks whether a request may be sent.
const allowPoll = 2 * time.Millisecond

// allow reports whether the request may be sent. If it may not while another exchange
// of the same request is in progress, allow waits for the end of that exchange, which
// may change the result, at most until the deadline.
func (q *quarantine) allow(fp pimentoretry.Fingerprint, deadline time.Time) bool {
	for {
		q.mu.Lock()
		ok := q.state.Allow(q.now(), fp)
		busy := q.state.InFlight(fp)
		q.mu.Unlock()
		if ok || !busy || time.Now().After(deadline) {
			return ok
		}
		time.Sleep(allowPoll)
	}
}

// completed records that a target has responded to the request, and deletes the
// request's crashes.
func (q *quarantine) completed(fp pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Completed(q.now(), fp)
	q.mu.Unlock()
}

// release ends an exchange that gives no evidence for or against the request.
func (q *quarantine) release(fp pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Release(fp)
	q.mu.Unlock()
}

// merge applies a crash that a peer has recorded, and reports whether it was new.
func (q *quarantine) merge(fp pimentoretry.Fingerprint, c pimentoretry.Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Merge(q.now(), fp, c)
}

// len returns the number of requests that are recorded with crashes.
func (q *quarantine) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Len()
}

// onCrash records that a request's target dropped the connection without a response.
// It publishes the crash to the peers in the home regions of the organisation, or to
// all peers if it has none, and waits for acknowledgements before the caller gets a
// response, because the caller may then resend the request to another entry.
func (e *Entry) onCrash(c *call, a *attempt) {
	q := &e.quarantine
	q.mu.Lock()
	crash, isNew := q.state.Crashed(q.now(), a.fingerprint, string(a.target.Name))
	q.mu.Unlock()
	if isNew {
		e.publishAndWait([]pimentopeer.Change{{Fingerprint: a.fingerprint, Crash: crash, Regions: c.homeRegions}})
	}
}
