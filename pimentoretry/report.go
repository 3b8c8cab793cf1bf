package pimentoretry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report tells another entry of the crashes of one target by one request.
type Report struct {
	Fingerprint Fingerprint
	Crash       Crash
	// Age is the time since the crash.
	Age time.Duration
}

// expiryMargin is how much earlier than quarantineDuration a report expires for the
// entries that receive it, so that it can't outlive its sender's record by being sent to
// and fro.
const expiryMargin = 5 * time.Second

// Reports returns the crashes that still count, or were cleared, sorted. Entries that
// merge each other's reports have the same ones.
func (q *Quarantine) Reports(now time.Duration) []Report {
	var list []Report
	for f, s := range q.suspects {
		age := now - s.updatedAt
		if age > quarantineDuration {
			continue
		}
		for _, c := range s.crashes {
			if c.Count > 0 {
				list = append(list, Report{Fingerprint: f, Crash: Crash{Target: c.Target, Count: c.Count, Cleared: c.Cleared}, Age: age})
			}
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Crash.Target, b.Crash.Target))
	})
	return list
}

// Digest returns a hash of the crashes in Reports, without their age. It is 0 if there
// are none.
func (q *Quarantine) Digest() uint64 {
	if q.digestKnown {
		return q.digest
	}
	q.digest, q.digestKnown = 0, true
	for f, s := range q.suspects {
		for _, c := range s.crashes {
			if c.Count > 0 {
				q.digest ^= reportHash(f, c)
			}
		}
	}
	return q.digest
}

func reportHash(f Fingerprint, c Crash) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, v := range []uint64{uint64(f), uint64(c.Count), uint64(c.Cleared)} {
		var b [8]byte
		for i := range b {
			b[i] = byte(v >> (8 * i))
		}
		_, _ = d.Write(b[:]) // Never fails.
	}
	_, _ = d.WriteString(c.Target)
	return d.Sum64()
}

// MergeReport applies a report of another entry, and reports whether it was news. An
// expired one isn't.
func (q *Quarantine) MergeReport(now time.Duration, r Report) bool {
	if r.Age > quarantineDuration-expiryMargin {
		return false
	}
	s := q.suspects[r.Fingerprint]
	if s != nil && !s.isNews(r.Crash) {
		return false
	}
	if s == nil {
		s = q.suspect(now, r.Fingerprint)
		s.updatedAt = now - r.Age
	}
	s.updatedAt = max(s.updatedAt, now-r.Age)
	c := s.findOrAdd(r.Crash.Target)
	if r.Crash.Count > c.Count {
		c.Count = r.Crash.Count
		c.windowStart = now
	}
	c.Cleared = max(c.Cleared, r.Crash.Cleared)
	q.digestKnown = false
	return true
}

// isNews reports whether a crash has higher counts than the known ones.
func (s *suspect) isNews(in Crash) bool {
	for _, c := range s.crashes {
		if c.Target == in.Target {
			return in.Count > c.Count || in.Cleared > c.Cleared
		}
	}
	return in.Count > 0
}

// Expire deletes the requests whose crashes no longer count.
func (q *Quarantine) Expire(now time.Duration) {
	for f, s := range q.suspects {
		if now-s.updatedAt > quarantineDuration {
			delete(q.suspects, f)
			q.digestKnown = false
		}
	}
}
