package pimentoload

import "time"

// returnQueue knows the callers that were told to return, by priority, and that haven't been
// due yet: room goes to the most urgent first.
type returnQueue struct {
	at  time.Duration // Up to which room was taken off.
	due perPriority
}

// advance takes the room off that came since the last call. All are due once the rate isn't
// known any more: no request has waited since.
func (q *returnQueue) advance(now time.Duration, rate float64) {
	took := now - q.at
	q.at = now
	if rate <= 0 {
		q.due = perPriority{}
		return
	}
	room := rate * took.Seconds()
	for i := range q.due {
		taken := min(q.due[i], room)
		q.due[i] -= taken
		room -= taken
	}
}

// Return returns the time until there is room for the caller of a refused request when it
// returns, and reserves it: after the requests that wait, and the callers that return, with
// the same or a higher priority. elsewhere is the backlog at other entries, to any of which
// it may return: the time is longer or shorter as theirs compares with this one. It returns
// 0 while the rate at which room comes isn't known.
func (l *Line) Return(now time.Duration, priority int, elsewhere Backlog) time.Duration {
	own, _ := l.Backlog(now)
	if own.Rate <= 0 {
		return 0
	}
	p := priorityIndex(priority)
	urgent, others := 0.0, l.returns.due[p]+1
	for _, n := range l.returns.due[:p] {
		urgent += n
	}
	for _, c := range l.classes {
		switch {
		case c.priority < priority:
			urgent += float64(len(c.byAge))
		case c.priority == priority:
			others += float64(len(c.byAge))
		}
	}
	l.returns.due[p]++
	here := (own.Waiting + 1) / own.Rate
	fleet := (own.Waiting + 1 + elsewhere.Waiting) / (own.Rate + elsewhere.Rate)
	return time.Duration(fleet / here * float64(l.timeFor(now, priority, urgent, others)))
}

// Backlog is the number of requests to a service that wait at some entries or will return to
// them, and the number for which room comes in a second there.
type Backlog struct{ Waiting, Rate float64 }

// Backlog returns that of this line, and the age of its rate. Without a rate, it is empty.
func (l *Line) Backlog(now time.Duration) (Backlog, time.Duration) {
	rate := l.room.Rate(now, 0)
	l.returns.advance(now, rate)
	if rate <= 0 {
		return Backlog{}, 0
	}
	return Backlog{Waiting: float64(l.length) + l.returns.due.from(0), Rate: rate}, l.room.age(now)
}
