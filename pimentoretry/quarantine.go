package pimentoretry

import "time"

// Fingerprint identifies a request by a hash of its route, organisation, key and body.
type Fingerprint uint64

const (
	// MaxCrashes is the number of targets that one request may crash.
	MaxCrashes = 2
	// quarantineTerm is the time after the last crash until which a request
	// is refused.
	quarantineTerm = 10 * time.Minute
	// passTerm is the time for which an answer speaks for a request.
	passTerm = 10 * time.Second
	// sameCrash is the time within which drops by one target are one crash.
	sameCrash = 2 * time.Second
	// maxPrints bounds the requests that are remembered.
	maxPrints = 4096
)

// Crash is what is known of one request at one target.
type Crash struct {
	// Target names the target.
	Target string
	// Count is the number of times that the request has crashed it.
	Count int

	last time.Duration
}

// suspect is a request whose targets dropped the connection.
type suspect struct {
	crashes []Crash
	last    time.Duration
}

func (s *suspect) count() int {
	n := 0
	for _, c := range s.crashes {
		n += c.Count
	}
	return n
}

// find returns the crash of a target, which it adds where it is new.
func (s *suspect) find(target string) *Crash {
	for i := range s.crashes {
		if s.crashes[i].Target == target {
			return &s.crashes[i]
		}
	}
	s.crashes = append(s.crashes, Crash{Target: target, last: -sameCrash})
	return &s.crashes[len(s.crashes)-1]
}

// Quarantine remembers requests whose targets dropped the connection without
// an answer. Of several copies of a request that one target drops at a time,
// one counts. A drop soon after the same request was answered by a target isn't
// counted, because a popular request is on most targets that crash for other
// causes. The zero value is ready to use. It isn't safe for concurrent use.
type Quarantine struct {
	suspects map[Fingerprint]*suspect
	running  map[Fingerprint]int
	passed   recent
}

// Allow reports whether the request may be sent. Each request that it allows
// must be ended by Crashed, Passed or Ended. A request that has crashed a
// target may be sent once more at the most, and by one exchange at a time.
func (q *Quarantine) Allow(now time.Duration, p Fingerprint) bool {
	s := q.suspects[p]
	if s != nil && now-s.last > quarantineTerm {
		delete(q.suspects, p)
		s = nil
	}
	if s != nil && s.count() > 0 && s.count()+q.running[p] >= MaxCrashes {
		return false
	}
	if q.running == nil {
		q.running = make(map[Fingerprint]int)
	}
	q.running[p]++
	return true
}

// InFlight reports whether an exchange of the request is running, whose end may
// change what Allow says.
func (q *Quarantine) InFlight(p Fingerprint) bool { return q.running[p] > 0 }

// Completed ends an exchange that was answered. The request is cleared, because
// it was another cause that made targets drop it before.
func (q *Quarantine) Completed(now time.Duration, p Fingerprint) {
	q.Release(p)
	delete(q.suspects, p)
	q.passed.add(now, p)
}

// Release ends an exchange that says nothing about the request.
func (q *Quarantine) Release(p Fingerprint) {
	q.running[p]--
	if q.running[p] <= 0 {
		delete(q.running, p)
	}
}

// Crashed ends an exchange whose target dropped the connection without an
// answer. It returns the crash to tell peers of, and whether there is news.
func (q *Quarantine) Crashed(now time.Duration, p Fingerprint, target string) (Crash, bool) {
	q.Release(p)
	s := q.suspect(now, p)
	c := s.find(target)
	if now-c.last < sameCrash {
		return *c, false
	}
	c.last = now
	if q.passed.take(now, p) {
		return *c, false
	}
	c.Count++
	return *c, true
}

// Crashes returns how often a request has crashed targets.
func (q *Quarantine) Crashes(now time.Duration, p Fingerprint) int {
	s := q.suspects[p]
	if s == nil || now-s.last > quarantineTerm {
		return 0
	}
	return s.count()
}

// RecordCrash notes that a target dropped the connection without an answer, where Allow
// wasn't asked. It returns the crash to tell peers of, and whether there is news.
func (q *Quarantine) RecordCrash(now time.Duration, p Fingerprint, target string) (Crash, bool) {
	if q.running == nil {
		q.running = make(map[Fingerprint]int)
	}
	q.running[p]++
	return q.Crashed(now, p, target)
}

// RecordResponse notes that a request was answered, where Allow wasn't asked.
func (q *Quarantine) RecordResponse(now time.Duration, p Fingerprint) {
	delete(q.suspects, p)
	q.passed.add(now, p)
}

// Merge takes a peer's news of a crash. It reports whether it was news.
func (q *Quarantine) Merge(now time.Duration, p Fingerprint, in Crash) bool {
	c := q.suspect(now, p).find(in.Target)
	if in.Count <= c.Count {
		return false
	}
	c.Count = in.Count
	c.last = now
	return true
}

func (q *Quarantine) suspect(now time.Duration, p Fingerprint) *suspect {
	if q.suspects == nil {
		q.suspects = make(map[Fingerprint]*suspect)
	}
	s := q.suspects[p]
	if s == nil {
		if len(q.suspects) >= maxPrints {
			q.evict()
		}
		s = new(suspect)
		q.suspects[p] = s
	}
	s.last = now
	return s
}

// evict forgets the request whose last crash is oldest.
func (q *Quarantine) evict() {
	var oldest Fingerprint
	var last time.Duration
	first := true
	for p, s := range q.suspects {
		if first || s.last < last {
			oldest, last = p, s.last
			first = false
		}
	}
	delete(q.suspects, oldest)
}

// Len returns the number of requests that are remembered.
func (q *Quarantine) Len() int { return len(q.suspects) }
