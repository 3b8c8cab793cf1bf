package pimentotarget

import (
	"slices"
	"time"
)

// coldWindow is the span in which the requests to a cold target are counted.
const coldWindow = time.Second

// ColdLimiter keeps one entry's share of what a cold target bears in any second.
// Only the entries of the target's own failure domain send to it while it is
// cold, each with a fixed share, so no message is needed. The zero value is
// ready to use. It isn't safe for concurrent use.
type ColdLimiter struct {
	sent []time.Duration
}

// ColdShare returns an entry's share of a limit of requests a second, which
// entries of the same domain have together. rank is the entry's place among
// them. Where there are more entries than requests, the first ones have one each.
func ColdShare(limit float64, entries, rank int) int {
	whole := int(limit)
	if entries < 1 || whole < 1 {
		return 0
	}
	if whole < entries {
		if rank < whole {
			return 1
		}
		return 0
	}
	return whole / entries
}

// Allow counts a request, and reports false if the share is used up.
func (g *ColdLimiter) Allow(now time.Duration, share int) bool {
	g.sent = slices.DeleteFunc(g.sent, func(at time.Duration) bool { return now-at > coldWindow })
	if len(g.sent) >= share {
		return false
	}
	g.sent = append(g.sent, now)
	return true
}
