package pimentoload

import (
	"slices"
	"time"
)

// Position returns the number of requests that come before one of the line or one that has
// arrived, under normal load.
func (l *Line) Position(w *Waiter) int {
	n, _ := l.before(w)
	i, _ := slices.BinarySearchFunc(w.class.byAge, w, compareAges)
	return n + i
}

// before returns the number of requests of higher ranks, and how many of them are more urgent.
func (l *Line) before(w *Waiter) (n, urgent int) {
	for _, c := range l.classes {
		if compareKeys(c.classKey, w.class.classKey) >= 0 {
			break
		}
		n += len(c.byAge) + c.asking
		if c.priority < w.Priority {
			urgent = n
		}
	}
	return n, urgent
}

// ExpectedWait returns the time until there is room for a request: more urgent ones before it
// take all the room that comes, and the others what these have left lately. Of its rank, those
// count that come before it by their age and by the time that they have left: more aren't sure
// to. It is 0 while the rate isn't known.
func (l *Line) ExpectedWait(now time.Duration, w *Waiter) time.Duration {
	if l.room.Rate(now, 0) <= 0 {
		return 0
	}
	n, urgent := l.before(w)
	byAge, _ := slices.BinarySearchFunc(w.class.byAge, w, compareAges)
	byTime, _ := slices.BinarySearchFunc(w.class.byTime, w, compareTimes)
	return l.timeFor(now, w.Priority, float64(urgent), float64(n-urgent+min(byAge, byTime)))
}

// timeFor returns the time in which room comes for a number of requests more urgent than a
// priority, and for others of it. The rate is known.
func (l *Line) timeFor(now time.Duration, priority int, urgent, others float64) time.Duration {
	seconds := urgent/l.room.Rate(now, 0) + others/l.room.Rate(now, priority)
	return time.Duration(seconds * float64(time.Second))
}

// Hopeless reports whether it is known that a request can't be served in time. That of a
// caller that was refused before is late in any case. It may wait for its objective once
// more, as far as its time allows.
func (l *Line) Hopeless(now time.Duration, w *Waiter) bool {
	latest := w.latestStart()
	if w.Returned {
		latest = min(w.Objective, w.Deadline-w.Work)
	}
	wait := l.ExpectedWait(now, w)
	return wait > 0 && now+wait > latest
}

// Shed takes a request out of the line that is hopeless, and returns it, or nil: the one that
// has just joined, or the last one. It is called after each Join until it returns nil, which
// sheds what later ones have pushed back.
func (l *Line) Shed(now time.Duration, joined *Waiter) *Waiter {
	for _, w := range [...]*Waiter{joined, l.last()} {
		if w != nil && w.waiting && l.Hopeless(now, w) {
			l.Leave(now, w)
			return w
		}
	}
	return nil
}
