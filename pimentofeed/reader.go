package pimentofeed

import (
	"math/bits"
	"time"
)

const (
	// minTakeoverAge is the age of the state above which the first entry of a domain
	// reads the platform itself. It is more than the age that the state reaches while
	// another domain's entry reads.
	minTakeoverAge = 1250 * time.Millisecond
	// takeoverStep is added once for each group of entries that precede an entry in its
	// domain. The groups have 1, 1, 2, 4, 8 members and the rest, so that few entries
	// take over if one of the first can read, and the wait of the last one doesn't
	// depend on their number.
	takeoverStep      = 125 * time.Millisecond
	takeoverGroupsMax = 5
	// MaxTakeoverAge is the age of the state above which every entry reads the platform.
	MaxTakeoverAge = minTakeoverAge + takeoverGroupsMax*takeoverStep
	// overdueStep takes the place of takeoverStep when the next answer to every entry that
	// reads is overdue.
	overdueStep = 50 * time.Millisecond
	// MaxTakeoverDelay is the time after which every entry reads the platform once these
	// answers are overdue.
	MaxTakeoverDelay = takeoverGroupsMax * overdueStep
	// handBackDelay is the time for which a preceding entry must have read the
	// platform before this one stops.
	handBackDelay = 2 * time.Second
)

// Position is an entry's place among the members that it knows, sorted by name.
type Position struct {
	// RegionRank and DomainRank are the numbers of entries of its region and of its
	// failure domain that precede it.
	RegionRank, DomainRank int
}

// takeoverAge returns the age of the state above which an entry reads the platform. It
// depends on the entry's own domain only, since entries of other domains may count as
// members for long after their links were cut.
func (p Position) takeoverAge() time.Duration {
	return minTakeoverAge + time.Duration(p.takeoverGroup())*takeoverStep
}

// takeoverGroup returns the number of the entry's group in its domain.
func (p Position) takeoverGroup() int { return min(bits.Len(uint(p.DomainRank)), takeoverGroupsMax) }

// ReadPolicy decides whether an entry reads the platform. There is no election: the
// first entry in a region's list of entries reads, and the others start to read when
// the age of the state that they receive is too great. The zero value is ready to use.
type ReadPolicy struct {
	// Overdue is the time since the last moment at which an answer to an entry that reads
	// was due. It is set before each call of Decide, and 0 or less if an answer may still
	// come in time.
	Overdue time.Duration

	reading        bool
	precedingReads bool
	precedingSince time.Duration // When a preceding entry, or this one, began to read.
}

// Decide reports whether to read. precedingReads is set if an entry of the region that
// precedes this one reads now, and age is the age of the state. known is false if the
// state is unconfirmed.
func (p *ReadPolicy) Decide(now time.Duration, at Position, precedingReads bool, age time.Duration, known bool) bool {
	if precedingReads && !p.precedingReads {
		p.precedingSince = now
	}
	p.precedingReads = precedingReads
	switch {
	case at.RegionRank == 0:
		p.reading = true
	case p.reading:
		p.reading = !precedingReads || now-p.precedingSince < handBackDelay
	case !known || age > at.takeoverAge(), p.Overdue > time.Duration(at.takeoverGroup())*overdueStep:
		p.reading = true
		p.precedingSince = now // What was heard before the takeover is out of date.
	}
	return p.reading
}
