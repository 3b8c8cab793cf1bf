package pimentogate

import (
	"testing"
)

// What an entry does at intervals, and for each message of an entry that has nothing new,
// allocates the same in a fleet of any size.
func TestIdleCostIsFlat(t *testing.T) {
	// maxAllocs bounds the allocations of one exchange and one tick together.
	const maxAllocs = 20
	for _, n := range fleetSizes {
		g := fleetGate(n/2, n)
		g.cluster.members.Resume(g.now())
		ps := &peerSync{gate: g, peerHash: g.membersHash()}
		allocs := testing.AllocsPerRun(50, func() {
			if !ps.syncOnce(g.handleSync) {
				t.Fatal("the exchange failed")
			}
			g.updateMembership()
			g.syncInputs()
			g.decideReading()
		})
		if allocs > maxAllocs {
			t.Errorf("%d entries: %.0f allocations, the limit is %d", n, allocs, maxAllocs)
		}
	}
}
