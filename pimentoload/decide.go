package pimentoload

import (
	"math"
	"time"
)

// Decision is what to do with a request.
type Decision uint8

const (
	Send   Decision = iota // To the best target.
	Wait                   // And look for a better target.
	Refuse                 // As not executed.
)

// Request is what is known about a request that is to be sent.
type Request struct {
	Waited    time.Duration // Since it was received.
	Objective time.Duration // Within which a response has its full value.
	Usual     time.Duration // The usual work time of such requests at an idle target.
	// Urgent is set if requests with a lower priority came to the service lately.
	Urgent bool
	// Repeat is set if its caller has probably sent it before, so that it is late.
	Repeat bool
	// Pressure is the fraction of requests that the entry refuses at present.
	Pressure float64
	// Overloaded is set while the service's targets refuse many requests.
	Overloaded bool
}

// Offer is what the best target found offers.
type Offer struct {
	Expected time.Duration // Until the response.
	Queued   bool          // The request would wait at the target: all its slots are taken.
	Idle     bool          // The target runs nothing.
	// Room is the number of requests that the target can run besides those that it runs,
	// without serving fewer in all. It may be negative.
	Room int
}

const (
	// refuseFraction is the fraction of the objective after which a request is
	// refused if queueing at its target would make it late by more than queueLimit
	// objectives after it came: its caller gets a quick refusal, and requests that can
	// still be in time don't queue behind it.
	refuseFraction = 0.125
	queueLimit     = 1.3
	// waitFraction is the fraction of the objective for which a request waits for a
	// target that responds in time, and slowWaitFraction for one that isn't slow.
	waitFraction     = 0.5
	slowWaitFraction = 0.7
	// crowdWaitFraction is the fraction of the objective for which a request waits for a
	// target that has room for it.
	crowdWaitFraction = 0.4
	// highPressure is the pressure above which requests wait for targets with room.
	highPressure = 0.1
	// slowFactor times the usual work time is the expected time above which a target
	// counts as slow.
	slowFactor = 3
)

// Decide compares the time that a request has left with what its best target offers. offer
// is nil if no target reported its load in time, or none that did may be used at the
// moment.
//
// While many requests are refused, one that would crowd a target waits, although it would
// be in time itself, because it would delay those that run there. After a while it is
// refused, so that a load above what the targets can serve makes some requests fail and not
// all of them late. Urgent requests crowd targets, and requests that will be late leave room
// for those that can be in time. While few are refused, a crowded target is better than a
// wait, since its delay rarely makes a request late.
func Decide(r Request, offer *Offer) Decision {
	within := func(fraction float64) bool { return r.Waited < time.Duration(fraction*float64(r.Objective)) }
	if offer == nil {
		if r.Overloaded || !within(waitFraction) {
			return Refuse
		}
		return Wait
	}
	inTime := r.Waited+offer.Expected <= r.Objective
	if r.Pressure > highPressure {
		switch hasRoom := offer.Idle || offer.Room >= r.neededRoom(inTime); {
		case hasRoom && (inTime || r.Repeat):
			return Send
		case !hasRoom && within(crowdWaitFraction):
			return Wait
		case !hasRoom:
			return Refuse
		}
	}
	switch {
	case inTime:
		return Send
	case r.Overloaded:
		return Refuse
	case offer.Queued && r.Waited+offer.Expected > time.Duration(queueLimit*float64(r.Objective)) && !within(refuseFraction):
		return Refuse
	case within(waitFraction):
		return Wait
	case offer.Expected > slowFactor*r.Usual && within(slowWaitFraction):
		return Wait
	}
	return Send
}

// IsPressing reports whether so many requests are refused that others wait for room.
func IsPressing(pressure float64) bool { return pressure > highPressure }

// WaitLimit returns the time for which a request waits at most: while many are refused, that
// after which it is refused without room, and else that after which a late response is better
// than a longer wait.
func WaitLimit(objective time.Duration, pressure float64) time.Duration {
	if IsPressing(pressure) {
		return time.Duration(crowdWaitFraction * float64(objective))
	}
	return time.Duration(waitFraction * float64(objective))
}

// Numbers of requests for which a target must have room.
const (
	urgentRoom     = math.MinInt // None: urgent requests crowd targets.
	inTimeRoom     = 1
	lateRoom       = 2
	lateUrgentRoom = 1
)

// neededRoom returns the number of requests for which a target must have room.
func (r *Request) neededRoom(inTime bool) int {
	inTime = inTime && !r.Repeat
	switch {
	case inTime && r.Urgent:
		return urgentRoom
	case inTime:
		return inTimeRoom
	case r.Urgent:
		return lateUrgentRoom
	}
	return lateRoom
}
