package pimentogate

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

// lineBudget bounds the log lines per second. Lines about successful requests have
// a small budget, failures and state changes a larger one. Lines left out are
// counted.
type lineBudget struct {
	linesPerSecond int // Ordinary lines.

	mu      sync.Mutex // Guards the fields below.
	second  int64
	used    [2]int // In this second: ordinary and urgent lines.
	leftOut int
}

// urgentFactor times linesPerSecond bounds the lines about failures and state changes.
const urgentFactor = 10

// allow reports whether a line may be written, and how many were left out
// before it.
func (b *lineBudget) allow(now time.Duration, urgent bool) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := int64(now / time.Second); s != b.second {
		b.second = s
		b.used = [2]int{}
	}
	limit, kind := b.linesPerSecond, 0
	if urgent {
		limit, kind = max(1, b.linesPerSecond)*urgentFactor, 1
	}
	if b.used[kind] >= limit {
		b.leftOut++
		return false, 0
	}
	b.used[kind]++
	out := b.leftOut
	b.leftOut = 0
	return true, out
}

// logLine logs a request or an event if the budget allows.
func (g *Gate) logLine(severity level.Value, fields ...any) {
	g.writeLine(severity, severity == level.WarnValue() || severity == level.ErrorValue(), fields)
}

// logChange logs a change of this entry's state if the budget allows.
func (g *Gate) logChange(fields ...any) { g.writeLine(level.InfoValue(), true, fields) }

func (g *Gate) writeLine(severity level.Value, urgent bool, fields []any) {
	ok, leftOut := g.logBudget.allow(g.now(), urgent)
	if !ok {
		g.metrics.count("pimento_lines_left_out_total")
		return
	}
	if leftOut > 0 {
		fields = append(fields, "left_out", leftOut)
	}
	_ = g.log.Log(append([]any{level.Key(), severity}, fields...)...)
}
