package pimentotarget

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
// gates of one domain share. entries is their number, and rank that of this one among
// them, from 0. If there are more gates than requests, the first ones get one request each.
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

// ColdRank returns the rank of one gate for a cold target among the gates of a domain,
// which ColdShare takes. The ranks of different targets are independent, so that the gates
// with a share differ from target to target, and those whose share is none differ too.
func ColdRank(target string, gates []EntryName, own EntryName) int {
	rank, hash := 0, coldHash(target, own)
	for _, name := range gates {
		if h := coldHash(target, name); h < hash || (h == hash && name < own) {
			rank++
		}
	}
	return rank
}

func coldHash(target string, gate EntryName) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(gate))
	return d.Sum64()
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
