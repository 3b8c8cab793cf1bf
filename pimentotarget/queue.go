package pimentotarget

import (
	"time"

	"pimentoarch/pimentoregister"
)

// Request is a request that needs a target. The caller sets the exported fields
// other than Target and Sent before Offer, and must not change them until Next has
// returned the request or Cancel has removed it.
type Request struct {
	// Class decides the position in the queue.
	Class pimentoregister.Class
	// Arrived is when the request arrived.
	Arrived time.Duration
	// Deadline is the time from which the request isn't sent any more.
	Deadline time.Duration
	// Regions limits the targets to these regions. Empty means any.
	Regions []pimentoregister.RegionName
	// Avoid lists targets that must not be chosen, because the request was sent to
	// them before.
	Avoid []*Target
	// Target is the chosen target, set by Next and BindNow.
	Target *Target
	// Sent is the time at which Target was chosen, set by Next and BindNow. It counts
	// as the beginning of the exchange, see Table.Done.
	Sent time.Duration
	// Ready is for the caller's use. The Table ignores it.
	Ready chan struct{}

	queued bool
}

// bulkDelay is added to the arrival time of bulk requests when the queue is sorted,
// so that they come after others that arrived less than bulkDelay later.
const bulkDelay = 200 * time.Millisecond

// sortKey returns the time by which the queue is sorted.
func (r *Request) sortKey() time.Duration {
	if r.Class == pimentoregister.ClassBulk {
		return r.Arrived + bulkDelay
	}
	return r.Arrived
}

// queue holds waiting requests, sorted by sortKey. Within a class sort keys rise
// with time, so that insertions are at or near the end.
type queue struct {
	items []*Request
}

func (q *queue) push(r *Request) {
	i := len(q.items)
	for i > 0 && q.items[i-1].sortKey() > r.sortKey() {
		i--
	}
	q.items = append(q.items, nil)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = r
	r.queued = true
}

// remove takes the request at index i out of the queue and returns it.
func (q *queue) remove(i int) *Request {
	r := q.items[i]
	copy(q.items[i:], q.items[i+1:])
	q.items[len(q.items)-1] = nil
	q.items = q.items[:len(q.items)-1]
	r.queued = false
	return r
}

// index returns the index of a request, or -1 if it isn't in the queue.
func (q *queue) index(r *Request) int {
	for i, item := range q.items {
		if item == r {
			return i
		}
	}
	return -1
}
