package pimentotarget

import (
	"testing"
	"time"
)

var scenarios = []scenario{
	{name: "steady 70%", utilisation: 0.7, duration: 6 * time.Second},
	{name: "steady 90%", utilisation: 0.9, duration: 6 * time.Second},
	{name: "burst x3", utilisation: 0.5, duration: 6 * time.Second, burst: true},
	{name: "one slow", utilisation: 0.7, duration: 6 * time.Second, slowTarget: true},
	{name: "domain out", utilisation: 0.6, duration: 6 * time.Second, domainOut: true},
	{name: "cold fifth", utilisation: 0.6, duration: 6 * time.Second, restart: true},
}

const modelEntries = 16

var baselineNames = []string{"random", "round robin", "two choices", "least own"}

func report(t *testing.T, sc scenario, name string, m *model) {
	t.Logf("%-11s %-14s p50 %6s  p99 %6s  p99.9 %6s  timed out %5d  cold overload %2d  attempts/request %.3f",
		sc.name, name, ms(m.quantile(0.5)), ms(m.quantile(0.99)), ms(m.quantile(0.999)), m.timedOut, m.coldOverload,
		float64(m.attempts)/float64(len(m.latencies)+m.timedOut))
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// TestPolicies compares the policy of this package, "own" in the log, with the
// baselines, with equal seeds. Its p99.9 latency must not exceed that of the best
// baseline, or half of it if a target is slow. Nor may it exceed 1.25 times the p99.9
// latency of the same policy with one entry that serves all requests, "central".
func TestPolicies(t *testing.T) {
	for _, sc := range scenarios {
		best := time.Duration(1 << 62)
		for _, name := range baselineNames {
			m := runScenario(sc, modelEntries, 1, baselines[name])
			report(t, sc, name, m)
			best = min(best, m.quantile(0.999))
		}
		m := runScenario(sc, modelEntries, 1, newTablePolicy(policyOptions{}))
		report(t, sc, "own", m)
		report(t, sc, "own, no hedge", runScenario(sc, modelEntries, 1, newTablePolicy(policyOptions{noHedge: true})))
		central := runScenario(sc, 1, 1, newTablePolicy(policyOptions{}))
		report(t, sc, "own, central", central)
		if got := m.quantile(0.999); got > best {
			t.Errorf("%s: p99.9 %s is above the best baseline's %s", sc.name, ms(got), ms(best))
		} else if sc.slowTarget && got > best/2 {
			t.Errorf("%s: p99.9 %s is above half of the best baseline's %s", sc.name, ms(got), ms(best))
		}
		if got, limit := m.quantile(0.999), central.quantile(0.999)*5/4; got > limit {
			t.Errorf("%s: p99.9 %s is above 1.25 times the central entry's %s", sc.name, ms(got), ms(central.quantile(0.999)))
		}
	}
}
