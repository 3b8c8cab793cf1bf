package pimentoload

import "time"

const (
	// shedReturn is the mean time after which callers return whose requests were refused
	// by targets with room, and busyReturn that while few requests are refused.
	shedReturn = 20 * time.Millisecond
	busyReturn = 120 * time.Millisecond
	// callerShare is the fraction of the time that a caller still waits within which it
	// follows a Retry-After.
	callerShare = 1.0 / 3
	// meanReturn is the fraction of that time after which callers return on average while
	// most requests are refused, and urgentReturn the fraction of it for urgent ones.
	meanReturn   = 0.75
	urgentReturn = 0.6
)

// Refusal is what the time depends on after which the caller of a refused request is to
// return.
type Refusal struct {
	// Left is the time for which the caller still waits.
	Left time.Duration
	// Pressure is the fraction of requests that are refused at present, from 0 to 1.
	Pressure float64
	Urgent   bool
	// Shed is set if a target refused the request although it had room, so that another
	// attempt may succeed at once.
	Shed bool
	// Room is the time until there is room for the caller, 0 if it isn't known.
	Room time.Duration
}

// ReturnAfter returns the time after which the caller is to return. spread, from 0 up to 1,
// spreads the callers: those refused at one time return evenly over the time that they
// have, so that they don't crowd out new requests at once, and urgent ones come first.
func (r *Refusal) ReturnAfter(spread float64) time.Duration {
	mean := float64(busyReturn)
	if latest := meanReturn * callerShare * float64(r.Left); latest > mean {
		mean += min(1, 2*r.Pressure) * (latest - mean)
	}
	if r.Urgent {
		mean *= urgentReturn
	}
	if r.Shed {
		mean = float64(shedReturn)
	} else if r.Room > 0 {
		return r.afterRoom(spread)
	}
	return time.Duration(mean * (0.5 + spread))
}

// roomSpread is the fraction of the time until there is room by which callers that return
// for it are spread at most, because that time is an estimate.
const roomSpread = 0.25

// afterRoom returns the time after which the caller returns for room that is known to come,
// as far as its time allows.
func (r *Refusal) afterRoom(spread float64) time.Duration {
	after := max(float64(r.Room), float64(shedReturn)) * (1 + roomSpread*(spread-0.5))
	if latest := callerShare * float64(r.Left); latest > float64(shedReturn) {
		after = min(after, latest*(1-roomSpread*spread))
	}
	return time.Duration(after)
}
