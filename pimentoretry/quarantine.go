package pimentoretry

import (
	"fmt"
	"slices"
	"time"
)

// Fingerprint is a hash that is equal for all copies of a request. The packages that use
// a Quarantine compute it. It covers more than the Fingerprint of package pimentokey: in
// pimentoentry also the service, organisation and key, in pimentogate the caller's
// address and the host.
type Fingerprint uint64

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

const (
	// MaxCrashes is the number of crashes after which a request is refused.
	MaxCrashes = 2
	// quarantineDuration is the time after the last dropped connection or reported
	// crash for which the crashes of a request count.
	quarantineDuration = 10 * time.Minute
	// responseValidity is the time after a response during which a dropped
	// connection isn't attributed to the request.
	responseValidity = 10 * time.Second
	// crashWindow is the time within which connections that one target drops count
	// as one crash.
	crashWindow = 2 * time.Second
	// maxFingerprints bounds the number of requests that are kept.
	maxFingerprints = 4096
)

// Crash counts the crashes of one target by one request.
type Crash struct {
	// Target names the target.
	Target string
	// Count is the number of times that the request has crashed it.
	Count int
	// Cleared is the number of these crashes that no longer count, because the request
	// got a response afterwards. Like Count it only grows, so that entries that merge
	// each other's crashes in any order agree.
	Cleared int

	windowStart time.Duration // When the last crashWindow began.
}

// suspect is a request whose targets dropped the connection without a response, at
// this entry or at a peer.
type suspect struct {
	crashes []Crash
	// updatedAt is when a target last dropped the connection, whether that was counted or
	// not, at this entry or at a peer that has reported it.
	updatedAt time.Duration
}

// count returns the number of crashes of all targets that weren't cleared.
func (s *suspect) count() int {
	n := 0
	for _, c := range s.crashes {
		n += max(0, c.Count-c.Cleared)
	}
	return n
}

// hasCrashes reports whether any crash was counted, cleared or not.
func (s *suspect) hasCrashes() bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return c.Count > 0 })
}

// clear makes the crashes not count.
func (s *suspect) clear() {
	for i := range s.crashes {
		s.crashes[i].Cleared = max(s.crashes[i].Cleared, s.crashes[i].Count)
	}
}

// findOrAdd returns the crash of a target, and adds it if there is none.
func (s *suspect) findOrAdd(target string) *Crash {
	for i := range s.crashes {
		if s.crashes[i].Target == target {
			return &s.crashes[i]
		}
	}
	s.crashes = append(s.crashes, Crash{Target: target, windowStart: -crashWindow})
	return &s.crashes[len(s.crashes)-1]
}

// Quarantine tracks requests whose targets dropped the connection without a
// response, which counts as a crash of the target. If a target drops several copies of a
// request within crashWindow, they count as one crash. A dropped connection soon after a
// response to the same request isn't counted, because copies of a frequent request are
// in progress at most targets that crash for other reasons. The zero value is ready to
// use. It isn't safe for concurrent use.
type Quarantine struct {
	suspects  map[Fingerprint]*suspect
	inFlight  map[Fingerprint]int
	completed recentResponses

	digest      uint64 // Of the reports, if digestKnown is set.
	digestKnown bool
}

// Allow reports whether the request may be sent. Each exchange that it allows must
// be ended by Crashed, Completed or Release. A request that has crashed a target may
// be sent at most once more, and by one exchange at a time.
func (q *Quarantine) Allow(now time.Duration, f Fingerprint) bool {
	s := q.suspects[f]
	if s != nil && now-s.updatedAt > quarantineDuration {
		delete(q.suspects, f)
		s = nil
	}
	if s != nil && s.count() > 0 && s.count()+q.inFlight[f] >= MaxCrashes {
		return false
	}
	if q.inFlight == nil {
		q.inFlight = make(map[Fingerprint]int)
	}
	q.inFlight[f]++
	return true
}

// InFlight reports whether an exchange of the request is in progress, whose end may
// change the result of Allow.
func (q *Quarantine) InFlight(f Fingerprint) bool { return q.inFlight[f] > 0 }

// Completed ends an exchange that got a response. It deletes the crashes of the
// request, because earlier dropped connections must have had another cause.
func (q *Quarantine) Completed(now time.Duration, f Fingerprint) {
	q.Release(f)
	delete(q.suspects, f)
	q.completed.add(now, f)
}

// Release ends an exchange that gives no evidence for or against the request.
func (q *Quarantine) Release(f Fingerprint) {
	q.inFlight[f]--
	if q.inFlight[f] <= 0 {
		delete(q.inFlight, f)
	}
}

// Crashed ends an exchange whose target dropped the connection without a response.
// It returns the crash, and whether its count has changed and must be sent to peers.
func (q *Quarantine) Crashed(now time.Duration, f Fingerprint, target string) (Crash, bool) {
	q.Release(f)
	s := q.suspect(now, f)
	c := s.findOrAdd(target)
	if now-c.windowStart < crashWindow {
		return *c, false
	}
	c.windowStart = now
	if q.completed.consume(now, f) {
		return *c, false
	}
	c.Count++
	q.digestKnown = false
	return *c, true
}

// Crashes returns the number of times that a request has crashed targets.
func (q *Quarantine) Crashes(now time.Duration, f Fingerprint) int {
	s := q.suspects[f]
	if s == nil || now-s.updatedAt > quarantineDuration {
		return 0
	}
	return s.count()
}

// RecordCrash does the same as Crashed for an exchange without a preceding Allow.
func (q *Quarantine) RecordCrash(now time.Duration, f Fingerprint, target string) (Crash, bool) {
	if q.inFlight == nil {
		q.inFlight = make(map[Fingerprint]int)
	}
	q.inFlight[f]++
	return q.Crashed(now, f, target)
}

// RecordResponse records that a request got a response. It clears the crashes of the
// request, which are kept so that peers clear them too.
func (q *Quarantine) RecordResponse(now time.Duration, f Fingerprint) {
	switch s := q.suspects[f]; {
	case s == nil:
	case s.count() > 0:
		s.clear()
		q.digestKnown = false
	case !s.hasCrashes():
		delete(q.suspects, f)
	}
	q.completed.add(now, f)
}

// Merge applies a crash that a peer has just reported. It reports whether the count has
// changed.
func (q *Quarantine) Merge(now time.Duration, f Fingerprint, in Crash) bool {
	return q.MergeReport(now, Report{Fingerprint: f, Crash: in})
}

// suspect returns the suspect of a fingerprint, and adds it if there is none. It sets
// its updatedAt.
func (q *Quarantine) suspect(now time.Duration, f Fingerprint) *suspect {
	if q.suspects == nil {
		q.suspects = make(map[Fingerprint]*suspect)
	}
	s := q.suspects[f]
	if s == nil {
		if len(q.suspects) >= maxFingerprints {
			q.evict()
		}
		s = new(suspect)
		q.suspects[f] = s
	}
	s.updatedAt = now
	return s
}

// evict deletes the suspect with the fewest crashes, of several the one that was updated
// least recently.
func (q *Quarantine) evict() {
	var victim Fingerprint
	var least *suspect
	for f, s := range q.suspects {
		if least == nil || s.count() < least.count() || (s.count() == least.count() && s.updatedAt < least.updatedAt) {
			victim, least = f, s
		}
	}
	delete(q.suspects, victim)
	q.digestKnown = false
}

// Len returns the number of requests that are kept because of dropped connections or
// crashes that peers reported.
func (q *Quarantine) Len() int { return len(q.suspects) }
