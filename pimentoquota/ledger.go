package pimentoquota

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Ledger holds this entry's tokens of all organisations. Bounds must be set before the
// first call. It isn't safe for concurrent use.
type Ledger struct {
	Bounds Bounds
	// Entries is the number of entries by which rates are divided, 0 while it is unknown:
	// nothing is minted then, and made up for later. It is changed with SetEntries once the
	// ledger is used.
	Entries int
	// Run identifies this start of the entry.
	Run uint64
	// Hub is set while other entries hand their tokens to this one, and Alone while there
	// is no entry to ask.
	Hub, Alone bool
	// HeadStart lets the entry mint from Bounds.headStart before its start on. It is set
	// before the first call.
	HeadStart bool

	accounts map[pimentoregister.OrganisationName]*account
	servedAt time.Duration // When another entry last asked this one.
	// begun is set once there was a limit, since begunAt.
	begun   bool
	begunAt time.Duration
	// parent is the run of the entry that was asked last, with the time that its last
	// reply stated, and when that was received here.
	parent        uint64
	parentStamp   time.Duration
	parentReplied time.Duration
}

// Verdict is what a request may do.
type Verdict uint8

// The verdicts.
const (
	Unlimited Verdict = iota // The organisation has no limit.
	Granted                  // A token was taken.
	Wait                     // There may be one where this entry asks.
	Denied                   // There is none.
)

// SetLimits replaces the limits. Organisations that are new to this entry had no requests
// here since its start, so that their tokens since then count as unspent.
func (l *Ledger) SetLimits(now time.Duration, limits map[pimentoregister.OrganisationName]Limit) {
	if l.accounts == nil {
		l.accounts = make(map[pimentoregister.OrganisationName]*account, len(limits))
	}
	if !l.begun && len(limits) > 0 {
		l.begun, l.begunAt = true, now
	}
	for name, limit := range limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{mintedTo: -l.headStart(limit)}
			l.accounts[name] = a
		} else {
			a.refresh(now, l.Entries) // At the rate that has applied until now.
		}
		a.dropped = false
		a.setLimit(limit, l.Bounds.Life(limit))
	}
	for name, a := range l.accounts {
		if _, ok := limits[name]; ok {
			continue
		}
		if !a.dropped {
			a.dropped, a.droppedAt = true, now
		}
		// Kept for a life, so that an organisation that returns doesn't begin anew.
		if now-a.droppedAt > a.life {
			delete(l.accounts, name)
		}
	}
}

// SetEntries changes the number of entries. Soon after the start it may have been taken to be
// larger than it is. What was then minted too little is made up for, since this entry minted
// nothing else since its start.
func (l *Ledger) SetEntries(now time.Duration, n int) {
	if n == l.Entries {
		return
	}
	for _, a := range l.accounts {
		a.refresh(now, l.Entries)
		if l.Entries > 0 && n > 0 && n < l.Entries && l.Starting(now) {
			a.mint(max(-l.headStart(a.limit), now-a.life), now, a.limit.Rate/float64(n)-a.limit.Rate/float64(l.Entries))
		}
	}
	l.Entries = n
}

// headStart returns the time before the start from which on tokens of a limit are minted.
func (l *Ledger) headStart(limit Limit) time.Duration {
	if !l.HeadStart {
		return 0
	}
	return l.Bounds.headStart(limit)
}

// account returns the account of an organisation with a limit, up to date, or nil.
func (l *Ledger) account(now time.Duration, name pimentoregister.OrganisationName) *account {
	a := l.accounts[name]
	if a == nil || a.dropped {
		return nil
	}
	a.refresh(now, l.Entries)
	return a
}

// Take takes a token for one run.
func (l *Ledger) Take(now time.Duration, name pimentoregister.OrganisationName) (Token, Verdict) {
	a := l.account(now, name)
	if a == nil {
		return Token{}, Unlimited
	}
	if a.pool.sum() >= 1-rounding {
		lots := a.pool.take(1)
		a.use.add(now, 1)
		a.missing = max(0, a.lacking(now)-1)
		a.spent++
		return Token{lots[0].MintedAt}, Granted
	}
	a.miss(now, a.lacking(now)+1)
	if l.Entries > 0 && l.hasNone(now, a) {
		return Token{}, Denied
	}
	return Token{}, Wait
}

// StartTime is the time in which an entry finds the fleet and its hub. It begins with the
// first configuration that limits an organisation: before that no request needed a token, and
// the members may be as unknown as the configuration.
const StartTime = 3 * time.Second

// Starting reports whether the entry is still to find the fleet and its hub. Requests wait for
// tokens then, instead of being refused at once.
func (l *Ledger) Starting(now time.Duration) bool { return now < l.begunAt+StartTime }

// hasNone reports whether no token can be expected soon: there is none where this entry
// asks, or it asks nobody and others bring it too few.
func (l *Ledger) hasNone(now time.Duration, a *account) bool {
	if l.Starting(now) {
		return false
	}
	if l.Alone {
		return now-l.servedAt > servedTime || a.exhausted(now)
	}
	return now < a.shortUntil
}

// servedTime is the time after the last ask of another entry within which more are expected.
const servedTime = time.Second

// Refuse counts a request that was refused, and returns the time after which there may be
// room: the larger the part of the organisation's requests that is refused here, the later.
func (l *Ledger) Refuse(now time.Duration, name pimentoregister.OrganisationName) time.Duration {
	a := l.account(now, name)
	if a == nil {
		return 0
	}
	a.denied++
	a.refused.add(now, 1)
	if l.Starting(now) {
		return startReturn // What is refused now tells nothing about the quota.
	}
	refused := a.refused.value(now)
	part := refused / (refused + a.use.value(now))
	return max(minReturn, time.Duration(part*float64(maxReturn)))
}

const (
	// startReturn is that time soon after the start. Callers come back a few times only: one
	// that is refused twice tries for the third time when the start is over, and meanwhile
	// the tokens are for requests that can still be in time.
	startReturn = StartTime / 2
	// minReturn and maxReturn bound the time after which a refused caller is to return.
	minReturn = 250 * time.Millisecond
	maxReturn = 3 * time.Second
)

// Fresh reports whether a token may still be used.
func (l *Ledger) Fresh(now time.Duration, name pimentoregister.OrganisationName, t Token) bool {
	a := l.account(now, name)
	return a == nil || t.MintedAt >= now-a.life
}

// Return gives back a token whose request surely didn't run.
func (l *Ledger) Return(now time.Duration, name pimentoregister.OrganisationName, t Token) {
	a := l.account(now, name)
	if a == nil {
		return
	}
	a.spent -= min(a.spent, 1) // It is 0 if the organisation was forgotten meanwhile.
	a.pool.add(Lot{t.MintedAt, 1})
	a.pool.expire(now - a.life)
}
