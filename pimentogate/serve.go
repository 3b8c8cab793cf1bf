package pimentogate

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoroute"
)

// serveRequest answers one request.
func (g *Gate) serveRequest(c *call) *response {
	a := g.handle(c)
	took := time.Since(c.received)
	status := a.resp.StatusCode()
	if c.service != nil && a.reason == reasonNone {
		g.metrics.observeRequest(c.serviceName(), took)
	}
	g.logServed(c, a, status, took)
	return a
}

// logServed writes the line about a request that has ended: what was decided,
// and what it was decided from.
func (g *Gate) logServed(c *call, a *response, status int, took time.Duration) {
	severity := level.InfoValue()
	if a.reason != reasonNone || status >= 500 {
		severity = level.WarnValue()
	}
	fields := []any{"msg", "request ended", "id", c.id, "from", c.callerIP, "status", status}
	if a.reason != reasonNone {
		fields = append(fields, "reason", a.reason, "ran", ranValue(c.mayHaveRun))
	}
	if c.retryReason != reasonNone {
		fields = append(fields, "last", c.retryReason)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
	}
	if c.service != nil {
		fields = append(fields, "service", c.serviceName(), "config", c.table.Config.Version)
	}
	fields = append(fields, "sends", c.sends, "ms", took.Milliseconds())
	g.logLine(severity, append(fields, c.candidateFields()...)...)
}

// candidateFields returns what the last choice of a target was made from.
func (c *call) candidateFields() []any {
	p := c.lastCandidate
	if p == nil {
		return nil
	}
	return []any{"target", p.target.ID, "domain", p.target.Domain, "expected_ms", p.expected.Milliseconds(),
		"stretch", p.report.Slowdown, "running", p.report.Running, "waiting", p.report.Waiting,
		"report_age_ms", c.lastSentAt.Sub(p.reportedAt).Milliseconds(), "cold", p.cold}
}

func ranValue(mayRan bool) string {
	if mayRan {
		return "unknown"
	}
	return "no"
}

// handle routes a request and sends it on.
func (g *Gate) handle(c *call) *response {
	t := g.awaitTable(c)
	if t == nil {
		return g.refusal(c, reasonUnconfigured, retryAfterStart)
	}
	c.table = t
	path := string(c.req.Header.RequestURI())
	if !strings.HasPrefix(path, "/") {
		a := g.refusal(c, reasonInvalid, 0)
		a.closeConn = true
		return a
	}
	route := t.Match(string(c.req.Header.Host()), path)
	if route == nil {
		return g.refusal(c, reasonRoute, 0)
	}
	c.setRoute(route)
	part := g.traffic.nextSplitService(route)
	if part == nil {
		return g.refusal(c, reasonTargets, retryAfterBusy)
	}
	c.service = t.Config.Services[part.Service]
	if !g.passesQuarantine(c) {
		return g.refusal(c, reasonCrash, 0)
	}
	g.countRequest(c)
	return g.sendWithRetries(c)
}

// configWait is the time for which a request waits for the first configuration
// of an entry that has just started.
const configWait = 200 * time.Millisecond

// awaitTable returns the table in force. An entry that has just started waits a
// little for its first one, which takes callers less time than coming back. It
// returns nil if there is none.
func (g *Gate) awaitTable(c *call) *pimentoroute.Table {
	if t := g.table.Load(); t != nil && t.Config != nil {
		return t
	}
	select {
	case <-g.configured:
		return g.table.Load()
	case <-c.callerLeft:
	case <-time.After(configWait):
	}
	return nil
}

// retryAfterStart is when a caller may come back to an entry that has just
// started.
const retryAfterStart = 150 * time.Millisecond
