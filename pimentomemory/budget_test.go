package pimentomemory

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Large grants leave a part of the budget to small ones, and what is given back can be
// granted again.
func TestBudget(t *testing.T) {
	const limit = 8 << 20
	b := NewBudget(limit)
	large, endLarge := b.NewGrant()
	if large.Grow(limit) {
		t.Error("a large grant took the whole budget")
	}
	if !large.Grow(7 << 20) {
		t.Error("a large grant didn't get its part of the budget")
	}
	second, endSecond := b.NewGrant()
	if second.Grow(smallGrant + 1) {
		t.Error("a second large grant exceeds their part")
	}
	if !second.Grow(smallGrant) {
		t.Error("a small grant didn't get the rest")
	}
	if second.Grow(1) {
		t.Error("a small grant grew to a large one")
	}
	if got := b.Denied(); got != 3 {
		t.Errorf("%d denied, want 3", got)
	}
	endLarge()
	endLarge()
	if large.Grow(1) {
		t.Error("a grant grew after its end")
	}
	for end := time.Now().Add(5 * time.Second); b.Used() > smallGrant; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("what was given back is still counted after 5 s")
		}
	}
	if !second.Grow(1000 << 10) {
		t.Error("what was given back isn't granted again")
	}
	second.Shrink(1000 << 10)
	second.Shrink(1 << 30)
	endSecond()
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes are used at the end", got)
	}
}

// Grants without a budget always grow.
func TestNoBudget(t *testing.T) {
	var b *Budget
	g, end := b.NewGrant()
	defer end()
	if !g.Grow(1 << 40) {
		t.Error("a grant without a budget didn't grow")
	}
	g.Shrink(1)
}

// The budget is never exceeded, and nothing of it is lost, whatever its holders do.
func TestBudgetHolders(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for range 500 {
				g, end := b.NewGrant()
				for range 10 {
					if n := rng.IntN(100 << 10); rng.IntN(3) > 0 {
						g.Grow(n)
					} else {
						g.Shrink(n)
					}
					if used := b.Used(); used < 0 || used > limit {
						t.Errorf("%d bytes are used of %d", used, limit)
					}
				}
				end()
			}
		})
	}
	wg.Wait()
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes are used at the end", got)
	}
}
