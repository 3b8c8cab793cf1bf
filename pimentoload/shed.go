package pimentoload

import (
	"slices"
	"time"
)

// Position returns the number of requests that come before one of the line or one that has
// arrived.
func (l *Line) Position(w *Waiter) int {
	n := 0
	for _, c := range l.classes {
		if compareKeys(c.classKey, w.class.classKey) >= 0 {
			break
		}
		n += len(c.byAge) + c.asking
	}
	i, _ := slices.BinarySearchFunc(w.class.byAge, w, compareAges)
	return n + i
}

// ExpectedWait returns the time until there is room for a request: more urgent ones before it
// take all the room that comes, and the others what these have left lately. It is 0 while the
// rate isn't known.
func (l *Line) ExpectedWait(now time.Duration, w *Waiter) time.Duration {
	if l.room.Rate(now, 0) <= 0 {
		return 0
	}
	urgent := 0
	for _, c := range l.classes {
		if c.priority < w.Priority {
			urgent += len(c.byAge) + c.asking
		}
	}
	return l.timeFor(now, w.Priority, float64(urgent), float64(l.Position(w)-urgent))
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

// Shed takes the last request out of the line if it is hopeless, and returns it, or nil.
// It is called after each Join until it returns nil, which sheds what later ones have pushed
// back.
func (l *Line) Shed(now time.Duration) *Waiter {
	w := l.last()
	if w == nil || !l.Hopeless(now, w) {
		return nil
	}
	l.Leave(now, w)
	return w
}
