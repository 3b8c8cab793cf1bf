package pimentoload

import "time"

const (
	// linkShare is the fraction of an entry's link that large bodies may take while they arrive,
	// and while they are sent to targets, so that small requests and responses pass beside them.
	linkShare = 0.8
	// minTransfer is the least time in which a body is counted as sent.
	minTransfer = time.Millisecond
)

// Link is the link of an entry and the large bodies that are to pass it. The zero value has no
// rate: everything fits. It isn't safe for concurrent use.
type Link struct {
	// Rate is the link's rate in bytes a second, 0 if it isn't known.
	Rate float64

	arriving int           // Bytes of admitted bodies that haven't arrived.
	sendAt   time.Duration // When the bodies that are underway to targets have been sent.
}

// Transfer returns the time that n bytes of large bodies take on the link.
func (l *Link) Transfer(n int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (linkShare * l.Rate) * float64(time.Second))
}

// Admit decides whether a body of n bytes is read, given the time that its request has left to
// be served, and the work time that the target needs. It counts a body that is read as arriving.
// Otherwise it returns the time after which the bodies that keep it out have arrived.
//
// It answers a load of large bodies above the rate of the link: all of them would arrive late, and
// be held in memory meanwhile.
func (l *Link) Admit(n int, left, work time.Duration) (wait time.Duration, ok bool) {
	if l.Rate <= 0 {
		return 0, true
	}
	// It arrives after those that are underway, and is sent once more.
	need := l.Transfer(l.arriving+n) + l.Transfer(n) + work
	if need <= left {
		l.arriving += n
		return 0, true
	}
	return max(minTransfer, min(l.Transfer(l.arriving), need-left)), false
}

// Arrived counts n bytes of an admitted body as arrived, or as not coming any more.
func (l *Link) Arrived(n int) { l.arriving = max(0, l.arriving-n) }

// Arriving returns the bytes of admitted bodies that haven't arrived.
func (l *Link) Arriving() int { return l.arriving }

// Send returns the time at which a body of n bytes is to be sent to a target: after those that
// were to be sent before it. Bodies that are sent one after the other leave gaps for small
// requests, and the first ones are complete sooner.
func (l *Link) Send(now time.Duration, n int) time.Duration {
	if l.Rate <= 0 {
		return now
	}
	at := max(now, l.sendAt)
	l.sendAt = at + l.Transfer(n)
	return at
}

// BodyCost returns what a body that crosses regions costs a choice among targets, as a time: the
// price of its bytes, but no more than what is left of the objective after the expected response,
// so that a near target that is in time comes first, and one that isn't comes after a far one that
// is.
func BodyCost(n int, perByte, left, expected time.Duration) time.Duration {
	return min(time.Duration(n)*perByte, max(0, left-expected))
}
