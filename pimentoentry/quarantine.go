package pimentoentry

import (
	"sync"
	"time"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
)

// quarantine guards the requests that crash targets.
type quarantine struct {
	now func() time.Duration

	mu    sync.Mutex // Guards state.
	state pimentoretry.Quarantine
}

// trialWait is the time between two looks at a request that is being tried.
const trialWait = 2 * time.Millisecond

// allow reports whether the request may be sent. While another exchange of the
// request decides that, it waits.
func (q *quarantine) allow(p pimentoretry.Fingerprint, deadline time.Time) bool {
	for {
		q.mu.Lock()
		ok := q.state.Allow(q.now(), p)
		busy := q.state.InFlight(p)
		q.mu.Unlock()
		if ok || !busy || time.Now().After(deadline) {
			return ok
		}
		time.Sleep(trialWait)
	}
}

func (q *quarantine) passed(p pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Completed(q.now(), p)
	q.mu.Unlock()
}

func (q *quarantine) ended(p pimentoretry.Fingerprint) {
	q.mu.Lock()
	q.state.Release(p)
	q.mu.Unlock()
}

func (q *quarantine) merge(p pimentoretry.Fingerprint, c pimentoretry.Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Merge(q.now(), p, c)
}

func (q *quarantine) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Len()
}

// crashed notes that a request's target dropped the connection without an
// answer, and tells the peers in the regions that may hear of the request. It
// waits for them, because the caller resends as soon as it has an answer.
func (e *Entry) crashed(c *call, a *attempt) {
	q := &e.quarantine
	q.mu.Lock()
	crash, news := q.state.Crashed(q.now(), a.print, string(a.target.Name))
	q.mu.Unlock()
	if news {
		e.publishAndWait([]pimentopeer.Change{{Fingerprint: a.print, Crash: crash, Regions: c.home}})
	}
}
