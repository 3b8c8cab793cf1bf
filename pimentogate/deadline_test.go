package pimentogate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// A request whose targets report no load is refused by its deadline, also if that comes
// long before its latency objective.
func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 90 * time.Millisecond
		target := &pipeTarget{id: "i-0", probes: []behaviour{{Reply: replyNone}}, requests: []behaviour{{}}}
		g, cleanup := pipeGate(t, []*pipeTarget{target})
		defer cleanup()
		var req fasthttp.Request
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		c := newCall(&req, &g.dialect, "10.9.0.1", time.Now())
		c.table = g.table.Load()
		route := *c.table.Config.Routes[0]
		route.Timeout, route.Objective = timeout, time.Second
		c.setRoute(&route)
		c.service = c.table.Config.Services["s"]
		resp := g.sendWithRetries(c)
		if took := time.Since(c.received); took > timeout {
			t.Errorf("the response came after %v, the timeout is %v", took, timeout)
		}
		if resp.reason != reasonTimeout {
			t.Errorf("reason %q, want %q", resp.reason, reasonTimeout)
		}
		releaseResponse(resp)
		target.closeAll()
	})
}
