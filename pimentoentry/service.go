package pimentoentry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// service is the state of one service: its targets, its queue and its retry
// budget.
type service struct {
	name pimentoregister.ServiceName

	mu     sync.Mutex // Guards the fields below.
	table  pimentotarget.Table
	budget pimentoretry.Budget
	delay  pimentoretry.HedgeDelay
	info   *pimentoregister.ServiceView

	waiting atomic.Int32 // Length of the queue, readable without mu.
}

// newService returns the state of a service that a configuration has added.
func (e *Entry) newService(name pimentoregister.ServiceName) *service {
	return &service{
		name: name,
		table: pimentotarget.Table{
			Self:      e.settings.Name,
			Location:  pimentotarget.Location{Region: e.settings.Region, Domain: e.settings.Domain},
			MaxQueue:  e.settings.MaxQueue,
			OwnerWait: millis(e.settings.MaxListLag) + pimentoplatform.MaxPause,
		},
	}
}

// requestPool holds requests for reuse, because each call that waits for a target needs
// one.
var requestPool = sync.Pool{New: func() any {
	return &pimentotarget.Request{Ready: make(chan struct{}, 1)}
}}

// assignTargets wakes the waiting requests that now have a target or have passed
// their deadlines. The caller holds s.mu.
func (s *service) assignTargets(now time.Duration) {
	for {
		r := s.table.Next(now)
		if r == nil {
			break
		}
		r.Ready <- struct{}{}
	}
	s.waiting.Store(int32(s.table.Waiting()))
}

// pollQueue assigns targets that have become usable as time passed, and reports
// whether requests still wait.
func (s *service) pollQueue(now time.Duration) bool {
	if s.waiting.Load() == 0 {
		return false
	}
	s.mu.Lock()
	s.assignTargets(now)
	s.mu.Unlock()
	return s.waiting.Load() > 0
}

// acquireTarget waits until r has a target. It returns a refusal with the reason
// if it gets none.
func (e *Entry) acquireTarget(c *call, r *pimentotarget.Request) *refusal {
	s := c.service
	s.mu.Lock()
	if !s.table.HasUsable(r.Regions) {
		s.mu.Unlock()
		return refuse(ReasonTargets, RunNo, "service "+string(s.name)+" has no usable target")
	}
	if left, paused := s.table.AllPaused(e.now(), r.Regions); paused {
		s.mu.Unlock()
		return refusePaused(s.name, left)
	}
	if !s.table.Offer(r) {
		s.mu.Unlock()
		return refuse(ReasonQueue, RunNo, "too many requests wait for service "+string(s.name))
	}
	s.assignTargets(e.now())
	s.mu.Unlock()
	select {
	case <-r.Ready:
	default:
		if f := e.awaitTarget(c, r); f != nil {
			return f
		}
	}
	if r.Target == nil {
		return refuse(ReasonDeadline, RunNo, "the deadline passed while the request waited for a target")
	}
	return nil
}

// pauseSpread is the time over which callers return after the pause of all targets of a
// service.
const pauseSpread = 300 * time.Millisecond

// allPaused does the same as Table.AllPaused for the targets of a request.
func (s *service) allPaused(now time.Duration, r *pimentotarget.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.AllPaused(now, r.Regions)
}

// refusePaused refuses a request to a service all of whose targets are paused. left is the
// time until the first one returns.
func refusePaused(name pimentoregister.ServiceName, left time.Duration) *refusal {
	f := refuse(ReasonPaused, RunNo, "all targets of service "+string(name)+" have asked for a pause")
	f.retryAfter = left + time.Duration(rand.Float64()*float64(pauseSpread))
	return f
}

// ownerCheckInterval is the time between two checks whether a waiting request must
// be forwarded to another entry that may send to a target.
const ownerCheckInterval = 100 * time.Millisecond

// ownerChanged is returned for a waiting request that can't get a target at this
// entry, because another entry has become the owner of the cold targets. Functions
// that get it compare the pointer and forward the request.
var ownerChanged = refuse(ReasonTargets, RunNo, "another entry warms up the targets of the service")

// awaitTarget waits until the queue returns the request. The request leaves the
// queue without a target if its deadline passes, its caller disconnects, all targets have
// asked for a pause or only another entry may send it.
func (e *Entry) awaitTarget(c *call, r *pimentotarget.Request) *refusal {
	e.signalQueued()
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Ready:
			return nil
		case <-c.ctx.Done():
			return e.cancelRequest(c, r, refuse(ReasonGone, RunNo, "the caller has gone"))
		case <-timer.C:
			return e.cancelRequest(c, r, refuse(ReasonDeadline, RunNo, "the deadline passed while the request waited for a target"))
		case <-ticker.C:
			if e.mustForward(c) {
				return e.cancelRequest(c, r, ownerChangedFor(c))
			}
			if left, paused := c.service.allPaused(e.now(), r); paused {
				return e.cancelRequest(c, r, refusePaused(c.service.name, left))
			}
		}
	}
}

// mustForward reports whether only another entry may send the request.
func (e *Entry) mustForward(c *call) bool {
	owner, must, ok := e.coldOwner(c)
	return ok && must && e.peers.find(owner) != nil
}

// ownerChangedFor returns ownerChanged, or an equal refusal if another entry has
// forwarded the request to this one: that entry finds the new owner itself.
func ownerChangedFor(c *call) *refusal {
	if c.purpose == pimentolink.PurposeColdTarget || c.purpose == pimentolink.PurposeRelay {
		return refuse(ReasonTargets, RunNo, ownerChanged.detail)
	}
	return ownerChanged
}

// cancelRequest removes a request from the queue and returns f. If the request has
// got a target meanwhile, the target's slot is released.
func (e *Entry) cancelRequest(c *call, r *pimentotarget.Request, f *refusal) *refusal {
	s := c.service
	s.mu.Lock()
	cancelled := s.table.Cancel(r)
	s.mu.Unlock()
	if cancelled {
		return f
	}
	<-r.Ready
	if r.Target != nil {
		e.recordResult(s, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
	}
	return f
}

// recordResult records the end of an exchange with a target. bootID is the hash of
// the response's boot header, or 0 if it is unknown.
func (e *Entry) recordResult(s *service, tg *pimentotarget.Target, sent time.Duration, res pimentotarget.Result, bootID uint64) {
	now := e.now()
	s.mu.Lock()
	s.table.Done(now, tg, sent, res, bootID)
	if res == pimentotarget.ResultOK {
		s.delay.Add(now - sent)
	}
	changes := s.changes()
	s.assignTargets(now)
	s.mu.Unlock()
	e.publishChanges(changes)
}

// changes returns the changed phases of targets, for peers. The caller holds s.mu.
func (s *service) changes() []pimentopeer.Change {
	var list []pimentopeer.Change
	for _, tg := range s.table.Changed() {
		list = append(list, pimentopeer.Change{Service: s.name, Target: tg.Name, Phase: tg.Phase})
	}
	return list
}

// coldOwner returns the entry to which a request should be forwarded because that
// entry warms up a cold target. must is set if this entry may send to no target,
// so that the request has to be forwarded. ok is false if it shouldn't be forwarded.
func (e *Entry) coldOwner(c *call) (owner pimentotarget.EntryName, must, ok bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, must, ok = s.table.WarmupOwner(e.now(), c.homeRegions)
	return owner, must, ok && owner != e.settings.Name
}

// bootHash hashes the value of the service's boot header. It returns 0 only for an
// empty value.
func bootHash(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}
