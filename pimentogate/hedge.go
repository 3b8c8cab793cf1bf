package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoroute"
)

const (
	// hedgeCheckShare is the part of the expected time after which the target of a
	// running request is asked again, and lookAgain the time between two looks.
	hedgeCheckShare    = 1.0
	hedgeCheckInterval = 50 * time.Millisecond
	// lateFactor is how many times longer than expected an answer takes before
	// its target no longer counts as working on it.
	lateFactor = 1.6
	// minRemainingShare is the part of the expected time that a request that is about
	// to end may still take.
	minRemainingShare = 0.25
	// hedgeGainShare is the part of what the first target still takes within which a
	// second one must answer to be worth its work.
	hedgeGainShare = 0.7
)

// findHedgeTarget looks after a request that has run for a while, and returns another
// target if that one will answer sooner and in time, or nil.
func (g *Gate) findHedgeTarget(c *call, first *candidate, ran time.Duration, tried []pimentoroute.TargetID) *candidate {
	left := g.estimateRemaining(c, first, ran)
	if left <= g.idleScore(c, first.target) {
		return nil
	}
	p, _ := g.probeNearest(c, tried)
	if p == nil {
		return nil
	}
	elapsed := time.Since(c.received)
	inTime := elapsed+p.expected < c.route.Objective || elapsed > c.route.Objective
	if !inTime || p.expected > time.Duration(hedgeGainShare*float64(left)) {
		p.release()
		return nil
	}
	return p
}

// mayHedge reports whether a second target may get a request while the first
// one has it.
func (g *Gate) mayHedge(c *call) bool {
	return c.retryable() && c.sends < c.route.Attempts && !c.callerGone()
}

// approveHedge decides whether a second target that would answer sooner gets the
// request too, and writes what that was decided from.
func (g *Gate) approveHedge(c *call, first, second *candidate, ran time.Duration) bool {
	if second == nil || !g.mayHedge(c) {
		return false
	}
	if !g.spendRetry(c) {
		g.metrics.count("pimento_hedges_denied_total")
		return false
	}
	g.metrics.countRetry("hedge")
	g.logLine(level.InfoValue(), "msg", "request hedged", "id", c.id, "target", first.target.ID, "ran_ms", ran.Milliseconds(),
		"expected_ms", first.expected.Milliseconds(), "second", second.target.ID, "second_ms", second.expected.Milliseconds(),
		"report_age_ms", time.Since(second.reportedAt).Milliseconds())
	return true
}

// estimateRemaining estimates how much longer a target takes for a request that has run
// for a while. It asks the target how it is now.
func (g *Gate) estimateRemaining(c *call, first *candidate, ran time.Duration) time.Duration {
	never := max(c.route.Objective, time.Until(c.deadline))
	if ran > time.Duration(lateFactor*float64(first.expected)) {
		return never
	}
	p := g.probeTarget(c, first.target)
	defer p.release()
	if p.err != nil {
		return never
	}
	left := max(first.expected-ran, time.Duration(minRemainingShare*float64(first.expected)))
	return left * time.Duration(max(100, p.report.Slowdown)) / time.Duration(max(100, first.report.Slowdown))
}
