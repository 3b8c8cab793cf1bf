package pimentoquota

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Status is what an entry knows of one organisation's quota.
type Status struct {
	Name  pimentoregister.OrganisationName
	Limit Limit
	// Held is the number of tokens here, Use the number per second that were spent here or
	// lent to others lately, and Age the age of the oldest token.
	Held, Use float64
	Age       time.Duration
	// Spent and Denied count requests of this entry since its start.
	Spent, Denied uint64
	Short         bool // There was none where this entry asks.
}

// Status returns the state of one organisation's quota, and false if it has no limit.
func (l *Ledger) Status(now time.Duration, name pimentoregister.OrganisationName) (Status, bool) {
	a := l.account(now, name)
	if a == nil {
		return Status{}, false
	}
	s := Status{
		Name: name, Limit: a.limit, Held: a.pool.sum(), Use: a.use.value(now),
		Spent: a.spent, Denied: a.denied, Short: now < a.shortUntil,
	}
	if len(a.pool.lots) > 0 {
		s.Age = now - a.pool.lots[0].MintedAt
	}
	return s, true
}
