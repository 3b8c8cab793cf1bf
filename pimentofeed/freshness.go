package pimentofeed

import "time"

// Freshness is an upper bound of the age of a copy of the items: everything that was
// acknowledged before a moment is in the copy. Times are of the entry's own clock, which
// counts suspension. The zero value knows no such moment. It isn't safe for concurrent use.
type Freshness struct {
	known bool
	at    time.Duration
}

// Confirm records that everything acknowledged before at is in the copy. It is only called
// while the copy is complete up to the revision that was current then.
func (f *Freshness) Confirm(at time.Duration) {
	if !f.known || at > f.at {
		f.known, f.at = true, at
	}
}

// Age returns the age of the copy at most, and false if nothing bounds it.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-f.at), f.known
}

// CurrentAt returns when a source that was asked at asked had no higher revision than the
// AsOf of its answer, at the latest that the answer shows. wait is the time for which the
// source was to wait for changes, 0 for a read of all items. Without changes the source had
// none until it had waited; an answer that came earlier doesn't show for how long it did.
func CurrentAt(u *Update, asked, answered, wait time.Duration) time.Duration {
	wait = wait.Truncate(time.Millisecond) // As it is asked for.
	if u.Full || len(u.Items) > 0 || answered-asked < wait {
		return asked
	}
	return asked + wait
}

// AgeBound bounds the age of the copy by which a request may still be sent. The zero value
// sets no bound.
type AgeBound struct {
	// After is the time after the acknowledgement of a change from which no request that the
	// change forbids may be sent.
	After time.Duration
}

// marginDivisor sets the part of After that is left for the time from the decision until the
// request is written: 450 ms of a bound of 4.5 s.
const marginDivisor = 10

// InForce reports whether there is a bound.
func (b AgeBound) InForce() bool { return b.After > 0 }

// Limit returns the age of the copy above which it allows nothing.
func (b AgeBound) Limit() time.Duration { return b.After - b.After/marginDivisor }

// Allows reports whether a request that the copy allows may be sent now. Without a known age it
// may not.
func (b AgeBound) Allows(age time.Duration, known bool) bool {
	return !b.InForce() || (known && age <= b.Limit())
}

// Stricter returns the bound of the two that allows less.
func (b AgeBound) Stricter(other AgeBound) AgeBound {
	if !b.InForce() || other.InForce() && other.After < b.After {
		return other
	}
	return b
}

// watchPercent is the part of After for which a watch waits: the age grows by one wait before
// the next answer confirms the copy, and the rest is left for other entries: 2.5 s of a limit
// of 4.5 s.
const watchPercent = 40

// WatchWait returns the longest time for which a watch waits, at most usual.
func (b AgeBound) WatchWait(usual time.Duration) time.Duration {
	if !b.InForce() {
		return usual
	}
	return min(usual, b.After*watchPercent/100)
}

// Stamps dates the messages that an entry sends, so that a message which answers one of them
// shows when it was made at the earliest. Nonce is random for each start of the entry, so
// that no answer to an earlier start counts.
type Stamps struct{ Nonce uint64 }

// Issue returns the stamp of a message that is sent at now or later. It is never 0.
func (s Stamps) Issue(now time.Duration) uint64 {
	stamp := s.Nonce + uint64(now.Milliseconds())
	if stamp == 0 {
		stamp-- // That of the millisecond before.
	}
	return stamp
}

// IssuedAt returns when an echoed stamp was issued at the latest by this start, and false if
// it wasn't.
func (s Stamps) IssuedAt(stamp uint64, now time.Duration) (time.Duration, bool) {
	ms := stamp - s.Nonce
	if stamp == 0 || ms > uint64(max(0, now.Milliseconds())) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// Statement is what a message between entries says about its sender's copy.
type Statement struct {
	// Stamp is the one of this message, and Echo that of the last message which the sender
	// had received from the receiver, 0 if none.
	Stamp, Echo uint64
	// Age is the age of the sender's copy at most. Known is false if nothing bounds it.
	Age   time.Duration
	Known bool
}

// ConfirmedAt returns the moment before which everything acknowledged is in the sender's copy,
// by the clock of the receiver with these stamps. It returns false if the statement confirms
// nothing: a message that doesn't answer one of this start may have been held back.
func (s Stamps) ConfirmedAt(st Statement, now time.Duration) (time.Duration, bool) {
	asked, ok := s.IssuedAt(st.Echo, now)
	if !ok || !st.Known || st.Age < 0 {
		return 0, false
	}
	return asked - st.Age, true
}
