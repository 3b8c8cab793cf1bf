package pimentotarget

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Request is one request that needs a target. The caller sets the exported
// fields but Target before Offer, and must not change them until Next or
// Cancel has returned the request.
type Request struct {
	// Class selects the queue.
	Class pimentoregister.Class
	// Arrived is when the request came.
	Arrived time.Duration
	// Deadline is when the request is no longer worth sending.
	Deadline time.Duration
	// Regions limits the targets. Empty means any region.
	Regions []pimentoregister.RegionName
	// Avoid lists targets that must not be chosen, because they had the
	// request before.
	Avoid []*Target
	// Target is the chosen target, set by Next.
	Target *Target
	// Sent is the time of the choice, set by Next.
	Sent time.Duration
	// Ready is for the use of the caller.
	Ready chan struct{}

	queued bool
}

// bulkDelay is the time by which bulk requests are ordered behind others that
// arrived together with them.
const bulkDelay = 200 * time.Millisecond

// rank orders requests of different classes.
func (r *Request) rank() time.Duration {
	if r.Class == pimentoregister.ClassBulk {
		return r.Arrived + bulkDelay
	}
	return r.Arrived
}

// queue holds waiting requests in the order of their rank. Ranks rise with
// time within a class, so insertion is at or near the end.
type queue struct {
	items []*Request
}

func (q *queue) push(r *Request) {
	i := len(q.items)
	for i > 0 && q.items[i-1].rank() > r.rank() {
		i--
	}
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = r
	r.queued = true
}

func (q *queue) remove(i int) *Request {
	r := q.items[i]
	copy(q.items[i:], q.items[i+1:])
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
	r.queued = false
	return r
}

func (q *queue) index(r *Request) int {
	for i, item := range q.items {
		if item == r {
			return i
		}
	}
	return -1
}
