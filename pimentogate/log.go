package pimentogate

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// lineBudget bounds the log lines a second. Lines about requests that went
// well have a small budget, others a larger one. What is left out is counted.
type lineBudget struct {
	lines int // A second, for what went well.

	mu      sync.Mutex // Guards the fields below.
	second  int64
	used    int
	leftOut int
}

// urgentFactor is how many times more lines failures and changes may have.
const urgentFactor = 10

// allow reports whether a line may be written, and how many were left out
// before it.
func (b *lineBudget) allow(now time.Duration, urgent bool) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := int64(now / time.Second); s != b.second {
		b.second = s
		b.used = 0
	}
	limit := b.lines
	if urgent {
		limit = max(1, b.lines) * urgentFactor
	}
	if b.used >= limit {
		b.leftOut++
		return false, 0
	}
	b.used++
	out := b.leftOut
	b.leftOut = 0
	return true, out
}

// note writes a log line if the budget allows.
func (g *Gate) note(severity level.Value, fields ...any) {
	urgent := severity == level.WarnValue() || severity == level.ErrorValue()
	ok, leftOut := g.budget.allow(g.now(), urgent)
	if !ok {
		return
	}
	if leftOut > 0 {
		fields = append(fields, "left_out", leftOut)
	}
	_ = g.log.Log(append([]any{level.Key(), severity}, fields...)...)
}
