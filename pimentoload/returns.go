package pimentoload

import "time"

// returnQueue knows the callers that were told to return, by priority, and that haven't been
// due yet: room goes to the most urgent first.
type returnQueue struct {
	at  time.Duration // Up to which room was taken off.
	due [returnPriorities]float64
}

// returnPriorities is the number of priorities that are told apart; lower ones count as the
// lowest.
const returnPriorities = 8

// advance takes the room off that came since the last call.
func (q *returnQueue) advance(now time.Duration, rate float64) {
	room := rate * (now - q.at).Seconds()
	q.at = now
	for i := range q.due {
		taken := min(q.due[i], room)
		q.due[i] -= taken
		room -= taken
	}
}

// Return returns the time until there is room for the caller of a refused request when it
// returns, and reserves it: after the requests that wait, and the callers that return, with
// the same or a higher priority. elsewhere is the backlog at other entries, with the room
// that comes there. It returns 0 while the rate at which room comes isn't known.
func (l *Line) Return(now time.Duration, priority int, elsewhere Backlog) time.Duration {
	rate := l.room.Rate(now)
	q := &l.returns
	q.advance(now, rate)
	if rate <= 0 {
		return 0
	}
	p := min(max(priority, 0), returnPriorities-1)
	before := 0.0
	for _, n := range q.due[:p+1] {
		before += n
	}
	q.due[p]++
	for _, c := range l.classes {
		if c.priority <= priority {
			before += float64(len(c.byAge))
		}
	}
	return time.Duration((before + 1 + elsewhere.Waiting) / (rate + elsewhere.Rate) * float64(time.Second))
}

// Backlog is the number of requests to a service that wait at some entries, and the number
// for which room comes in a second there.
type Backlog struct{ Waiting, Rate float64 }

// Backlog returns that of this line.
func (l *Line) Backlog(now time.Duration) Backlog {
	return Backlog{float64(l.length), l.room.Rate(now)}
}
