package pimentolink

import (
	"fmt"
	"testing"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// BenchmarkHeartbeat measures encoding and decoding one heartbeat by the number of
// changes in it, and reports its size in bytes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{0, 8, 64, 256} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			hb := pimentopeer.Heartbeat{Name: "entry-bizkaia-a-17", Incarnation: 7, Revision: 300_000, HeldIssuers: []pimentokey.Incarnation{1, 2}}
			for i := range n {
				hb.Changes = append(hb.Changes, pimentopeer.Change{
					Service: pimentoregister.ServiceName(fmt.Sprintf("service-%03d", i%210)),
					Target:  pimentoregister.VMName(fmt.Sprintf("service-%03d-vm-%02d", i%210, i%13)),
					Phase:   pimentotarget.VersionedPhase{Epoch: 300, Value: pimentotarget.PhaseWarm},
				})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				msg := marshalHeartbeat(&hb)
				size = len(msg)
				if _, err := unmarshalHeartbeat(msg); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "message-bytes")
		})
	}
}
