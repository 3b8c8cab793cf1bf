package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoroute"
)

const (
	// hedgeCheckFraction is the fraction of the expected time after which a running
	// request is first checked for a hedge, and hedgeCheckInterval the time between
	// later checks.
	hedgeCheckFraction = 1.0
	hedgeCheckInterval = 50 * time.Millisecond
	// lateFactor times the expected time is the time after which a target no longer
	// counts as working on a request.
	lateFactor = 1.6
	// minRemainingFraction is the fraction of the expected time that a running request is
	// assumed to take at least from now on.
	minRemainingFraction = 0.25
	// hedgeGainFraction is the fraction of the first target's remaining time within which
	// a second one must respond to be worth the extra work.
	hedgeGainFraction = 0.7
)

// findHedgeTarget returns a second target for a request that has run for a while if
// it is expected to respond sooner, and within the objective unless that has passed
// already. Otherwise it returns nil.
func (g *Gate) findHedgeTarget(c *call, first *candidate, ran time.Duration, tried []pimentoroute.TargetID) *candidate {
	left := g.estimateRemaining(c, first, ran)
	if left <= g.idleScore(c, first.target) {
		return nil
	}
	cand, _ := g.probeNearest(c, tried)
	if cand == nil {
		return nil
	}
	elapsed := time.Since(c.received)
	inTime := elapsed+cand.expected < c.route.Objective || elapsed > c.route.Objective
	if !inTime || cand.full || cand.expected > time.Duration(hedgeGainFraction*float64(left)) {
		cand.release()
		return nil
	}
	return cand
}

// mayHedge reports whether the request may be sent to a second target while the
// first one has it.
func (g *Gate) mayHedge(c *call) bool {
	return c.retryable() && c.sends < c.route.Attempts && !c.isAbandoned()
}

// approveHedge reports whether the request is also sent to the second target. It
// spends a retry for that, and logs what the decision is based on.
func (g *Gate) approveHedge(c *call, first, second *candidate, ran time.Duration) bool {
	if second == nil || !g.mayHedge(c) || g.checkRules(c, second.target) != reasonNone {
		return false
	}
	if v := g.takeQuota(c); v == pimentoquota.Wait || v == pimentoquota.Denied {
		g.metrics.count("pimento_hedges_denied_total")
		return false
	}
	if !g.spendRetry(c) {
		g.dropQuota(c)
		g.metrics.count("pimento_hedges_denied_total")
		return false
	}
	g.metrics.countRetry("hedge")
	g.logLine(level.InfoValue(), "msg", "request hedged", "id", c.id, "target", first.target.ID, "ran_ms", ran.Milliseconds(),
		"expected_ms", first.expected.Milliseconds(), "second", second.target.ID, "second_ms", second.expected.Milliseconds(),
		"report_age_ms", time.Since(second.reportedAt).Milliseconds())
	return true
}

// estimateRemaining estimates how much longer a target takes for a request that has
// run for a while. It probes the target for its present slowdown. For a target that
// is late or doesn't reply, it returns no less than the time until the deadline.
func (g *Gate) estimateRemaining(c *call, first *candidate, ran time.Duration) time.Duration {
	never := max(c.route.Objective, time.Until(c.deadline))
	if ran > time.Duration(lateFactor*float64(first.expected)) {
		return never
	}
	cand := g.probeTarget(c, first.target)
	defer cand.release()
	if cand.err != nil {
		return never
	}
	left := max(first.expected-ran, time.Duration(minRemainingFraction*float64(first.expected)))
	return left * time.Duration(max(100, cand.report.Slowdown)) / time.Duration(max(100, first.report.Slowdown))
}
