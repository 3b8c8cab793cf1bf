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

	receivedAt time.Duration // When the bodies that arrive have arrived at that rate.
	sentAt     time.Duration // When the bodies that are underway to targets have been sent.
}

// Transfer returns the time that n bytes of large bodies take on the link.
func (l *Link) Transfer(n int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (linkShare * l.Rate) * float64(time.Second))
}

// Fits decides whether a body of n bytes is read, given the time that its request has left to be
// served, and the work time that the target needs. Otherwise it returns the time after which those
// that keep it out have arrived.
//
// It answers a load of large bodies above the rate of the link: all of them would arrive late, and
// be held in memory meanwhile.
func (l *Link) Fits(now time.Duration, n int, left, work time.Duration) (wait time.Duration, ok bool) {
	if l.Rate <= 0 {
		return 0, true
	}
	before := l.Busy(now)
	need := before + 2*l.Transfer(n) + work // It arrives after the others, and is sent once more.
	if need <= left {
		return 0, true
	}
	return max(minTransfer, min(before, need-left)), false
}

// Receive counts a body of n bytes that begins to arrive. It is counted at the rate of the link, so
// that callers that send slowly, or not at all, keep out no others.
func (l *Link) Receive(now time.Duration, n int) {
	l.receivedAt = max(now, l.receivedAt) + l.Transfer(n)
}

// Busy returns the time that the bodies that arrive need.
func (l *Link) Busy(now time.Duration) time.Duration { return max(0, l.receivedAt-now) }

// Send returns the time at which a body of n bytes is to be sent to a target: after those that
// were to be sent before it. Bodies that are sent one after the other leave gaps for small
// requests, and the first ones are complete sooner.
func (l *Link) Send(now time.Duration, n int) time.Duration {
	at := max(now, l.sentAt)
	l.sentAt = at + l.Transfer(n)
	return at
}

// Unsend takes back a body that was to be sent at a time and wasn't. The part of its turn that has
// passed isn't given back, because bodies after it are sent by now.
func (l *Link) Unsend(now, at time.Duration, n int) {
	l.sentAt -= min(l.Transfer(n), max(0, at+l.Transfer(n)-now))
}

// BodyCost returns what a body that crosses regions costs a choice among targets, as a time: the
// price of its bytes, but no more than what is left of the objective after the expected response,
// so that a near target that is in time comes first, and one that isn't comes after a far one that
// is.
func BodyCost(n int, perByte, left, expected time.Duration) time.Duration {
	return min(time.Duration(n)*perByte, max(0, left-expected))
}
