package pimentoretry

import "time"

// recentResponses holds the times of recent responses by request. It has two
// generations, so that old entries are discarded without a search. The zero value is
// ready to use.
type recentResponses struct {
	current, previous map[Fingerprint]time.Duration
}

// add records a response.
func (r *recentResponses) add(now time.Duration, f Fingerprint) {
	if r.current == nil || len(r.current) >= maxFingerprints {
		r.previous = r.current
		r.current = make(map[Fingerprint]time.Duration)
	}
	r.current[f] = now
}

// consume reports whether the request got a response within responseValidity, and
// deletes the response, so that each response keeps at most one crash from counting.
func (r *recentResponses) consume(now time.Duration, f Fingerprint) bool {
	at, ok := r.current[f]
	if !ok {
		at, ok = r.previous[f]
	}
	delete(r.current, f)
	delete(r.previous, f)
	return ok && now-at < responseValidity
}
