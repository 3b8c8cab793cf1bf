package pimentogate

import "time"

const (
	// settleTime is the time without further members after which an entry that has just
	// started counts as knowing the fleet.
	settleTime = 1800 * time.Millisecond
	// maxStatedEntries bounds the size that another entry states, so that a mistaken value
	// doesn't leave this one without a share.
	maxStatedEntries = 1 << 14
)

// fleetSize is the number of entries that this entry's shares of limits are computed from.
// It never decreases, so that the shares don't grow when members are lost. After a start it
// is unknown until the members that were met are probably all, or another entry has stated
// a size. It isn't safe for concurrent use.
type fleetSize struct {
	peak    int           // Most live members at a time.
	grownAt time.Duration // When peak last grew.
	settled bool
	stated  int // The largest size that another entry has seen itself.
}

// observe records the number of live members. While this entry is alone although others
// were to be met, it isn't known how many there are.
func (f *fleetSize) observe(now time.Duration, live int, alone bool) {
	if live > max(1, f.peak) { // This entry alone is no growth.
		f.peak, f.grownAt = live, now
	}
	if now-f.grownAt >= settleTime && !alone {
		f.settled = true
	}
}

// earlySettleTime is the time without further members after which their number is taken for
// the size of the fleet where nothing else is known. Members that start together meet within
// two exchanges with a seed.
const earlySettleTime = 500 * time.Millisecond

// early returns the number of entries as it looks soon after a start, 0 if this entry has met
// none yet.
func (f *fleetSize) early(now time.Duration) int {
	if f.peak <= 1 || now-f.grownAt < earlySettleTime {
		return 0
	}
	return f.peak
}

// state records the size that another entry has seen.
func (f *fleetSize) state(entries int) { f.stated = max(f.stated, entries) }

// own returns the size that this entry has seen itself, 0 if it is unknown. Only that is
// stated to others, so that a size from before entries were removed doesn't last.
func (f *fleetSize) own() int {
	if !f.settled {
		return 0
	}
	return max(1, f.peak)
}

// value returns the number of entries, 0 if it is unknown.
func (f *fleetSize) value() int {
	if !f.settled && f.stated == 0 {
		return 0
	}
	return max(1, f.peak, f.stated)
}
