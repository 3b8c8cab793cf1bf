package pimentogate

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoroute"
)

// serve answers one request.
func (g *Gate) serve(c *call) *answer {
	a := g.answer(c)
	took := time.Since(c.received)
	status := a.resp.StatusCode()
	if c.service != nil && a.why == reasonNone {
		g.metrics.served(c.part(), took)
	}
	g.noteServed(c, a, status, took)
	return a
}

// noteServed writes the line about a request that has ended: what was decided,
// and what it was decided from.
func (g *Gate) noteServed(c *call, a *answer, status int, took time.Duration) {
	severity := level.InfoValue()
	if a.why != reasonNone || status >= 500 {
		severity = level.WarnValue()
	}
	fields := []any{"msg", "request ended", "id", c.id, "from", c.from, "status", status}
	if a.why != reasonNone {
		fields = append(fields, "reason", a.why, "ran", ranWord(c.mayRan))
	}
	if c.lastWhy != reasonNone {
		fields = append(fields, "last", c.lastWhy)
	}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
	}
	if c.service != nil {
		fields = append(fields, "service", c.part(), "config", c.table.Config.Version)
	}
	fields = append(fields, "sends", c.sends, "ms", took.Milliseconds())
	g.note(severity, append(fields, c.decided()...)...)
}

// decided returns what the last choice of a target was made from.
func (c *call) decided() []any {
	p := c.last
	if p == nil {
		return nil
	}
	return []any{"target", p.target.ID, "domain", p.target.Domain, "expected_ms", p.expected.Milliseconds(),
		"stretch", p.report.Slowdown, "running", p.report.Running, "waiting", p.report.Waiting,
		"report_age_ms", c.lastAt.Sub(p.at).Milliseconds(), "cold", p.cold}
}

func ranWord(mayRan bool) string {
	if mayRan {
		return "unknown"
	}
	return "no"
}

// answer routes a request and sends it on.
func (g *Gate) answer(c *call) *answer {
	t := g.firstTable(c)
	if t == nil {
		return g.refusal(c, reasonUnconfigured, comeBackStart)
	}
	c.table = t
	path := string(c.req.Header.RequestURI())
	if !strings.HasPrefix(path, "/") {
		a := g.refusal(c, reasonInvalid, 0)
		a.closes = true
		return a
	}
	route := t.Match(string(c.req.Header.Host()), path)
	if route == nil {
		return g.refusal(c, reasonRoute, 0)
	}
	c.setRoute(route)
	part := g.flow.part(route)
	if part == nil {
		return g.refusal(c, reasonTargets, comeBackSoon)
	}
	c.service = t.Config.Services[part.Service]
	if !g.mayTry(c) {
		return g.refusal(c, reasonCrash, 0)
	}
	g.first(c)
	return g.attempts(c)
}

// startWait is the time for which a request waits for the first configuration
// of an entry that has just started.
const startWait = 200 * time.Millisecond

// firstTable returns the table in force. An entry that has just started waits a
// little for its first one, which takes callers less time than coming back. It
// returns nil if there is none.
func (g *Gate) firstTable(c *call) *pimentoroute.Table {
	if t := g.table.Load(); t != nil && t.Config != nil {
		return t
	}
	select {
	case <-g.configured:
		return g.table.Load()
	case <-c.left:
	case <-time.After(startWait):
	}
	return nil
}

// comeBackStart is when a caller may come back to an entry that has just
// started.
const comeBackStart = 150 * time.Millisecond
