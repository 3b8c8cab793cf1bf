package pimentoretry

import "time"

// recent remembers which requests were answered lately, in two generations so
// that old ones go without a search. The zero value is ready to use.
type recent struct {
	young, old map[Fingerprint]time.Duration
}

// add notes an answer.
func (r *recent) add(now time.Duration, p Fingerprint) {
	if r.young == nil || len(r.young) >= maxPrints {
		r.old = r.young
		r.young = make(map[Fingerprint]time.Duration)
	}
	r.young[p] = now
}

// take reports whether the request was answered within passTerm, and forgets
// the answer, so that it speaks for the request once.
func (r *recent) take(now time.Duration, p Fingerprint) bool {
	at, ok := r.young[p]
	if !ok {
		at, ok = r.old[p]
	}
	delete(r.young, p)
	delete(r.old, p)
	return ok && now-at < passTerm
}
