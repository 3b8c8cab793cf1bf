package pimentotarget

import (
	"testing"
	"time"
)

var loads = []load{
	{name: "steady 70%", use: 0.7, time: 6 * time.Second},
	{name: "steady 90%", use: 0.9, time: 6 * time.Second},
	{name: "burst x3", use: 0.5, time: 6 * time.Second, burst: true},
	{name: "one slow", use: 0.7, time: 6 * time.Second, slow: true},
	{name: "domain out", use: 0.6, time: 6 * time.Second, domain: true},
	{name: "cold fifth", use: 0.6, time: 6 * time.Second, restart: true},
}

const modelEntries = 16

var orderedBaselines = []string{"random", "round robin", "two choices", "least own"}

func report(t *testing.T, l load, name string, m *model) {
	t.Logf("%-11s %-14s p50 %6s  p99 %6s  p99.9 %6s  refused %5d  cold overload %2d  attempts/request %.3f",
		l.name, name, ms(m.quantile(0.5)), ms(m.quantile(0.99)), ms(m.quantile(0.999)), m.refused, m.coldOver,
		float64(m.attempts)/float64(len(m.latencies)+m.refused))
}

func ms(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// TestPolicies compares the policy with the baselines, with equal seeds.
func TestPolicies(t *testing.T) {
	for _, l := range loads {
		best := time.Duration(1 << 62)
		for _, name := range orderedBaselines {
			m := run(l, modelEntries, 1, baselines[name])
			report(t, l, name, m)
			best = min(best, m.quantile(0.999))
		}
		m := run(l, modelEntries, 1, own(rules{}))
		report(t, l, "own", m)
		report(t, l, "own, no hedge", run(l, modelEntries, 1, own(rules{noHedge: true})))
		central := run(l, 1, 1, own(rules{}))
		report(t, l, "own, central", central)
		if got := m.quantile(0.999); got > best {
			t.Errorf("%s: p99.9 %s is above the best baseline's %s", l.name, ms(got), ms(best))
		} else if l.slow && got > best/2 {
			t.Errorf("%s: p99.9 %s is above half of the best baseline's %s", l.name, ms(got), ms(best))
		}
		if got, limit := m.quantile(0.999), central.quantile(0.999)*5/4; got > limit {
			t.Errorf("%s: p99.9 %s is above 1.25 of the central chooser's %s", l.name, ms(got), ms(central.quantile(0.999)))
		}
	}
}
