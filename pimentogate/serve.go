package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoroute"
)

// serveRequest handles one request, counts and logs it.
func (g *Gate) serveRequest(c *call) *response {
	defer c.dropBody()
	defer g.dropQuota(c)
	resp := g.handleSafely(c)
	took := time.Since(c.received)
	status := resp.http.StatusCode()
	if c.service != nil && resp.reason == reasonNone {
		g.metrics.observeRequest(c.serviceName(), took)
	}
	g.logServed(c, resp, status, took)
	return resp
}

// logServed logs a request that has ended: the result, and what the decisions were
// based on.
func (g *Gate) logServed(c *call, resp *response, status int, took time.Duration) {
	severity := level.InfoValue()
	if resp.reason != reasonNone || status >= 500 {
		severity = level.WarnValue()
	}
	fields := []any{"msg", "request ended", "id", c.id, "from", c.callerIP, "status", status}
	if resp.reason != reasonNone {
		fields = append(fields, "reason", resp.reason, "ran", ranValue(c.mayHaveRun))
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
	if c.sends > 0 {
		fields = append(fields, "waited_ms", c.lastSentAt.Sub(c.received).Milliseconds())
	}
	if c.lastSend != nil {
		fields = append(fields, c.lastSend.bodyFields()...)
		fields = append(fields, c.lastSend.homesFields()...)
		fields = append(fields, c.lastSend.itemsFields()...)
	}
	fields = append(fields, c.candidateFields()...)
	fields = append(fields, c.lineFields()...)
	if resp.reason == reasonBudget {
		fields = append(fields, g.retryFields(c)...)
	}
	if resp.reason.isVerdict() && c.service == nil {
		fields = append(fields, g.verdictFields(c)...)
	}
	g.logLine(severity, append(fields, c.rejectedFields()...)...)
}

// rejectedFields returns log fields with the best target that a refused request could have
// been sent to, and what spoke against it.
func (c *call) rejectedFields() []any {
	cand := c.rejected
	if cand == nil {
		return nil
	}
	return []any{"best", cand.target.ID, "best_domain", cand.target.Domain, "best_expected_ms", cand.expected.Milliseconds(),
		"best_stretch", cand.report.Slowdown, "best_running", cand.report.Running, "best_waiting", cand.report.Waiting,
		"room", cand.room, "urgent", c.urgent, "again", c.repeat}
}

// candidateFields returns log fields with the data that the last choice of a target
// was based on.
func (c *call) candidateFields() []any {
	cand := c.lastCandidate
	if cand == nil {
		return nil
	}
	return []any{"target", cand.target.ID, "domain", cand.target.Domain, "expected_ms", cand.expected.Milliseconds(),
		"stretch", cand.report.Slowdown, "running", cand.report.Running, "waiting", cand.report.Waiting,
		"report_age_ms", c.lastSentAt.Sub(cand.reportedAt).Milliseconds(), "cold", cand.cold}
}

func ranValue(mayHaveRun bool) string {
	if mayHaveRun {
		return "unknown"
	}
	return "no"
}

// refuseByRules sets the call's route and organisation, and returns the response to a request that
// the configuration doesn't allow or that can't be known to be allowed, or nil.
func (g *Gate) refuseByRules(c *call) *response {
	if why := g.findRoute(c); why != reasonNone {
		return g.refusal(c, why, retryAfterDoubt(why))
	}
	if why := g.identify(c); why != reasonNone {
		return g.refusal(c, why, retryAfterUnconfirmed)
	}
	if why := g.awaitCopy(c); why != reasonNone {
		return g.refusal(c, why, retryAfterUnconfirmed)
	}
	if g.table.Load().Config != c.table.Config {
		return g.refuseByRules(c) // What was waited for may have brought the newer one.
	}
	return nil
}

// handleOnce routes a request, checks it and sends it to a target.
func (g *Gate) handleOnce(c *call) *response {
	if resp := g.refuseByRules(c); resp != nil {
		return resp
	}
	if why := g.awaitQuota(c); why != reasonNone {
		return g.refuseQuota(c)
	}
	split := g.traffic.nextSplitService(c.route)
	if split == nil {
		return g.refusal(c, reasonTargets, retryAfterBusy)
	}
	c.service = c.table.Config.Services[split.Service]
	if !g.passesQuarantine(c) {
		return g.refusal(c, reasonCrash, 0)
	}
	g.countRequest(c)
	resp := g.sendWithRetries(c)
	g.traffic.recordEnd(c.serviceName(), resp.reason != reasonNone && !c.mayHaveRun)
	return resp
}

// configWait is the time for which a request waits for the first configuration of
// an entry that has just started.
const configWait = 200 * time.Millisecond

// awaitTable returns the active table. An entry that has just started waits a
// little for its first one, because refusing the request and having the caller retry
// would take longer. It returns nil if there is none.
func (g *Gate) awaitTable(c *call) *pimentoroute.Table {
	if t := g.table.Load(); t != nil && t.Config != nil {
		return t
	}
	select {
	case <-g.configured:
		return g.table.Load()
	case <-c.done:
	case <-time.After(configWait):
	}
	return nil
}

// retryAfterStart is the Retry-After time of an entry that has just started.
const retryAfterStart = 150 * time.Millisecond
