package pimentoretry

import "time"

// recentResponses holds the times of recent responses by request. It has two
// generations, so that old entries are discarded without a search. The zero value is
// ready to use.
type recentResponses struct {
	current, previous map[Fingerprint]time.Duration
}

// add records a response.
func (r *recentResponses) add(now time.Duration, p Fingerprint) {
	if r.current == nil || len(r.current) >= maxFingerprints {
		r.previous = r.current
		r.current = make(map[Fingerprint]time.Duration)
	}
	r.current[p] = now
}

// consume reports whether the request got a response within responseValidity, and
// deletes the response, so that each response excuses at most one crash.
func (r *recentResponses) consume(now time.Duration, p Fingerprint) bool {
	at, ok := r.current[p]
	if !ok {
		at, ok = r.previous[p]
	}
	delete(r.current, p)
	delete(r.previous, p)
	return ok && now-at < responseValidity
}
