package pimentoquota

import (
	"slices"
	"time"

	"pimentoarch/pimentoregister"
)

// Ask is what an entry sends to the hub that it asks: tokens that it doesn't need, and what
// it needs.
type Ask struct {
	// Parent is the run of the hub that Stamp is of, 0 without one. The receiver ignores
	// tokens for another run.
	Parent uint64
	// Stamp is the time that the hub's last reply stated, in its own time. The times of
	// Items are relative to the receipt of that reply, so that the hub knows how old tokens
	// are at most, however long the ask was on its way.
	Stamp time.Duration
	Items []AskItem
}

// AskItem is the part of an Ask about one organisation.
type AskItem struct {
	Name pimentoregister.OrganisationName
	Rate float64 // The rate under which Lots were minted.
	Lots []Lot   // Handed over.
	Want float64
}

// Reply is the hub's reply to an Ask.
type Reply struct {
	Run   uint64
	Stamp time.Duration // The hub's time.
	// Items has an item for each organisation of which the Ask wanted tokens, or the hub
	// lacks some. The times of lots are relative to Stamp.
	Items []ReplyItem
}

// ReplyItem is the part of a Reply about one organisation.
type ReplyItem struct {
	Name pimentoregister.OrganisationName
	Rate float64
	Lots []Lot // Lent.
	// Short is set if the hub lacks tokens and can't get any at the moment.
	Short bool
	// Wanted is set if the hub lacks tokens, and the Ask wanted none.
	Wanted bool
}

const (
	// minHandOver is the amount from which tokens are handed over at once. Less waits until
	// the hub lacks some, or the oldest have lived 1/patience of their life, so that messages
	// don't list all organisations each time.
	minHandOver = 0.25
	patience    = 8
	// leastHandOver is the amount below which nothing is handed over.
	leastHandOver = 0.005
	// lotsPerMessage is the number of steps in the life of a token by which messages state
	// times.
	lotsPerMessage = 32
)

// worthMoving reports whether an amount is to be handed over now.
func (a *account) worthMoving(now time.Duration, spare float64) bool {
	if spare >= minHandOver || (spare >= leastHandOver && now < a.wantedUntil) {
		return true
	}
	return spare >= leastHandOver && len(a.pool.lots) > 0 && now-a.pool.lots[0].MintedAt >= a.life/patience
}

// handOver removes an amount, with times that are rounded down.
func (a *account) handOver(amount float64) []Lot {
	coarse := pool{step: max(1, a.life/lotsPerMessage)}
	for _, lot := range a.pool.takeNewest(amount) {
		coarse.add(lot)
	}
	return coarse.lots
}

// Ask returns what to send to the hub with the given run, 0 if that isn't known yet. The
// tokens in it are gone from this entry, whether or not the message arrives.
func (l *Ledger) Ask(now time.Duration, parent uint64) Ask {
	var ask Ask
	known := parent != 0 && parent == l.parent
	if known {
		ask.Parent, ask.Stamp = parent, l.parentStamp
	}
	for name := range l.accounts {
		a := l.account(now, name)
		if a == nil {
			continue
		}
		it := AskItem{Name: name, Rate: a.limit.Rate}
		held, keep, lacking := a.pool.sum(), a.keep(now, l.Hub), a.lacking(now)
		switch {
		case a.needsMore(now, held, keep):
			it.Want = lacking + keep - held
		case known && lacking == 0 && a.worthMoving(now, held-keep):
			it.Lots = a.handOver(held - keep)
			for i := range it.Lots {
				it.Lots[i].MintedAt -= l.parentReplied
			}
		}
		if it.Want > 0 || len(it.Lots) > 0 {
			ask.Items = append(ask.Items, it)
		}
	}
	return ask
}

// needsMore reports whether an account that holds an amount needs more, either for what is
// lacking or to keep what recent use calls for.
func (a *account) needsMore(now time.Duration, held, keep float64) bool {
	lacking := a.lacking(now)
	return held < lacking || (held < keep/2 && a.use.value(now)*ahead.Seconds() >= minKept)
}

// Serve handles the ask of another entry.
func (l *Ledger) Serve(now time.Duration, ask *Ask) Reply {
	reply := Reply{Run: l.Run, Stamp: now}
	l.servedAt = now
	for i := range ask.Items {
		it := &ask.Items[i]
		a := l.account(now, it.Name)
		if a == nil {
			continue
		}
		if ask.Parent == l.Run && ask.Stamp <= now {
			a.receive(now, it.Lots, it.Rate, ask.Stamp)
		}
		if it.Want > 0 {
			reply.Items = append(reply.Items, l.lend(now, a, it))
		}
	}
	l.addWanted(now, &reply)
	return reply
}

// addWanted adds the organisations of which this entry lacks tokens and the ask wanted none.
func (l *Ledger) addWanted(now time.Duration, reply *Reply) {
	for name, a := range l.accounts {
		asked := slices.ContainsFunc(reply.Items, func(it ReplyItem) bool { return it.Name == name })
		if !a.dropped && !asked && a.lacking(now) > a.pool.sum() {
			reply.Items = append(reply.Items, ReplyItem{Name: name, Rate: a.limit.Rate, Wanted: true})
		}
	}
}

// receive adds tokens of another entry, whose times are relative to base.
func (a *account) receive(now time.Duration, lots []Lot, rate float64, base time.Duration) {
	factor := 1.0
	if rate > a.limit.Rate { // The sender has an older configuration.
		factor = a.limit.Rate / rate
	}
	for _, lot := range lots {
		a.pool.add(Lot{min(now, base+lot.MintedAt), lot.Amount * factor})
	}
	a.pool.expire(now - a.life)
}

// lend lends what an item wants, as far as there is some.
func (l *Ledger) lend(now time.Duration, a *account, it *AskItem) ReplyItem {
	lots := a.pool.takeLasting(it.Want, now-a.life+ahead)
	lent := 0.0
	for i := range lots {
		lent += lots[i].Amount
		lots[i].MintedAt -= now
	}
	a.use.add(now, lent)
	reply := ReplyItem{Name: it.Name, Rate: a.limit.Rate, Lots: lots}
	if left := it.Want - lent; left > rounding {
		a.miss(now, a.lacking(now)+left)
		reply.Short = l.hasNone(now, a)
	}
	return reply
}

// Apply handles the reply to the ask that was sent at a time.
func (l *Ledger) Apply(now, sentAt time.Duration, r *Reply) {
	l.parent, l.parentStamp, l.parentReplied = r.Run, r.Stamp, now
	for i := range r.Items {
		it := &r.Items[i]
		a := l.account(now, it.Name)
		if a == nil {
			continue
		}
		if it.Wanted {
			a.wantedUntil = now + wantedTime
			continue
		}
		// The reply wasn't made before the ask was sent.
		a.receive(now, it.Lots, it.Rate, sentAt)
		a.missing = 0 // Those that still wait count themselves again.
		a.shortUntil = 0
		if it.Short {
			a.shortUntil = now + shortTime
		}
	}
}

// wantedPart returns the amount from which tokens that the hub lacks are handed over at once.
// After the start of all entries each of them has a small part of a token only, and the hub
// needs the parts of all.
func (l *Ledger) wantedPart(now time.Duration) float64 {
	if l.Starting(now) {
		return startHandOver
	}
	return 1
}

// startHandOver is the amount of wantedPart soon after the start.
const startHandOver = 0.02

// Needs reports whether an organisation lacks tokens, or the hub lacks some that this entry
// can spare, so that the hub is to be asked at once.
func (l *Ledger) Needs(now time.Duration) bool {
	for _, a := range l.accounts {
		if a.dropped {
			continue
		}
		held, lacking := a.pool.sum(), a.lacking(now)
		if lacking > 0 && now >= a.shortUntil && held < lacking {
			return true
		}
		if now < a.wantedUntil && lacking == 0 && held-a.keep(now, l.Hub) >= l.wantedPart(now) {
			return true
		}
	}
	return false
}
