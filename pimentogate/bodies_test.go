package pimentogate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// newUploadCall returns a call with a large body, on a gate that knows the rate of its link.
func newUploadCall(g *Gate, size int) *call {
	c, _ := newRaceCall(g, 0)
	g.settings.LinkMbps = 10
	g.bodies.link.Rate = g.settings.linkRate()
	c.route.Kind = pimentoroute.KindUpload
	c.req.SetBodyRaw(make([]byte, size))
	return c
}

// A large body whose turn on the link comes after its request's time is refused at once and takes no
// turn. One whose turn comes in time waits for it.
func TestBodyWithoutTurnIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cleanup := pipeGate(t, nil)
		defer cleanup()
		const size = 100_000 // 100 ms at the share of the link.
		late, timely := newUploadCall(g, size), newUploadCall(g, size)
		late.deadline, timely.deadline = time.Now().Add(time.Second), time.Now().Add(2*time.Second)
		g.bodies.link.Send(g.now(), 15*size)
		began := time.Now()
		resp := g.sendWithRetries(late)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(resp.reason, reasonLink)
		is.Equal(resp.http.StatusCode(), fasthttp.StatusServiceUnavailable)
		is.Equal(g.paceBody(timely), reasonNone)
		is.Equal(time.Since(began), 1500*time.Millisecond)
	})
}

// A body above the limit isn't refused because of the link, with a time to return after: it is never
// taken.
func TestTooLargeBodyIsNotAskedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, cleanup := pipeGate(t, nil)
		defer cleanup()
		c := newUploadCall(g, 0)
		c.deadline = time.Now().Add(100 * time.Millisecond)
		const limit = 1 << 20
		c.table.Config.Limits.BodyBytes = limit
		c.req.Header.SetContentLength(limit)
		is.Equal(g.refuseBody(c).reason, reasonLink)
		c.req.Header.SetContentLength(limit + 1)
		is.True(g.refuseBody(c) == nil)
	})
}
