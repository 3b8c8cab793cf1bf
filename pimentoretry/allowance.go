package pimentoretry

import "time"

// Allowance is one entry's share of a limit on the retries of all entries: a ratio of
// the first attempts plus a fixed number per window. The shares add up to the limit,
// so that entries need no messages to keep it. With a Ratio of 0 it also limits other
// sends, such as the probes of gates. Times are counted from the entry's start. Exported
// fields may be changed between calls. It isn't safe for concurrent use.
type Allowance struct {
	// Ratio is the number of retries that one first attempt earns.
	Ratio float64
	// Fixed is the number of retries per window that need no first attempts.
	Fixed float64
	// Window is the time over which the limit applies.
	Window time.Duration
	// NoAdvance is set if the entry may not send a retry in advance while its share is
	// unknown, that is, while Fixed is 0.
	NoAdvance bool

	tokens     float64 // Negative while an advance has to be paid back.
	refilledAt time.Duration
	started    bool
	advanced   bool // It has got a retry in advance.
}

// Earn counts a first attempt.
func (a *Allowance) Earn(now time.Duration) {
	a.refill(now)
	a.tokens = min(a.tokens+a.Ratio, a.capacity())
}

// Spend takes one retry out of the allowance. It returns false if there is none.
func (a *Allowance) Spend(now time.Duration) bool {
	a.refill(now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Refund gives back a retry that Spend has taken and that was not sent.
func (a *Allowance) Refund() { a.tokens = min(a.tokens+1, a.capacity()) }

// Left returns the number of retries that are left, less than 1 if none can be sent.
func (a *Allowance) Left(now time.Duration) float64 {
	a.refill(now)
	return a.tokens
}

// capacity returns the number of retries that can be saved. Half of the fixed number
// can be saved and half is refilled during a window, so that no window has more than
// both.
func (a *Allowance) capacity() float64 { return max(1, a.Fixed/2) }

// refill adds what the fixed number allows since the last call. An entry starts without
// retries, since those that the run before it has sent count towards the same window. While
// its share is unknown, it may send one retry, which it pays back afterwards.
func (a *Allowance) refill(now time.Duration) {
	switch {
	case !a.started && a.Fixed == 0 && !a.NoAdvance:
		a.tokens, a.advanced = 1, true
	case a.advanced && a.Fixed > 0:
		a.tokens--
		a.advanced = false
	}
	a.started = true
	if a.Window > 0 {
		a.tokens = min(a.capacity(), a.tokens+a.Fixed/2*float64(now-a.refilledAt)/float64(a.Window))
	}
	a.refilledAt = now
}
