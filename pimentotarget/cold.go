package pimentotarget

import (
	"slices"
	"time"
)

// coldWindow is the sliding window over which requests to a cold target are
// counted.
const coldWindow = time.Second

// ColdLimiter limits the requests a second that one gate sends to a cold target. Only
// the gates of the target's own failure domain send to it, each up to a fixed share,
// so they need no messages to keep the limit. The ColdLimit of a service, which bounds
// outstanding requests, is another limit. The zero value is ready to use. It isn't safe
// for concurrent use.
type ColdLimiter struct {
	sent []time.Duration // Times of the requests within coldWindow.
}

// ColdShare returns one gate's share, in whole requests a second, of a limit that the
// gates of one domain share. entries is their number, and rank the index of this one
// among them, from 0. If there are more gates than requests, the first ones get one
// request each.
func ColdShare(limit float64, entries, rank int) int {
	perSecond := int(limit)
	if entries < 1 || perSecond < 1 {
		return 0
	}
	if perSecond < entries {
		if rank < perSecond {
			return 1
		}
		return 0
	}
	return perSecond / entries
}

// Allow counts a request and returns true, or returns false if the share is used up.
func (l *ColdLimiter) Allow(now time.Duration, share int) bool {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Duration) bool { return now-at > coldWindow })
	if len(l.sent) >= share {
		return false
	}
	l.sent = append(l.sent, now)
	return true
}
