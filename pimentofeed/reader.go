package pimentofeed

import "time"

const (
	// takeoverAge is the age of the state from which an entry that isn't the
	// first of its region reads the platform itself. It is well below the time
	// within which a change must be in force.
	takeoverAge = 1000 * time.Millisecond
	// takeoverStep spreads the entries of a region that take over.
	takeoverStep = 150 * time.Millisecond
	// handBack is the time for which an earlier entry must have read before
	// this one stops.
	handBack = 2 * time.Second
)

// ReadPolicy decides whether an entry reads the platform. Nobody is elected: the
// first of the entries that a region knows reads, and the others follow when
// what they hear grows old. The zero value is ready to use.
type ReadPolicy struct {
	reading  bool
	earlier  bool
	otherFor time.Duration
}

// Decide reports whether to read. rank counts the entries of the region that
// come before this one, earlier tells whether one of them reads now, and age
// is the state's, with known false if it was never confirmed.
func (r *ReadPolicy) Decide(now time.Duration, rank int, earlier bool, age time.Duration, known bool) bool {
	if earlier && !r.earlier {
		r.otherFor = now
	}
	r.earlier = earlier
	switch {
	case rank == 0:
		r.reading = true
	case r.reading:
		r.reading = !earlier || now-r.otherFor < handBack
	default:
		r.reading = !known || age > takeoverAge+time.Duration(rank)*takeoverStep
	}
	return r.reading
}
