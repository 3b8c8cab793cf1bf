package pimentoload

import "time"

// Urgency knows which of the requests to a service are urgent: those with a higher priority
// than others that came lately. The zero value is ready to use. It isn't safe for
// concurrent use.
type Urgency struct {
	lowest int // The lowest priority seen lately, that is, the highest number.
	seenAt time.Duration
	seen   bool
}

// urgencyMemory is the time after its last request for which a priority still counts.
const urgencyMemory = 5 * time.Second

// IsUrgent records a request with a priority, of which 0 is the highest, and reports
// whether requests with a lower one came lately.
func (u *Urgency) IsUrgent(now time.Duration, priority int) bool {
	if !u.seen || priority >= u.lowest || now-u.seenAt > urgencyMemory {
		u.lowest, u.seenAt, u.seen = priority, now, true
		return false
	}
	return true
}
