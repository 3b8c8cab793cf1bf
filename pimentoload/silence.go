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
	// longest is the most requests that a target reported as waiting. A full target reports the
	// length of its queue.
	longest     int
	seen        bool
	silentUntil time.Duration
	arrivals    float64 // Recent ones, each with a weight that falls with its age.
	countedAt   time.Duration
}

// IsLong reports whether a target's queue may have been full when a request arrived.
func IsLong(running, waiting, slots int) bool {
	return slots > 0 && running >= slots && waiting >= minFullQueue*slots
}

// Report records the number of waiting requests that a target reported.
func (q *Queue) Report(waiting int) { q.longest = max(q.longest, waiting) }

// SawSilent records that a target with a long queue didn't respond to a request.
func (q *Queue) SawSilent(now time.Duration) { q.seen, q.silentUntil = true, now+silenceMemory }

// Silent reports whether targets were lately seen silent while full.
func (q *Queue) Silent(now time.Duration) bool { return q.seen && now < q.silentUntil }

// Age returns the time since targets were last seen silent.
func (q *Queue) Age(now time.Duration) time.Duration { return now - q.silentUntil + silenceMemory }

// Merge records what another entry has learned: the length of the queues and its age. It reports
// whether that is news: nothing was known, or less.
func (q *Queue) Merge(now time.Duration, length int, age time.Duration) (news bool) {
	until := now - age + silenceMemory
	if length <= 0 || until <= now {
		return false
	}
	news = !q.Silent(now) || length > q.longest
	if !q.seen || until > q.silentUntil {
		q.seen, q.silentUntil = true, until
	}
	q.longest = max(q.longest, length)
	return news
}

// Suspects reports whether a response is so long overdue that the request is likely to have found
// the queue full: it was as long as the longest one that was reported when the request was sent.
// It shows too little to give the request up, and enough to send no more requests to queues that
// long.
func (q *Queue) Suspects(waiting int, age, expected, objective time.Duration) bool {
	return waiting+1 >= q.longest && age > suspectFactor*expected && age > objective/suspectFactor
}

// Length returns the learned length of the queues, 0 if targets weren't seen silent.
func (q *Queue) Length(now time.Duration) int {
	if !q.Silent(now) {
		return 0
	}
	return q.longest
}

// Arrived counts a request for the service.
func (q *Queue) Arrived(now time.Duration) {
	q.arrivals = q.decayed(now) + 1
	q.countedAt = now
}

func (q *Queue) decayed(now time.Duration) float64 {
	return q.arrivals * math.Exp(-(now-q.countedAt).Seconds()/arrivalWindow.Seconds())
}

// Margin returns the number of requests that other entries may send to a target during age,
// if all of the entries get as many requests as this one and spread them evenly.
func (q *Queue) Margin(now, age time.Duration, entries, targets int) int {
	rate := q.decayed(now) / arrivalWindow.Seconds() * float64(max(0, entries-1)) / float64(max(1, targets))
	mean := rate * age.Seconds()
	return int(math.Ceil(mean + marginDeviations*math.Sqrt(mean)))
}

// Full reports whether a request may find a target's queue full that reported so many waiting
// requests, if ahead more of them arrive before it. Such a request may get no response at all,
// and whether it was executed can't be known then.
//
// It answers a load above what a service can run: entries send to the same targets between two
// reports, and each queue is filled up to its end.
func (q *Queue) Full(now time.Duration, waiting, ahead int) bool {
	n := q.Length(now)
	return n > 0 && waiting+ahead >= n
}
