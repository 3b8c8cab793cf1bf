package pimentogate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// A retry that is refused because of a planned stop isn't sent, so it doesn't use up the
// retry allowance.
func TestStopKeepsRetryAllowance(t *testing.T) {
	is := is.New(t)
	g := fleetGate(0, 30)
	c := &call{req: new(fasthttp.Request), received: time.Now(), done: make(chan struct{}), table: g.table.Load(), sends: 1}
	c.setRoute(c.table.Config.Routes[0])
	c.service = c.table.Config.Services["s"]
	past := time.Now().Add(-time.Second)
	g.cutoff.Store(&past)
	is.Equal(g.sendWithRetries(c).reason, reasonStopping)
	is.True(g.spendRetry(c)) // The one that an entry has at its start.
}

// An entry that stops comes after all others of its region, so that it leaves reading the
// platform to them.
func TestStoppingEntryYieldsReading(t *testing.T) {
	is := is.New(t)
	first := fleetGate(0, 30)
	reader := fleetMember(1, 30)
	first.cluster.readings[reader.RunID] = reading{run: reader.RunID, number: 1, at: first.now()}
	at, precedingReads := first.position(first.now())
	is.Equal(at.RegionRank, 0)
	is.True(!precedingReads)
	first.cluster.members.Stop()
	at, precedingReads = first.position(first.now())
	is.Equal(at.RegionRank, len(first.cluster.members.RegionMembers(first.region)))
	is.True(precedingReads)
}
