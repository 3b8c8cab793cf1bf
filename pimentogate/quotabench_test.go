package pimentogate

import (
	"fmt"
	"testing"
	"time"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
)

// quotaLedgers returns the ledgers of an entry and its hub, in a fleet of the given size, with
// organisations of which every twentieth is large.
func quotaLedgers(entries, organisations int) (child, hub *pimentoquota.Ledger) {
	limits := make(map[pimentoregister.OrganisationName]pimentoquota.Limit)
	for i := range organisations {
		l := pimentoquota.Limit{Rate: 5, Burst: 5}
		if i%20 == 0 {
			l = pimentoquota.Limit{Rate: 200, Burst: 60}
		}
		limits[pimentoregister.OrganisationName(fmt.Sprint("organisation-", i))] = l
	}
	bounds := pimentoquota.Bounds{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}
	child = &pimentoquota.Ledger{Bounds: bounds, Entries: entries, Run: 1}
	hub = &pimentoquota.Ledger{Bounds: bounds, Entries: entries, Run: 2, Hub: true}
	child.SetLimits(0, limits)
	hub.SetLimits(0, limits)
	return child, hub
}

// BenchmarkQuotaAsk measures one ask and its reply, encoded and decoded, with the bytes of
// both, by fleets and organisations.
func BenchmarkQuotaAsk(b *testing.B) {
	for _, size := range []struct{ entries, organisations int }{{123, 81}, {472, 81}, {1546, 81}, {123, 1000}} {
		b.Run(fmt.Sprint(size.entries, " entries, ", size.organisations, " organisations"), func(b *testing.B) {
			child, hub := quotaLedgers(size.entries, size.organisations)
			now, asked, replied := time.Duration(0), 0, 0
			for b.Loop() {
				now += quotaInterval
				ask := child.Ask(now, hub.Run)
				out := marshalQuotaAsk(&ask)
				received, err := unmarshalQuotaAsk(out)
				if err != nil {
					b.Fatal(err)
				}
				reply := hub.Serve(now, received)
				back := marshalQuotaReply(&reply)
				applied, err := unmarshalQuotaReply(back)
				if err != nil {
					b.Fatal(err)
				}
				child.Apply(now, now, applied)
				asked += len(out)
				replied += len(back)
			}
			b.ReportMetric(float64(asked)/float64(b.N), "B/ask")
			b.ReportMetric(float64(replied)/float64(b.N), "B/reply")
		})
	}
}
