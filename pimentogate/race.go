package pimentogate

import (
	"time"

	"pimentoarch/pimentoroute"
)

// race is a send of a request and its hedge, of which the first response counts. It owns
// the sends until one of them is its result, and the candidate of a hedge until that is
// sent.
type race struct {
	gate    *Gate
	call    *call
	first   *candidate
	started time.Time
	ended   chan *send
	hedges  chan *candidate // Receives the result of a search, nil if it found no target.
	sends   []*send         // All that were launched.
	// running is the number of sends that haven't been received from ended.
	running int
	// searching is set while a second target is searched for.
	searching bool
	result    *send
	watch     *watch
	stopWatch func() // Cleans up after watch.
}

// maxSendsAtOnce is the number of sends of a race: the first one and its hedge.
const maxSendsAtOnce = 2

// newRace returns a race, and its cleanup function. That cancels what still runs and gives
// back what isn't needed, without waiting for it.
func (g *Gate) newRace(c *call, first *candidate) (*race, func()) {
	r := &race{
		gate: g, call: c, first: first, started: time.Now(),
		ended:  make(chan *send, maxSendsAtOnce),
		hedges: make(chan *candidate, 1),
		result: &send{candidate: first, outcome: outcomeIncomplete}, // Until it is known.
	}
	r.watch, r.stopWatch = newWatch(c.route.Objective)
	return r, r.cleanUp
}

// sendHedged sends a request to a target, and hedges it to a second one if the
// first is expected to take too long. It returns the send whose outcome counts.
func (g *Gate) sendHedged(c *call, first *candidate) *send {
	r, cleanup := g.newRace(c, first)
	defer cleanup()
	r.launch(first)
	r.result = r.run()
	return r.result
}

// launch sends the request to a target in the background.
func (r *race) launch(cand *candidate) {
	c := r.call
	r.running++
	c.sends++
	c.tried = append(c.tried, cand.target.ID)
	c.lastCandidate, c.lastSentAt = cand, time.Now()
	s := r.gate.newSend(c, cand)
	s.quota = c.quota.Swap(nil)
	r.sends = append(r.sends, s)
	r.gate.addWatched(c, r.watch, s)
	go func() {
		r.gate.runSend(c, s)
		r.ended <- s
		s.dropBody(c)
	}()
}

// run waits for the send whose outcome counts.
func (r *race) run() *send {
	c := r.call
	hedgeTimer := time.NewTimer(time.Duration(hedgeCheckFraction * float64(r.first.expected)))
	defer hedgeTimer.Stop()
	deadline := time.NewTimer(time.Until(c.deadline) - answerMargin)
	defer deadline.Stop()
	defer r.stopWatch()
	for {
		select {
		case s := <-r.ended:
			r.running--
			delete(r.watch.sends, s)
			r.gate.recordOutcome(c, s)
			r.gate.clearSuspicion(c, s)
			if s.outcome == outcomeResponse || r.running == 0 {
				return s
			}
			s.close()
		case <-hedgeTimer.C:
			if r.gate.mayHedge(c) {
				r.search()
			}
		case <-r.watch.timer.C:
			r.watch.check(r.gate, c)
		case report := <-r.watch.reports:
			r.gate.suspect(c, r.watch, report)
			if r.watch.isGone(report, r.gate.mayHedge(c) && r.gate.hasRetry(c)) {
				r.gate.dropSilent(c, report.send)
				delete(r.watch.sends, report.send)
			}
		case cand := <-r.hedges:
			r.searching = false
			if r.gate.approveHedge(c, r.first, cand, time.Since(r.started)) {
				r.launch(cand)
				continue
			}
			cand.releaseIfAny()
			hedgeTimer.Reset(hedgeCheckInterval)
		case <-deadline.C:
			if left := time.Until(r.gate.answerBy(c)); left > 0 {
				deadline.Reset(left)
				continue
			}
			return r.giveUp(outcomeTimeout)
		case <-r.gate.cutoffReached:
			return r.giveUp(outcomeTimeout)
		case <-c.done:
			return r.giveUp(outcomeCallerGone)
		}
	}
}

// search searches for a second target in the background.
func (r *race) search() {
	r.searching = true
	tried := append([]pimentoroute.TargetID(nil), r.call.tried...)
	go func() { r.hedges <- r.gate.findHedgeTarget(r.call, r.first, time.Since(r.started), tried) }()
}

// giveUp returns a send with the given outcome in place of those that still run.
func (r *race) giveUp(o outcome) *send {
	if r.running > 0 {
		r.call.mayHaveRun = true
	}
	return &send{candidate: r.first, outcome: o}
}

// cleanUp implements the cleanup function of newRace.
func (r *race) cleanUp() {
	if r.searching {
		go func() { (<-r.hedges).releaseIfAny() }()
	}
	if r.running == 0 {
		return
	}
	for _, s := range r.sends {
		if s != r.result && !r.awaitEnd(s) {
			s.exchange.Cancel() // Also if it still waits for its connection.
		}
	}
	go func() {
		for range r.running {
			s := <-r.ended
			r.gate.sendEnded(s.candidate.target)
			r.gate.countCancelled(s)
			unanswered := s.outcome == outcomeTimeout && s.sawLong
			if r.gate.checkCancelled(r.call, s, r.result.outcome) && unanswered {
				r.gate.recordSilence(r.call, s, silenceDeadline)
			}
			s.close()
		}
	}()
}
