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
	delay  pimentoretry.HedgeDelay
	view   *pimentoregister.ServiceView

	waiting atomic.Int32
}

// newService returns the state of a service that has become known.
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

// requests are reused, because each call that waits needs one.
var requests = sync.Pool{New: func() any {
	return &pimentotarget.Request{Ready: make(chan struct{}, 1)}
}}

// pump hands waiting requests their targets. It is called with s.mu held.
func (s *service) pump(now time.Duration) {
	for {
		r := s.table.Next(now)
		if r == nil {
			break
		}
		r.Ready <- struct{}{}
	}
	s.waiting.Store(int32(s.table.Waiting()))
}

// poll hands out targets that have become usable with time, and reports
// whether requests still wait.
func (s *service) poll(now time.Duration) bool {
	if s.waiting.Load() == 0 {
		return false
	}
	s.mu.Lock()
	s.pump(now)
	s.mu.Unlock()
	return s.waiting.Load() > 0
}

// bind waits for a target. It returns nil when r has one, and otherwise why not.
func (e *Entry) bind(c *call, r *pimentotarget.Request) *refusal {
	s := c.service
	s.mu.Lock()
	if !s.table.HasUsable(r.Regions) {
		s.mu.Unlock()
		return refuse(ReasonTargets, RunNo, "service "+string(s.name)+" has no usable target")
	}
	if !s.table.Offer(r) {
		s.mu.Unlock()
		return refuse(ReasonQueue, RunNo, "too many requests wait for service "+string(s.name))
	}
	s.pump(e.now())
	s.mu.Unlock()
	select {
	case <-r.Ready:
	default:
		if f := e.await(c, r); f != nil {
			return f
		}
	}
	if r.Target == nil {
		return refuse(ReasonDeadline, RunNo, "the deadline passed while the request waited for a target")
	}
	return nil
}

// helpPause is the time after which a waiting request looks for another entry
// that may send to a target.
const helpPause = 100 * time.Millisecond

// handOver is returned for a request that waits in vain here, since another
// entry has become the owner of the cold targets that it may go to.
var handOver = refuse(ReasonTargets, RunNo, "another entry warms up the targets of the service")

// await waits until the queue gives the request back, or the caller has gone.
func (e *Entry) await(c *call, r *pimentotarget.Request) *refusal {
	e.noteQueued()
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	help := time.NewTicker(helpPause)
	defer help.Stop()
	for {
		select {
		case <-r.Ready:
			return nil
		case <-c.ctx.Done():
			return e.withdraw(c, r, refuse(ReasonGone, RunNo, "the caller has gone"))
		case <-timer.C:
			return e.withdraw(c, r, refuse(ReasonDeadline, RunNo, "the deadline passed while the request waited for a target"))
		case <-help.C:
			if e.mustHandOver(c) {
				return e.withdraw(c, r, notHere(c))
			}
		}
	}
}

// mustHandOver reports whether only another entry may send the request.
func (e *Entry) mustHandOver(c *call) bool {
	owner, must, ok := e.helper(c)
	return ok && must && e.peers.find(owner) != nil
}

// notHere returns handOver, or a refusal to the entry that has handed the
// request over to this one, which finds the new owner by itself.
func notHere(c *call) *refusal {
	if c.purpose == pimentolink.PurposeColdTarget || c.purpose == pimentolink.PurposeRelay {
		return refuse(ReasonTargets, RunNo, handOver.detail)
	}
	return handOver
}

// withdraw takes a request out of the queue. If it has just got a target, the
// target is given back.
func (e *Entry) withdraw(c *call, r *pimentotarget.Request, f *refusal) *refusal {
	s := c.service
	s.mu.Lock()
	cancelled := s.table.Cancel(r)
	s.mu.Unlock()
	if cancelled {
		return f
	}
	<-r.Ready
	if r.Target != nil {
		e.done(s, r.Target, r.Sent, pimentotarget.ResultCancelled, 0)
	}
	return f
}

// done takes the end of an exchange with a target.
func (e *Entry) done(s *service, tg *pimentotarget.Target, sent time.Duration, res pimentotarget.Result, boot uint64) {
	now := e.now()
	s.mu.Lock()
	s.table.Done(now, tg, sent, res, boot)
	if res == pimentotarget.ResultOK {
		s.delay.Add(now - sent)
	}
	changes := s.changes()
	s.pump(now)
	s.mu.Unlock()
	e.publish(changes)
}

// changes returns the news about targets. It is called with s.mu held.
func (s *service) changes() []pimentopeer.Change {
	var list []pimentopeer.Change
	for _, tg := range s.table.Changed() {
		list = append(list, pimentopeer.Change{Service: s.name, Target: tg.Name, Phase: tg.Phase})
	}
	return list
}

// helper returns the entry to which a request should be handed because that
// entry warms up a target, and whether it must be because this entry may send
// to no target.
func (e *Entry) helper(c *call) (owner pimentotarget.EntryName, must, ok bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, must, ok = s.table.WarmupOwner(e.now(), c.home)
	return owner, must, ok && owner != e.settings.Name
}

// bootMark hashes the value of the service's boot header.
func bootMark(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	return xxhash.Sum64(value) | 1
}
