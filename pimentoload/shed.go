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

// ExpectedWait returns the time until there is room for a request, by those before it and
// the rate at which room comes. It is 0 while the rate isn't known.
func (l *Line) ExpectedWait(now time.Duration, w *Waiter) time.Duration {
	rate := l.room.Rate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.Position(w)) / rate * float64(time.Second))
}

// Hopeless reports whether it is known that a request can't be served in time. That of a
// caller that was refused before only has to be served before the caller leaves: it was
// told to return although this was known.
func (l *Line) Hopeless(now time.Duration, w *Waiter) bool {
	latest := w.latestStart()
	if w.Returned {
		latest = w.Deadline - w.Work
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

// RoomRate learns the number of requests a second that targets take while others wait. The
// zero value is ready to use. It isn't safe for concurrent use.
type RoomRate struct {
	busy    bool // Requests wait since since.
	since   time.Duration
	sent    int
	rate    float64 // Of the last whole window, measured at rateAt.
	rateAt  time.Duration
	measure bool // rate is set.
}

const (
	// rateWindow is the time over which a rate is measured, and minRateWindow that from
	// which on it is used.
	rateWindow    = 500 * time.Millisecond
	minRateWindow = 150 * time.Millisecond
	// rateMemory is the age up to which a rate is used.
	rateMemory = 2 * time.Second
	// rateWeight is the weight of the newest window.
	rateWeight = 0.5
)

// SetBusy records whether requests wait.
func (r *RoomRate) SetBusy(now time.Duration, busy bool) {
	if busy && !r.busy {
		r.since, r.sent = now, 0
	}
	if !busy && r.busy {
		r.closeWindow(now, minRateWindow)
	}
	r.busy = busy
}

// Observe records that a request was sent. waiting is set if others wait.
func (r *RoomRate) Observe(now time.Duration, waiting bool) {
	if r.busy || waiting {
		r.sent++
		r.closeWindow(now, rateWindow)
	}
}

// closeWindow ends the window if it is long enough.
func (r *RoomRate) closeWindow(now, length time.Duration) {
	took := now - r.since
	if took < length {
		return
	}
	rate := float64(r.sent) / took.Seconds()
	if r.measure && now-r.rateAt < rateMemory {
		rate = rateWeight*rate + (1-rateWeight)*r.rate
	}
	r.rate, r.rateAt, r.measure = rate, now, true
	r.since, r.sent = now, 0
}

// Rate returns the requests a second that targets take, or 0 if that isn't known. A window
// in which none was taken yet counts as one that ends with the first.
func (r *RoomRate) Rate(now time.Duration) float64 {
	known := r.measure && now-r.rateAt < rateMemory
	took := now - r.since
	if !r.busy || took < minRateWindow {
		if known {
			return r.rate
		}
		return 0
	}
	rate := float64(max(1, r.sent)) / took.Seconds()
	if known {
		return rateWeight*rate + (1-rateWeight)*r.rate
	}
	return rate
}
