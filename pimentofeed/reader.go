package pimentofeed

import "time"

const (
	// takeoverAge is the age of the state above which an entry that isn't the first
	// of its region reads the platform itself. It is well below the time within
	// which a change must be active.
	takeoverAge = 1000 * time.Millisecond
	// takeoverStep is added to takeoverAge for each preceding entry of the region,
	// so that the entries don't all take over at once.
	takeoverStep = 150 * time.Millisecond
	// handBackDelay is the time for which a preceding entry must have read the
	// platform before this one stops.
	handBackDelay = 2 * time.Second
)

// ReadPolicy decides whether an entry reads the platform. There is no election: the
// first entry in a region's list of entries reads, and the others start to read when
// the age of the state that they receive is too great. The zero value is ready to use.
type ReadPolicy struct {
	reading        bool
	precedingReads bool
	precedingSince time.Duration // When a preceding entry began to read.
}

// Decide reports whether to read. rank is the number of entries of the region that
// precede this one, precedingReads is set if one of them reads now, and age is the
// age of the state. known is false if the state is unconfirmed.
func (p *ReadPolicy) Decide(now time.Duration, rank int, precedingReads bool, age time.Duration, known bool) bool {
	if precedingReads && !p.precedingReads {
		p.precedingSince = now
	}
	p.precedingReads = precedingReads
	switch {
	case rank == 0:
		p.reading = true
	case p.reading:
		p.reading = !precedingReads || now-p.precedingSince < handBackDelay
	default:
		p.reading = !known || age > takeoverAge+time.Duration(rank)*takeoverStep
	}
	return p.reading
}
