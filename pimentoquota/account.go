package pimentoquota

import (
	"math"
	"time"
)

// account is what an entry holds of one organisation's tokens.
type account struct {
	limit Limit
	life  time.Duration
	// pool holds tokens for this entry's own requests and for those that ask it.
	pool     pool
	mintedTo time.Duration
	// use is the amount spent here or lent to others, and refused the requests refused.
	use, refused average
	// missing is what this entry and those that ask it lacked lately, at missingAt.
	missing   float64
	missingAt time.Duration
	// wantedUntil is the time until which the entry that this one asks lacks tokens.
	wantedUntil time.Duration
	// shortUntil is the time until which there is none where this entry asks.
	shortUntil time.Duration
	// droppedAt is when the organisation was no longer in the configuration.
	droppedAt     time.Duration
	dropped       bool
	spent, denied uint64
}

const (
	// averageTime is the time constant of the averages of use and refusals.
	averageTime = time.Second
	// ahead is the time for which an entry holds tokens by its recent use. It covers two
	// intervals between asks, so that steady requests don't wait.
	ahead = 500 * time.Millisecond
	// shortTime is how long an entry refuses at once after the hub had nothing. It bounds
	// the asks of an organisation that is over its quota.
	shortTime = 200 * time.Millisecond
	// arrivalTime is the time within which tokens that others mint can arrive here.
	arrivalTime = 150 * time.Millisecond
	// wantedTime is how long an entry keeps less after its hub was lacking tokens.
	wantedTime = time.Second
	// missingTime is how long what was lacking counts as needed.
	missingTime = 300 * time.Millisecond
)

// average is an exponential moving average of events per second. Its zero value is
// without events.
type average struct {
	rate float64
	at   time.Duration
}

func (v *average) add(now time.Duration, amount float64) {
	v.rate = v.value(now) + amount/averageTime.Seconds()
	v.at = now
}

func (v *average) value(now time.Duration) float64 {
	return v.rate * math.Exp(-float64(now-v.at)/float64(averageTime))
}

// setLimit changes the limit. Tokens of a higher rate become fewer, so that a lower limit
// binds at once for what was stored under the old one.
func (a *account) setLimit(l Limit, life time.Duration) {
	if a.limit == l && a.life == life {
		return
	}
	if l.Rate < a.limit.Rate {
		a.pool.scale(l.Rate / a.limit.Rate)
	}
	a.limit, a.life = l, life
	a.pool.restep(max(1, life/lotsPerLife))
}

// refresh mints this entry's part of the rate since the last call, and drops what has
// become too old.
func (a *account) refresh(now time.Duration, entries int) {
	a.pool.expire(now - a.life)
	if entries <= 0 || now <= a.mintedTo {
		return
	}
	a.mint(max(a.mintedTo, now-a.life), now, a.limit.Rate/float64(entries))
	a.mintedTo = now
	a.pool.expire(now - a.life)
}

// mint adds tokens of the time between two points at a rate.
func (a *account) mint(from, until time.Duration, rate float64) {
	for from < until {
		to := min(until, floor(from, a.pool.step)+a.pool.step)
		a.pool.add(Lot{from, rate * (to - from).Seconds()})
		from = to
	}
}

// miss counts what couldn't be served here.
func (a *account) miss(now time.Duration, amount float64) {
	a.missing = max(a.lacking(now), amount)
	a.missingAt = now
}

// exhausted reports whether more is lacking than all entries together mint while a request
// waits, so that further ones would wait in vain.
func (a *account) exhausted(now time.Duration) bool {
	return a.lacking(now) > a.limit.Rate*arrivalTime.Seconds()+1
}

// lacking returns what was lately lacking.
func (a *account) lacking(now time.Duration) float64 {
	if now-a.missingAt > missingTime {
		return 0
	}
	return a.missing
}

// keep returns the amount that this entry keeps for what it is likely to need. A hub also
// keeps some for uneven use by the entries of its domain.
func (a *account) keep(now time.Duration, hub bool) float64 {
	use := a.use.value(now) * ahead.Seconds()
	if !hub || now < a.wantedUntil {
		if use < minKept {
			return 0
		}
		return use
	}
	return use + spread*math.Sqrt(use) + hubReserve
}

const (
	// minKept is the use within ahead below which an entry that is no hub keeps nothing:
	// parts of a token at many entries serve nobody.
	minKept = 0.5
	// spread is the number of standard deviations of the use that a hub keeps beyond it.
	spread = 1
	// hubReserve is the number of tokens that a hub keeps of an organisation of little
	// use.
	hubReserve = 1
)
