package pimentoquota

import "time"

// Lot is an amount of tokens that weren't minted before MintedAt.
type Lot struct {
	MintedAt time.Duration
	Amount   float64
}

// Token is the permission for one run. Its MintedAt is that of its oldest part.
type Token struct{ MintedAt time.Duration }

// pool holds tokens by the time at which they were minted, oldest first. step is the
// precision of that time.
type pool struct {
	lots []Lot
	step time.Duration
}

// lotsPerLife is the number of steps in the life of a token, which bounds the lots of a
// pool.
const lotsPerLife = 64

// rounding is the amount by which a whole token may be missed, since parts of tokens are
// added up.
const rounding = 1e-6

// add adds tokens. Their time is rounded down, so that they never live too long.
func (p *pool) add(l Lot) {
	if l.Amount <= 0 {
		return
	}
	l.MintedAt = floor(l.MintedAt, p.step)
	i := len(p.lots)
	for i > 0 && p.lots[i-1].MintedAt > l.MintedAt {
		i--
	}
	if i > 0 && p.lots[i-1].MintedAt == l.MintedAt {
		p.lots[i-1].Amount += l.Amount
		return
	}
	p.lots = append(p.lots, Lot{})
	copy(p.lots[i+1:], p.lots[i:])
	p.lots[i] = l
}

// floor rounds t down to a multiple of step.
func floor(t, step time.Duration) time.Duration {
	if rest := t % step; rest < 0 {
		return t - rest - step
	}
	return t - t%step
}

// expire drops tokens that were minted before the given time.
func (p *pool) expire(before time.Duration) {
	n := 0
	for n < len(p.lots) && p.lots[n].MintedAt < before {
		n++
	}
	p.lots = append(p.lots[:0], p.lots[n:]...)
}

// sum returns the amount of tokens.
func (p *pool) sum() float64 {
	total := 0.0
	for _, l := range p.lots {
		total += l.Amount
	}
	return total
}

// take removes an amount, the oldest tokens first, and returns what it removed, which is
// less if there isn't enough.
func (p *pool) take(amount float64) []Lot {
	var taken []Lot
	for len(p.lots) > 0 && amount > 0 {
		first := &p.lots[0]
		if first.Amount > amount {
			first.Amount -= amount
			return append(taken, Lot{first.MintedAt, amount})
		}
		amount -= first.Amount
		taken = append(taken, *first)
		p.lots = append(p.lots[:0], p.lots[1:]...)
	}
	return taken
}

// takeNewest removes an amount like take, the newest tokens first.
func (p *pool) takeNewest(amount float64) []Lot {
	var taken []Lot
	for n := len(p.lots); n > 0 && amount > 0; n = len(p.lots) {
		last := &p.lots[n-1]
		if last.Amount > amount {
			last.Amount -= amount
			return append(taken, Lot{last.MintedAt, amount})
		}
		amount -= last.Amount
		taken = append(taken, *last)
		p.lots = p.lots[:n-1]
	}
	return taken
}

// takeLasting removes an amount like take, but takes tokens that were minted before the
// given time only after all others.
func (p *pool) takeLasting(amount float64, before time.Duration) []Lot {
	n := 0
	for n < len(p.lots) && p.lots[n].MintedAt < before {
		n++
	}
	lasting := pool{lots: append([]Lot(nil), p.lots[n:]...)}
	p.lots = p.lots[:n]
	taken := lasting.take(amount)
	for _, l := range taken {
		amount -= l.Amount
	}
	taken = append(taken, p.takeNewest(amount)...)
	p.lots = append(p.lots, lasting.lots...)
	return taken
}

// scale multiplies all amounts.
func (p *pool) scale(factor float64) {
	for i := range p.lots {
		p.lots[i].Amount *= factor
	}
}

// restep changes the precision.
func (p *pool) restep(step time.Duration) {
	old := p.lots
	p.lots, p.step = nil, step
	for _, l := range old {
		p.add(l)
	}
}
