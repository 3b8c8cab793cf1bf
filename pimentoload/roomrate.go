package pimentoload

import "time"

// RoomRate learns the number of requests a second that targets take while others wait, by
// priority. The zero value is ready to use. It isn't safe for concurrent use.
type RoomRate struct {
	busy   bool // Requests wait. since is the start of a window then.
	since  time.Duration
	sent   perPriority // In the window.
	rates  perPriority // Of the windows before, measured at rateAt.
	rateAt time.Duration
	known  bool // rates is set.
}

// perPriority is a figure by priority.
type perPriority [priorities]float64

// priorities is the number of priorities that are told apart; lower ones count as the lowest.
const priorities = 8

// priorityIndex returns the index of a priority in perPriority.
func priorityIndex(priority int) int { return min(max(priority, 0), priorities-1) }

// from returns the sum for a priority and all lower ones.
func (p *perPriority) from(priority int) float64 {
	sum := 0.0
	for _, x := range p[priorityIndex(priority):] {
		sum += x
	}
	return sum
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
		r.since, r.sent = now, perPriority{}
	}
	if !busy && r.busy {
		r.closeWindow(now, minRateWindow)
	}
	r.busy = busy
}

// Observe records that a request was sent while others wait.
func (r *RoomRate) Observe(now time.Duration, priority int) {
	if r.busy {
		r.sent[priorityIndex(priority)]++
		r.closeWindow(now, rateWindow)
	}
}

// closeWindow ends the window if it is long enough.
func (r *RoomRate) closeWindow(now, length time.Duration) {
	took := now - r.since
	if took < length {
		return
	}
	fresh := r.isFresh(now)
	for i, n := range r.sent {
		rate := n / took.Seconds()
		if fresh {
			rate = rateWeight*rate + (1-rateWeight)*r.rates[i]
		}
		r.rates[i] = rate
	}
	r.rateAt, r.known = now, true
	r.since, r.sent = now, perPriority{}
}

// isFresh reports whether the rates are known and not too old.
func (r *RoomRate) isFresh(now time.Duration) bool { return r.known && now-r.rateAt < rateMemory }

// Rate returns the requests a second of a priority, or of a lower one, that targets take, or
// 0 if that isn't known. A window in which none was taken yet counts as one that ends with
// the first.
func (r *RoomRate) Rate(now time.Duration, priority int) float64 {
	took := now - r.since
	if !r.busy || took < minRateWindow {
		if r.isFresh(now) {
			return max(r.rates.from(priority), 1/rateMemory.Seconds())
		}
		return 0
	}
	rate := max(1, r.sent.from(priority)) / took.Seconds()
	if r.isFresh(now) {
		return rateWeight*rate + (1-rateWeight)*r.rates.from(priority)
	}
	return rate
}

// age returns the age of what Rate returns.
func (r *RoomRate) age(now time.Duration) time.Duration {
	if r.busy && now-r.since >= minRateWindow {
		return 0
	}
	return now - r.rateAt
}
