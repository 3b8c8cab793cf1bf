package pimentomemory

import (
	"runtime"
	"sync"
)

const (
	// smallGrant is the size in bytes up to which a grant may use the whole budget.
	smallGrant = 64 << 10
	// smallShare is the divisor of the part of a budget that only small grants may use, so
	// that large bodies don't keep small ones out.
	smallShare = 8
	// collectedSize is the number of bytes from which what is given back at a time counts as
	// held until the garbage was collected. Otherwise large bodies would pile up as garbage.
	collectedSize = 1 << 20
)

// Budget bounds the bytes that are held at a time. It is safe for concurrent use. A nil
// Budget has no limit.
type Budget struct {
	limit int

	mu     sync.Mutex // Guards the fields below, and those of the grants.
	used   int
	denied int
	// garbage is the part of used that isn't held any more. collecting is set while
	// collectGarbage runs.
	garbage    int
	collecting bool
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are held, or wait for the garbage collection.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Denied returns how often a grant couldn't grow because the budget was used up.
func (b *Budget) Denied() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}

// Limit returns the bytes that may be held at a time.
func (b *Budget) Limit() int { return b.limit }

// Grant is the part of a budget that is held for one request. It is safe for concurrent
// use. A nil Grant has no limit.
type Grant struct {
	budget *Budget
	size   int
	ended  bool
}

// NewGrant returns an empty grant, and a function that gives all of it back. The grant
// doesn't grow after that.
func (b *Budget) NewGrant() (*Grant, func()) {
	if b == nil {
		return nil, func() {}
	}
	g := &Grant{budget: b}
	return g, g.end
}

// Grow adds n bytes, or reports false if the budget is used up.
func (g *Grant) Grow(n int) bool {
	if g == nil {
		return true
	}
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !g.fits(n) {
		b.denied++
		return false
	}
	g.size += n
	b.used += n
	return true
}

// Fits reports whether Grow would add n bytes now. A negative answer counts as denied.
func (g *Grant) Fits(n int) bool {
	if g == nil {
		return true
	}
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !g.fits(n) {
		b.denied++
		return false
	}
	return true
}

// fits reports whether n more bytes fit. It is called with the budget's mu held.
func (g *Grant) fits(n int) bool {
	limit := g.budget.limit
	if g.size+n > smallGrant {
		limit -= g.budget.limit / smallShare
	}
	return !g.ended && n <= limit-g.budget.used
}

// Shrink gives n bytes back. It has no effect on a grant that was given back.
func (g *Grant) Shrink(n int) {
	if g == nil {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	n = min(n, g.size)
	g.size -= n
	g.budget.release(n)
}

// end gives the whole grant back.
func (g *Grant) end() {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.budget.release(g.size)
	g.size, g.ended = 0, true
}

// release gives n bytes back. It is called with mu held.
func (b *Budget) release(n int) {
	if n < collectedSize {
		b.used -= n
		return
	}
	b.garbage += n
	if !b.collecting {
		b.collecting = true
		go b.collectGarbage()
	}
}

// collectGarbage collects garbage until there is none of the budget.
func (b *Budget) collectGarbage() {
	for {
		b.mu.Lock()
		n := b.garbage
		b.collecting = n > 0
		b.mu.Unlock()
		if n == 0 {
			return
		}
		runtime.GC()
		b.mu.Lock()
		b.garbage -= n
		b.used -= n
		b.mu.Unlock()
	}
}
