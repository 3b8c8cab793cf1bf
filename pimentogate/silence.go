package pimentogate

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoload"
)

const (
	// answerMargin is how long before its caller gives up a request to a service whose targets
	// are silent when full is responded to, so that the caller still gets the response: its
	// time has begun before the connection was opened, and the response takes a way as well.
	answerMargin = 50 * time.Millisecond
	// fullCost is added to the score of a target that may not queue another request, so that
	// any other target comes first.
	fullCost = time.Minute
)

// isFull reports whether a target may be full when a request arrives there, and silent then.
// It is called with trafficStats.mu held.
func (g *Gate) isFull(c *call, cand *candidate, service *serviceStats, sent int) bool {
	r := &cand.report
	if r.Slots == 0 {
		return false
	}
	q := &service.queue
	q.Report(r.Running, r.Slots)
	now := g.now()
	if q.Length(now) == 0 {
		return false
	}
	age := time.Since(cand.reportedAt) + pimentoload.Delivery(len(c.req.Body()), g.roundTrip(cand.target))
	targets := len(g.table.Load().Targets[cand.target.Service])
	return q.Full(now, r.Running, r.Waiting, r.Slots, sent+q.Margin(now, age, int(g.clusterSize.Load()), targets))
}

// isSilent reports whether targets of the request's service were lately seen silent while full.
func (g *Gate) isSilent(c *call) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.service(c.serviceName()).queue.Silent(g.now())
}

// answerBy returns the time at which a request that was sent is responded to at the latest. For a
// service whose targets are silent when full, that is early enough for its caller to get the response.
func (g *Gate) answerBy(c *call) time.Time {
	if c.callerDeadline.IsZero() || !g.isSilent(c) {
		return c.deadline
	}
	if early := c.callerDeadline.Add(-answerMargin); early.Before(c.deadline) {
		return early
	}
	return c.deadline
}

// targetTime returns the time that a target may take for a request. Where targets are silent when
// full, the target's statement that its time has passed there arrives before the response is due.
func (g *Gate) targetTime(c *call, cand *candidate) time.Duration {
	left := time.Until(g.answerBy(c))
	if g.isSilent(c) {
		left -= g.roundTrip(cand.target)
	}
	return max(time.Millisecond, left)
}

// mayBeSilent reports whether a target's queue is so long that it may not take another request.
func (cand *candidate) mayBeSilent() bool {
	r := &cand.report
	return pimentoload.IsLong(r.Running, r.Waiting, r.Slots)
}

// watch follows the sends of a race to targets with long queues, by reports that the targets
// make beside them.
type watch struct {
	sends   map[*send]*pimentoload.Overdue
	timer   *time.Timer
	reports chan *watchReport // Receives the results of checks, nil for one without a report.
	// suspected is set when the watch has shown that targets may be silent when full.
	suspected bool
}

// watchReport is a report on the target of a send.
type watchReport struct {
	send *send
	// asked and arrived are the ages of the send when the report was asked for and arrived.
	asked, arrived time.Duration
	report         LoadReport
}

// newWatch returns a watch over no sends, and its cleanup function.
func newWatch(objective time.Duration) (*watch, func()) {
	w := &watch{
		sends:   make(map[*send]*pimentoload.Overdue),
		timer:   time.NewTimer(pimentoload.FirstCheck(objective)),
		reports: make(chan *watchReport, maxSendsAtOnce),
	}
	return w, func() { w.timer.Stop() }
}

// addWatched adds a send to the watch, unless the targets of its service refuse requests when full
// or don't report their load.
func (g *Gate) addWatched(c *call, w *watch, s *send) {
	s.longest = s.candidate.report.Waiting
	s.sawLong = s.candidate.mayBeSilent()
	ts := &g.traffic
	ts.mu.Lock()
	refuses := ts.service(c.serviceName()).fullQueue > 0
	ts.mu.Unlock()
	if !refuses && s.candidate.report.Slots > 0 {
		w.sends[s] = &pimentoload.Overdue{RoundTrip: g.roundTrip(s.candidate.target), Usual: g.usualWork(c)}
	}
}

// check asks the targets for reports in the background. Without any, nothing is checked again
// until a send is added.
func (w *watch) check(g *Gate, c *call) {
	if len(w.sends) > 0 || g.mayHedge(c) {
		w.timer.Reset(pimentoload.NextCheck(c.route.Objective))
	}
	if len(w.reports) > 0 {
		return // The last check hasn't been looked at.
	}
	for s, o := range w.sends {
		if !o.Overdue(time.Since(s.started), s.candidate.expected) || !g.mayBeLost(c, s) {
			continue
		}
		if s.deliveredBy == 0 {
			if !s.exchange.Delivered() {
				continue
			}
			s.deliveredBy = time.Since(s.started)
		}
		delivered := s.deliveredBy
		go func() {
			r := g.askBeside(c, s, delivered)
			select {
			case w.reports <- r:
			default: // The race is over, or slow.
			}
		}()
	}
}

// mayBeLost reports whether a send may have found its target full, so that asking the target is worth
// a probe: targets of the service were seen silent, or a report that was made anyway, for the choice
// of the target or for other requests since, shows a long queue.
func (g *Gate) mayBeLost(c *call, s *send) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if tg := ts.target(s.candidate.target.ID); tg.hasReport && !g.startedAt.Add(tg.reportedAt).Before(s.started) {
		s.longest = max(s.longest, tg.report.Waiting)
		s.sawLong = s.sawLong || pimentoload.IsLong(tg.report.Running, tg.report.Waiting, tg.report.Slots)
	}
	return s.sawLong || ts.service(c.serviceName()).queue.Silent(g.now())
}

// askBeside asks the target of a send for a report. It returns nil if there is none that was asked
// for after the target had received the whole request: one from before may have been made before.
func (g *Gate) askBeside(c *call, s *send, delivered time.Duration) *watchReport {
	cand := g.probeTarget(c, s.candidate.target)
	defer cand.release()
	asked := cand.askedAt.Sub(s.started)
	if cand.err != nil || cand.report.Slots == 0 || asked < delivered {
		return nil
	}
	return &watchReport{send: s, asked: asked, arrived: time.Since(s.started), report: cand.report}
}

// suspect records that targets may be silent when full, if the response to a send is long overdue
// and no target of the service has ever refused a request because its queue was full.
func (g *Gate) suspect(c *call, w *watch, r *watchReport) {
	if r == nil || w.suspected || w.sends[r.send] == nil {
		return
	}
	s := r.send
	s.longest = max(s.longest, r.report.Waiting)
	s.sawLong = s.sawLong || pimentoload.IsLong(r.report.Running, r.report.Waiting, r.report.Slots)
	ts := &g.traffic
	ts.mu.Lock()
	service := ts.service(c.serviceName())
	w.suspected = s.sawLong && service.fullQueue == 0 && pimentoload.Suspects(r.arrived, s.candidate.expected, c.route.Objective)
	known := service.queue.Silent(g.now())
	ts.mu.Unlock()
	if w.suspected && !known {
		g.recordSilence(c, r.send, silenceOverdue)
	}
}

// isGone records the result of a check, and reports whether no response will come to its send. Without
// another attempt, a response that is only improbable is awaited.
func (w *watch) isGone(r *watchReport, canRetry bool) bool {
	if r == nil || w.sends[r.send] == nil {
		return false
	}
	o := w.sends[r.send]
	o.Certain = !canRetry
	o.Observe(r.asked, r.arrived, r.report.Running, r.report.Waiting, r.report.Slowdown)
	return r.send.sawLong && o.Gone(time.Since(r.send.started))
}

// dropSilent ends a send to which no response will come. Its connection is closed. A response
// of which a part has arrived counts: a target runs nothing while its long response is under way.
func (g *Gate) dropSilent(c *call, s *send) {
	s.silent.Store(true)
	if !s.exchange.CancelUnanswered() {
		s.silent.Store(false)
		return
	}
	g.recordSilence(c, s, silenceGone)
}

// silenceSign is how the silence of a target showed, as in logs and metrics.
type silenceSign string

const (
	silenceOverdue  silenceSign = "overdue"  // A response is long overdue; it may still come.
	silenceGone     silenceSign = "gone"     // The target runs and queues nothing.
	silenceDeadline silenceSign = "deadline" // Not even the deadline was answered.
)

// recordSilence records that a target didn't respond to a request that came while its queue was
// long.
func (g *Gate) recordSilence(c *call, s *send, how silenceSign) {
	ts := &g.traffic
	ts.mu.Lock()
	q := &ts.service(c.serviceName()).queue
	if s.suspected = how == silenceOverdue; s.suspected {
		q.Suspect(g.now(), s.longest)
	} else {
		q.SawSilent(g.now(), s.longest)
	}
	length := q.Length(g.now())
	ts.mu.Unlock()
	if !s.suspected {
		g.cluster.notifyPeers()
	}
	g.metrics.count(fmt.Sprintf(`pimento_silent_sends_total{how=%q}`, string(how)))
	g.logLine(level.WarnValue(), "msg", "target silent while its queue was long", "id", c.id, "service", c.serviceName(),
		"target", s.candidate.target.ID, "how", how, "waiting", s.longest, "learned", length, "ms", time.Since(s.started).Milliseconds())
}

// clearSuspicion records that a send to a target that was suspected to be silent has got a response.
func (g *Gate) clearSuspicion(c *call, s *send) {
	if !s.suspected || s.outcome != outcomeResponse && s.outcome != outcomeFailed && s.outcome != outcomeNotExecuted {
		return
	}
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.service(c.serviceName()).queue.Answered()
}

// awaitEnd leaves a send whose deadline has passed open for responseSlack, if its target may be
// silent: a target that has the request responds at its deadline, and one that never took it
// doesn't. It reports false if the send is to be cancelled at once.
func (r *race) awaitEnd(s *send) bool {
	c := r.call
	if r.result.outcome != outcomeTimeout || time.Now().Before(r.gate.answerBy(c)) || !s.sawLong || c.isAbandoned() {
		return false
	}
	c.removeExchange(s.exchange)
	return true
}
