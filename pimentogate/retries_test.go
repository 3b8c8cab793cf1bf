package pimentogate

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// retryCall returns a request to the service of a fleetGate.
func retryCall(g *Gate) *call {
	c := &call{req: new(fasthttp.Request), received: time.Now(), done: make(chan struct{}), table: g.table.Load()}
	c.setRoute(c.table.Config.Routes[0])
	c.service = c.table.Config.Services["s"]
	return c
}

// The status and the metrics tell how many retries were spent and denied, and the share
// that they are computed from.
func TestRetryStatus(t *testing.T) {
	is := is.New(t)
	g := fleetGate(0, 30)
	g.settings.RetryBase = 80
	g.cluster.size.state(30)
	g.updateMembership()
	c := retryCall(g)
	is.True(g.spendRetry(c))
	g.returnRetry(c)
	for g.spendRetry(c) {
	}
	v := g.status()
	is.Equal(v.ShareEntries, int64(30))
	is.Equal(v.Run, fleetMember(0, 30).RunID)
	is.True(v.UpMillis >= time.Minute.Milliseconds())
	s := v.Retries["s"]
	is.Equal(s.Fixed, 2.0) // Three quarters of the limit, by 30 entries.
	is.Equal(s.Spent, uint64(1))
	is.Equal(s.Denied, uint64(1))
	is.True(s.Left < 1)
	var w bytes.Buffer
	g.metrics.write(&w)
	for _, line := range []string{`pimento_retries_spent{service="s"} 1`, `pimento_retries_denied{service="s"} 1`, `pimento_retries_fixed{service="s"} 2`} {
		is.True(strings.Contains(w.String(), line))
	}
}

// Entries of a fleet that is certainly small may send a retry before they know its size; of
// a large one, only some.
func TestAdvanceFraction(t *testing.T) {
	is := is.New(t)
	is.True(advanceFraction(64, 2) >= 1)
	is.True(advanceFraction(64, 24) >= 1)
	is.Equal(advanceFraction(200, 150), 0.5)
	is.True(advanceFraction(0, 150) >= 1) // No limit is set.
	for _, draw := range []float64{0.1, 0.9} {
		g := fleetGate(0, 30) // With 60 targets.
		g.settings.RetryBase = 80
		g.advanceDraw = draw
		is.Equal(g.spendRetry(retryCall(g)), draw < 0.5)
	}
}
