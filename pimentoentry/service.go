package pimentoentry

import (
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

// service is the state of one service.
type service struct {
	name pimentoregister.ServiceName

	mu     sync.Mutex // Guards the fields below.
	table  pimentotarget.Table
	budget pimentoretry.Budget
	delay  pimentoretry.Delay
	view   *pimentoregister.ServiceView

	waiting atomic.Int32
}

// newService returns the state of a service that has become known.
func (e *Entry) newService(name pimentoregister.ServiceName) *service {
	return &service{
		name: name,
		table: pimentotarget.Table{
			Self:      e.settings.Name,
			Place:     pimentotarget.Place{Region: e.settings.Region, Domain: e.settings.Domain},
			MaxQueue:  e.settings.MaxQueue,
			OwnerWait: millis(e.settings.MaxListLag) + pimentoplatform.MaxPause,
		},
	}
}

// requestPool are reused, because each call that waits needs one.
var requestPool = sync.Pool{New: func() any {
	return &pimentotarget.Request{Ready: make(chan struct{}, 1)}
}}

// assignTargets hands waiting requests their targets. It is called with s.mu held.
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

// pollQueue hands out targets that have become usable with time, and reports
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

// acquireTarget waits for a target. It returns nil when r has one, and otherwise why not.
func (e *Entry) acquireTarget(c *call, r *pimentotarget.Request) *refusal {
	s := c.service
	s.mu.Lock()
	if !s.table.Serves(r.Regions) {
		s.mu.Unlock()
		return refuse(ReasonTargets, RunNo, "service "+string(s.name)+" has no usable target")
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

// ownerCheckInterval is the time after which a waiting request looks for another entry
// that may send to a target.
const ownerCheckInterval = 100 * time.Millisecond

// ownerChanged is returned for a request that waits in vain here, since another
// entry has become the owner of the cold targets that it may go to.
var ownerChanged = refuse(ReasonTargets, RunNo, "another entry warms up the targets of the service")

// awaitTarget waits until the queue gives the request back, or the caller has gone.
func (e *Entry) awaitTarget(c *call, r *pimentotarget.Request) *refusal {
	e.signalQueued()
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	help := time.NewTicker(ownerCheckInterval)
	defer help.Stop()
	for {
		select {
		case <-r.Ready:
			return nil
		case <-c.ctx.Done():
			return e.cancelRequest(c, r, refuse(ReasonGone, RunNo, "the caller has gone"))
		case <-timer.C:
			return e.cancelRequest(c, r, refuse(ReasonDeadline, RunNo, "the deadline passed while the request waited for a target"))
		case <-help.C:
			if e.mustForward(c) {
				return e.cancelRequest(c, r, ownerChangedFor(c))
			}
		}
	}
}

// mustForward reports whether only another entry may send the request.
func (e *Entry) mustForward(c *call) bool {
	owner, must, ok := e.coldOwner(c)
	return ok && must && e.peers.find(owner) != nil
}

// ownerChangedFor returns handOver, or a refusal to the entry that has handed the
// request over to this one, which finds the new owner by itself.
func ownerChangedFor(c *call) *refusal {
	if c.purpose == pimentolink.PurposeCold || c.purpose == pimentolink.PurposeRelay {
		return refuse(ReasonTargets, RunNo, ownerChanged.detail)
	}
	return ownerChanged
}

// cancelRequest takes a request out of the queue. If it has just got a target, the
// target is given back.
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

// recordResult takes the end of an exchange with a target.
func (e *Entry) recordResult(s *service, tg *pimentotarget.Target, sent time.Duration, res pimentotarget.Result, boot uint64) {
	now := e.now()
	s.mu.Lock()
	s.table.Done(now, tg, sent, res, boot)
	if res == pimentotarget.ResultOK {
		s.delay.Add(now - sent)
	}
	changes := s.targetChanges()
	s.assignTargets(now)
	s.mu.Unlock()
	e.publishChanges(changes)
}

// targetChanges returns the news about targets. It is called with s.mu held.
func (s *service) targetChanges() []pimentopeer.Change {
	var list []pimentopeer.Change
	for _, tg := range s.table.Changed() {
		list = append(list, pimentopeer.Change{Service: s.name, Target: tg.Name, Mark: tg.Mark})
	}
	return list
}

// coldOwner returns the entry to which a request should be handed because that
// entry warms up a target, and whether it must be because this entry may send
// to no target.
func (e *Entry) coldOwner(c *call) (owner pimentotarget.EntryName, must, ok bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, must, ok = s.table.Helper(e.now(), c.homeRegions)
	return owner, must, ok && owner != e.settings.Name
}

// bootHash hashes the value of the service's boot header.
func bootHash(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}
