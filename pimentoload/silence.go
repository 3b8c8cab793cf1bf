package pimentoload

import (
	"math"
	"time"
)

const (
	// minFullQueue is the number of waiting requests for each slot below which a queue isn't
	// full.
	minFullQueue = 2
	// silenceMemory is the time for which a service's targets count as silent when full after
	// one was seen so, because a new version of them may have longer queues.
	silenceMemory = 5 * time.Minute
	// shorterStep is how far the assumed length falls with a shorter queue. With a step of 1 up,
	// that makes it a quantile of 3/4.
	shorterStep = 1.0 / 3
	// busyWeight is the weight of one report in the share of targets without a free slot.
	busyWeight = 0.05
	// suspectFactor times the expected time is the time after which a response is overdue, and
	// the objective divided by it the least such time.
	suspectFactor = 2
	// arrivalWindow is the time over which arrivals are averaged.
	arrivalWindow = 5 * time.Second
	// marginDeviations is the number of standard deviations by which more requests than
	// expected may come.
	marginDeviations = 2
)

// Queue is what is known about the queues at the targets of a service that don't respond to
// requests they can't queue. It decides nothing until a target was seen silent while its queue
// was long. The zero value knows nothing. It isn't safe for concurrent use.
type Queue struct {
	// length is what the targets are assumed to queue: a high quantile of the longest queues
	// that were reported beside requests without a response.
	length      float64
	seen        bool
	refused     bool // A target refused a request because its queue was full.
	shown       bool // Silence was seen, and not only suspected.
	silentUntil time.Duration
	arrivals    float64 // Recent ones, each with a weight that falls with its age.
	countedAt   time.Duration
	busy        float64 // The moving average of targets without a free slot, from 0 to 1.
}

// IsLong reports whether a target's queue may have been full when a request arrived.
func IsLong(running, waiting, slots int) bool {
	return slots > 0 && running >= slots && waiting >= minFullQueue*slots
}

// Report records a load report of a target.
func (q *Queue) Report(running, slots int) {
	x := 0.0
	if running >= slots {
		x = 1
	}
	q.busy += busyWeight * (x - q.busy)
}

// SawSilent records that a target didn't respond to a request beside which its longest queue was
// longest.
func (q *Queue) SawSilent(now time.Duration, longest int) {
	q.learn(now, longest)
	q.shown = true
}

// Suspect records the same of a target whose response is long overdue, and may still come.
func (q *Queue) Suspect(now time.Duration, longest int) {
	q.shown = q.shown && q.Silent(now)
	q.learn(now, longest)
}

// Answered records that a response came to a request whose target was suspected. Unless silence was
// seen, nothing counts as silent any more: slow targets are suspected too.
func (q *Queue) Answered() { q.seen = q.seen && q.shown }

// Shown reports whether targets were lately seen silent while full, and not only suspected.
func (q *Queue) Shown(now time.Duration) bool { return q.Silent(now) && q.shown }

// learn records the longest queue beside a request without a response.
func (q *Queue) learn(now time.Duration, longest int) {
	switch n := float64(longest); {
	case !q.Silent(now):
		q.length = n
	case n > q.length:
		q.length++
	default:
		q.length -= shorterStep
	}
	q.seen, q.silentUntil = true, now+silenceMemory
}

// Refused records that a target refused a request because its queue was full: these targets aren't
// silent when full.
func (q *Queue) Refused() { q.refused = true }

// Silent reports whether targets were lately seen silent while full.
func (q *Queue) Silent(now time.Duration) bool { return q.seen && !q.refused && now < q.silentUntil }

// firstWindow is the number of bytes that are sent before the first acknowledgement arrives. It
// doubles with each.
const firstWindow = 14 << 10

// Delivery returns the time from a report of a target until a request with a body of n bytes that
// was sent because of it has arrived there whole. Until then, the target doesn't count it.
func Delivery(n int, roundTrip time.Duration) time.Duration {
	d := roundTrip
	for sent := firstWindow; sent < n; sent *= 2 {
		d += roundTrip
	}
	return d
}

// Age returns the time since targets were last seen silent.
func (q *Queue) Age(now time.Duration) time.Duration { return now - q.silentUntil + silenceMemory }

// Merge records what another entry has learned: the length of the queues and its age. It reports
// whether that is news: nothing was known, or less.
func (q *Queue) Merge(now time.Duration, length int, age time.Duration) (news bool) {
	until := now - age + silenceMemory
	if length <= 0 || until <= now {
		return false
	}
	if q.refused {
		return false
	}
	if news = !q.Silent(now); news || until > q.silentUntil {
		q.seen, q.shown, q.silentUntil, q.length = true, true, until, float64(length)
	}
	return news
}

// Suspects reports whether a response is so long overdue that the request is likely to have found
// the queue full. It shows too little to give the request up, and enough to send no more requests
// to such queues.
func Suspects(age, expected, objective time.Duration) bool {
	return age > suspectFactor*expected && age > objective/suspectFactor
}

// Length returns the learned length of the queues, 0 if targets weren't seen silent.
func (q *Queue) Length(now time.Duration) int {
	if !q.Silent(now) {
		return 0
	}
	return int(math.Round(q.length))
}

// Arrived counts a request for the service.
func (q *Queue) Arrived(now time.Duration) {
	q.arrivals = q.decayed(now) + 1
	q.countedAt = now
}

func (q *Queue) decayed(now time.Duration) float64 {
	return q.arrivals * math.Exp(-(now-q.countedAt).Seconds()/arrivalWindow.Seconds())
}

// Margin returns the number of requests that other entries may send to a target with a free slot
// during age, if all of the entries get as many requests as this one and spread them over such
// targets.
func (q *Queue) Margin(now, age time.Duration, entries, targets int) int {
	free := max(1, float64(targets)*(1-q.busy))
	mean := q.decayed(now) / arrivalWindow.Seconds() * float64(max(0, entries-1)) / free * age.Seconds()
	return int(math.Ceil(mean + marginDeviations*math.Sqrt(mean)))
}

// Full reports whether a request may find a target's queue full that reported so many requests as
// running and waiting, if ahead more of them arrive before it. Such a request may get no response
// at all, and whether it was executed can't be known then.
//
// It answers a load above what a service can run: entries send to the same targets between two
// reports, and the queues of those that had a free slot are filled up to their ends.
func (q *Queue) Full(now time.Duration, running, waiting, slots, ahead int) bool {
	n := q.Length(now)
	return n > 0 && running+waiting+ahead-slots >= n
}
