package pimentospread

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Reason says why a request's first choice isn't the nearest domain.
type Reason uint8

const (
	// Nearest is the choice without spill-over: nearest first.
	Nearest Reason = iota
	// Even is the part of the requests that evens out demand and room.
	Even
	// Yield is the part of the free requests that leaves room to bound ones.
	Yield
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"nearest", "even", "yield"}[r]
}

// Query is a request for which a domain is chosen.
type Query struct {
	Service pimentoregister.ServiceName
	// Left is the time until the objective beyond the usual work time.
	Left time.Duration
	// Usual is that work time.
	Usual time.Duration
	// Large is set if the request has a large body. It crosses regions only while such
	// requests are refused otherwise.
	Large bool
	// Bound is set if not all regions may serve the request. Allowed has a bit for each domain
	// that may.
	Bound   bool
	Allowed uint64
	// Draw and Second are random numbers from 0 up to 1.
	Draw, Second float64
}

// Choice is where a request goes first, and what is passed over.
type Choice struct {
	Reason Reason
	// Domain is the index of the first choice unless Reason is Nearest.
	Domain int
	// Share is the fraction of requests that make this choice, and Age that of its figure.
	Share float64
	Age   time.Duration
	// Passed has a bit for each domain that isn't asked, because it is known to be full while
	// another one that is as near isn't.
	Passed uint64
}

// regionWay is the time that a request takes longer in another region: that to it and back, of
// 30 ms each, for the question for the target's load and once more for the request.
const regionWay = 120 * time.Millisecond

// reaches reports whether a request may go to a domain, would find targets there, and would be
// in time.
func (v *View) reaches(s *shares, q *Query, i int) bool {
	l := &s.loads[i]
	if !l.known || q.Allowed&(1<<i) == 0 {
		return false
	}
	need := q.Usual * time.Duration(l.slowdown-usualSlowdown) / 100
	if v.domains[i].Distance == OtherRegion {
		if q.Large && !s.crowded {
			return false
		}
		need += regionWay
	}
	return need <= q.Left
}

// current reports whether the loads of a service may still be used.
func (s *shares) current(now time.Duration) bool {
	return s.stepped && now-s.steppedAt <= 2*stepInterval
}

// Choose returns where a request goes first. Without fresh figures it is the nearest choice.
func (v *View) Choose(now time.Duration, q *Query) Choice {
	s := v.services[shareKey{q.Service, q.Allowed}]
	if s == nil || !s.current(now) || len(v.domains) > MaxDomains {
		return Choice{}
	}
	if !q.Bound && q.Draw < s.yield {
		if c, ok := v.pickSpare(s, q, Yield, s.yield); ok {
			return c
		}
	}
	draw := q.Second
	for i := range v.domains {
		if s.away[i] == 0 || !v.reaches(s, q, i) {
			continue
		}
		if draw < s.away[i] {
			return Choice{Reason: Even, Domain: i, Share: s.away[i], Age: s.loads[i].age + now - s.steppedAt, Passed: v.passed(s, q)}
		}
		draw -= s.away[i]
	}
	return Choice{Passed: v.passed(s, q)}
}

// pickSpare picks a domain of another region by the spare room.
func (v *View) pickSpare(s *shares, q *Query, why Reason, share float64) (Choice, bool) {
	sum := 0.0
	for i := range v.domains {
		if v.domains[i].Distance == OtherRegion && v.reaches(s, q, i) {
			sum += s.spare(i)
		}
	}
	draw := q.Second * sum
	for i := range v.domains {
		if v.domains[i].Distance != OtherRegion || !v.reaches(s, q, i) {
			continue
		}
		if spare := s.spare(i); spare > 0 {
			if draw < spare {
				return Choice{Reason: why, Domain: i, Share: share, Age: s.loads[i].age, Passed: v.passed(s, q)}, true
			}
			draw -= spare
		}
	}
	return Choice{}, false
}

// passed returns the domains other than the own one that are known to be full, if one that is
// as near and has room can be reached. The own one is always asked: its targets reply soonest.
func (v *View) passed(s *shares, q *Query) uint64 {
	var full uint64
	var room [OtherRegion + 1]bool
	for i, d := range v.domains {
		l := &s.loads[i]
		switch {
		case !l.known:
		case l.busy >= fullBusy*l.slots:
			full |= 1 << i
		case l.busy < highBusy*l.slots && v.reaches(s, q, i):
			room[d.Distance] = true
		}
	}
	for i, d := range v.domains {
		if d.Distance == SameDomain || !room[d.Distance] {
			full &^= 1 << i
		}
	}
	return full
}

// Shares returns the fractions of a service's requests that go to other domains first, and of
// the free ones that make way, for operators. Of the requests that different domains may
// serve, it is the largest.
func (v *View) Shares(service pimentoregister.ServiceName) (away, yield float64) {
	for key, s := range v.services {
		if key.service != service {
			continue
		}
		sum := 0.0
		for _, x := range s.away {
			sum += x
		}
		away, yield = max(away, sum), max(yield, s.yield)
	}
	return away, yield
}
