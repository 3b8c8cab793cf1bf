package pimentoretry

import "time"

// Print identifies a request by a hash of its route, organisation, key and body.
type Print uint64

const (
	// MaxCrashes is the number of targets that one request may crash.
	MaxCrashes = 2
	// quarantineTerm is the time after the last crash until which a request
	// is refused.
	quarantineTerm = 10 * time.Minute
	// maxPrints bounds the requests that are remembered.
	maxPrints = 4096
)

// crash is what is known of a request that crashed targets.
type crash struct {
	count int
	last  time.Duration
}

// Quarantine remembers requests whose targets dropped the connection without
// an answer. The zero value is ready to use. It isn't safe for concurrent use.
type Quarantine struct {
	crashes map[Print]crash
	running map[Print]int
}

// Allow reports whether the request may be sent. Each request that it allows
// must be ended by Crashed or Passed. A request that has crashed a target may
// be sent once more at the most, and by one exchange at a time.
func (q *Quarantine) Allow(now time.Duration, p Print) bool {
	c, known := q.crashes[p]
	if known && now-c.last > quarantineTerm {
		delete(q.crashes, p)
		known = false
	}
	if known && c.count+q.running[p] >= MaxCrashes {
		return false
	}
	if q.running == nil {
		q.running = make(map[Print]int)
	}
	q.running[p]++
	return true
}

// Busy reports whether an exchange of the request is running, whose end may
// change what Allow says.
func (q *Quarantine) Busy(p Print) bool { return q.running[p] > 0 }

// Passed ends an exchange that was answered. The request is cleared, because
// it was another cause that made targets drop it before.
func (q *Quarantine) Passed(p Print) {
	q.end(p)
	delete(q.crashes, p)
}

// Ended ends an exchange that says nothing about the request.
func (q *Quarantine) Ended(p Print) { q.end(p) }

// Crashed ends an exchange whose target dropped the connection without an
// answer, and returns the number of such exchanges of this request.
func (q *Quarantine) Crashed(now time.Duration, p Print) int {
	q.end(p)
	return q.note(now, p, q.crashes[p].count+1)
}

func (q *Quarantine) end(p Print) {
	q.running[p]--
	if q.running[p] <= 0 {
		delete(q.running, p)
	}
}

// Merge takes a peer's count of a request's crashes. It reports whether the
// count was news.
func (q *Quarantine) Merge(now time.Duration, p Print, count int) bool {
	if count <= q.crashes[p].count {
		return false
	}
	q.note(now, p, count)
	return true
}

func (q *Quarantine) note(now time.Duration, p Print, count int) int {
	if q.crashes == nil {
		q.crashes = make(map[Print]crash)
	}
	if len(q.crashes) >= maxPrints {
		q.evict()
	}
	q.crashes[p] = crash{count: count, last: now}
	return count
}

// evict forgets the request whose last crash is oldest.
func (q *Quarantine) evict() {
	var oldest Print
	first := true
	for p, c := range q.crashes {
		if first || c.last < q.crashes[oldest].last {
			oldest = p
			first = false
		}
	}
	delete(q.crashes, oldest)
}

// Len returns the number of requests that are remembered.
func (q *Quarantine) Len() int { return len(q.crashes) }
