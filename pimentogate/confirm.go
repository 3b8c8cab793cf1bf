package pimentogate

import (
	"errors"
	"syscall"
	"time"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
)

// bodyEnd is what is known about the end of a response's body.
type bodyEnd uint8

const (
	endFramed    bodyEnd = iota // The response states its end, or has no body.
	endConfirmed                // The target was alive after the end.
	endGone                     // The target was gone, or another one was at its address.
	endUnknown                  // Neither was known in time.
)

// String returns the name in logs and metrics.
func (e bodyEnd) String() string { return [...]string{"framed", "confirmed", "gone", "unknown"}[e] }

var (
	errTargetGone = errors.New("the body has no length, and the target was gone at its end")
	errUnknownEnd = errors.New("the body has no length, and the target didn't reply after its end")
)

const (
	// confirmTimeout bounds the time for which the target of a body without a length is
	// probed. It must be less than the time in which a target starts again under its id.
	confirmTimeout = 500 * time.Millisecond
	// confirmRetryPause is the pause before another probe after one without a result.
	confirmRetryPause = 20 * time.Millisecond
	// confirmInterval is the time between two confirmations of one target. Bodies that end
	// meanwhile share the next one.
	confirmInterval = freshReportAge
	// maxProbeDebt bounds the confirmations for which ordinary probes are left out later.
	maxProbeDebt = 256
)

// confirmation is a probe that confirms the bodies that ended before it was sent.
type confirmation struct {
	done chan struct{} // Closed when the probe has ended.
	end  bodyEnd
}

// confirmBody confirms a body that extends to the close of its connection. Such a
// response only counts as complete if the same target replies to a probe that was sent
// afterwards, since the connections of a killed process are closed in the same way.
func (g *Gate) confirmBody(c *call, s *send) {
	forwarded := s.outcome == outcomeResponse || s.outcome == outcomeFailed
	if !forwarded || s.exchange.Framing != pimentohttp.FramingClose {
		return
	}
	s.end = g.awaitConfirmation(c, s.candidate.target)
	g.metrics.countEnd(s.end)
	switch s.end {
	case endConfirmed:
		return
	case endGone:
		s.err = errTargetGone
	default:
		s.err = errUnknownEnd
	}
	s.outcome = classifyError(c, s)
}

// awaitConfirmation waits for the next confirmation of a target.
func (g *Gate) awaitConfirmation(c *call, tg *pimentoroute.Target) bodyEnd {
	next := g.nextConfirmation(c, tg)
	deadline := time.NewTimer(time.Until(c.deadline))
	defer deadline.Stop()
	select {
	case <-next.done:
		return next.end
	case <-deadline.C:
	case <-c.done:
	}
	return endUnknown
}

// nextConfirmation returns the next confirmation of a target that isn't sent yet.
func (g *Gate) nextConfirmation(c *call, tg *pimentoroute.Target) *confirmation {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.target(tg.ID)
	if s.nextConfirmation == nil {
		s.nextConfirmation = &confirmation{done: make(chan struct{})}
	}
	if !s.confirming {
		s.confirming = true
		go g.runConfirmations(c, tg, s)
	}
	return s.nextConfirmation
}

// runConfirmations sends the confirmations of a target, one at a time, until none is
// waited for.
func (g *Gate) runConfirmations(c *call, tg *pimentoroute.Target, s *targetState) {
	ts := &g.traffic
	for {
		ts.mu.Lock()
		next := s.nextConfirmation
		s.nextConfirmation = nil
		s.confirming = next != nil
		ts.mu.Unlock()
		if next == nil {
			return
		}
		next.end = g.confirmAlive(c, tg)
		close(next.done)
		time.Sleep(confirmInterval)
	}
}

// confirmAlive probes a target until it is known whether the target is alive.
func (g *Gate) confirmAlive(c *call, tg *pimentoroute.Target) bodyEnd {
	for limit := time.Now().Add(confirmTimeout); time.Now().Before(limit); time.Sleep(confirmRetryPause) {
		if !g.admitsProbes(tg) {
			continue // A paused target isn't probed.
		}
		g.chargeProbe()
		cand := &candidate{target: tg}
		g.sendProbe(c.service, cand, true)
		cand.release()
		switch {
		case cand.report.Target == tg.ID:
			return endConfirmed
		case cand.report.Target != "", errors.Is(cand.err, syscall.ECONNREFUSED):
			return endGone
		}
	}
	return endUnknown
}

// chargeProbe takes a probe that can't be left out from this entry's share. Without any
// left, ordinary ones are left out later.
func (g *Gate) chargeProbe() {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if !g.spendProbe() {
		ts.probeDebt = min(ts.probeDebt+1, maxProbeDebt)
	}
}

// payProbeDebt pays for earlier confirmations, and reports whether none is left to pay. It
// is called with trafficStats.mu held.
func (g *Gate) payProbeDebt() bool {
	ts := &g.traffic
	for ts.probeDebt > 0 && ts.probes.Spend(g.now()) {
		ts.probeDebt--
	}
	return ts.probeDebt == 0
}
