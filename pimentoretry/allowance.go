package pimentoretry

import "time"

// Allowance is one entry's share of a limit on repeats that all entries keep
// together: a ratio of the first attempts, and a fixed number in a window. It
// sends no messages: the shares add up to the limit. Exported fields may be
// changed between calls. It isn't safe for concurrent use.
type Allowance struct {
	// Ratio is the number of repeats that one first attempt earns.
	Ratio float64
	// Fixed is the number of repeats in a window that need no first attempts.
	Fixed float64
	// Window is the time over which the limit is counted.
	Window time.Duration

	saved float64
	last  time.Duration
	began bool
}

// Earn counts a first attempt.
func (a *Allowance) Earn(now time.Duration) {
	a.refill(now)
	a.saved = min(a.saved+a.Ratio, a.limit())
}

// Spend takes one repeat, and reports false if there is none.
func (a *Allowance) Spend(now time.Duration) bool {
	a.refill(now)
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}

// Refund gives back a repeat that was taken and not used.
func (a *Allowance) Refund() { a.saved = min(a.saved+1, a.limit()) }

// limit is what can be saved up. Half of the fixed number is saved and half
// flows in during a window, so that no window has more than both.
func (a *Allowance) limit() float64 { return max(1, a.Fixed/2) }

func (a *Allowance) refill(now time.Duration) {
	if !a.began {
		a.began = true
		a.saved = a.limit()
	} else if a.Window > 0 {
		a.saved = min(a.limit(), a.saved+a.Fixed/2*float64(now-a.last)/float64(a.Window))
	}
	a.last = now
}
