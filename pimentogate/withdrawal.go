package pimentogate

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// errWithdrawn is the error of a send or probe that wasn't made, because its target has
// said since it was chosen that it wants none.
var errWithdrawn = errors.New("the target wants no requests now")

// setRun records which run of a target is published. The target may be nil.
func (ts *trafficStats) setRun(tg *pimentoroute.Target) {
	if tg == nil || tg.Run == 0 {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.target(tg.ID).withdrawal.SetRun(tg.Run)
}

// admission returns whether a target may get requests now. It is called with
// trafficStats.mu held.
func (g *Gate) admission(s *targetState) pimentotarget.Admission {
	return s.withdrawal.Admission(g.now(), time.Duration(g.settings.Drain))
}

// admitsProbes reports whether a target may be probed.
func (g *Gate) admitsProbes(tg *pimentoroute.Target) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return g.admission(ts.target(tg.ID)) != pimentotarget.AdmitPaused
}

// recordSendNotice records what the response to a request says about new requests. One
// without the request's ID isn't proven to be to this request, but a pause that it asks for
// is the target's wish all the same.
func (g *Gate) recordSendNotice(c *call, tg *pimentoroute.Target, resp *fasthttp.Response) {
	switch {
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest:
	case g.echoesID(c, resp):
		g.recordNotice(tg, c.id, resp, g.dialect.ParseNotice(resp))
	case len(resp.Header.Peek(g.dialect.RequestID)) == 0:
		g.recordNotice(tg, c.id, resp, g.dialect.ParseNotice(resp).pauseOnly())
	}
}

// recordNotice records what a target's response says about new requests. id is that of
// the request, "" for a probe.
func (g *Gate) recordNotice(tg *pimentoroute.Target, id string, resp *fasthttp.Response, n Notice) {
	if n.InvalidPause != "" {
		g.metrics.count("pimento_pauses_ignored_total")
		g.logLine(level.WarnValue(), "msg", "invalid pause ignored", "id", id, "target", tg.ID, "value", n.InvalidPause)
	}
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	now := g.now()
	ts := &g.traffic
	ts.mu.Lock()
	s := ts.target(tg.ID)
	leaves := n.Leaving && s.withdrawal.Leave(now)
	pauses := n.Pause > 0 && s.withdrawal.Pause(now, n.Pause)
	left := s.withdrawal.PauseLeft(now)
	ts.mu.Unlock()
	if n.Leaving {
		g.client.CloseIdleTo(tg.Address)
	}
	if leaves {
		g.metrics.count("pimento_target_leaves_total")
		g.logChange("msg", "target is leaving", "id", id, "target", tg.ID, "status", resp.StatusCode())
	}
	if pauses {
		g.metrics.count("pimento_target_pauses_total")
		g.logChange("msg", "target paused", "id", id, "target", tg.ID, "asked", n.Pause, "for", left, "cut", n.Pause > pimentotarget.MaxPause)
		time.AfterFunc(left, func() { g.logReturn(tg) })
	}
}

// recordSkipped counts a response of a target that belongs to another request, and logs
// what it says about new requests, which isn't applied.
func (g *Gate) recordSkipped(tg *pimentoroute.Target, id string, resp *fasthttp.Response) {
	n := g.dialect.ParseNotice(resp)
	if !n.Leaving && n.Pause <= 0 {
		return
	}
	g.metrics.count("pimento_notices_skipped_total")
	g.logLine(level.WarnValue(), "msg", "notice in a skipped response", "id", id, "target", tg.ID, "status", resp.StatusCode(),
		"leaving", n.Leaving, "pause", n.Pause)
}

// countCancelled counts a send that was cancelled after it was written, so that what its
// target may have said in a response is unknown.
func (g *Gate) countCancelled(s *send) {
	if s.err != nil && s.exchange.Sent() {
		g.metrics.count("pimento_sends_cancelled_total")
	}
}

// logReturn logs that a target's pause has ended, unless it was extended.
func (g *Gate) logReturn(tg *pimentoroute.Target) {
	ts := &g.traffic
	ts.mu.Lock()
	left := ts.target(tg.ID).withdrawal.PauseLeft(g.now())
	ts.mu.Unlock()
	if left > 0 {
		time.AfterFunc(left, func() { g.logReturn(tg) })
		return
	}
	g.logChange("msg", "target's pause has ended", "target", tg.ID)
}

// isLeaving reports whether a target has said that it is leaving.
func (g *Gate) isLeaving(tg *pimentoroute.Target) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	_, leaving := ts.target(tg.ID).withdrawal.LeavingFor(g.now())
	return leaving
}

// beginSend counts a send to a target as in flight, which sendEnded ends. It reports
// false if the target wants no requests any more, so that the send isn't made.
func (g *Gate) beginSend(tg *pimentoroute.Target) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t := ts.target(tg.ID)
	t.inFlight++
	if a := g.admission(t); a == pimentotarget.AdmitPaused || a == pimentotarget.AdmitNone {
		return false
	}
	t.sentSinceReport++
	return true
}

// countPassedOver counts a target that was left out of a choice.
func (g *Gate) countPassedOver(a pimentotarget.Admission) {
	if a == pimentotarget.AdmitPaused {
		g.metrics.count(`pimento_targets_passed_over_total{reason="paused"}`)
		return
	}
	g.metrics.count(`pimento_targets_passed_over_total{reason="leaving"}`)
}

// pauseSpread is the time over which callers return after the pause of all targets of a
// service, for each level of priority.
const pauseSpread = 300 * time.Millisecond

// returnAfterPause returns after what time a request may be tried again: when the first of
// its targets returns from a pause, later for lower priorities. It returns false if no
// target is paused.
func (g *Gate) returnAfterPause(c *call) (time.Duration, bool) {
	now, first, paused := g.now(), time.Duration(0), false
	h := g.newestHomes(c)
	ts := &g.traffic
	ts.mu.Lock()
	for _, tg := range g.serviceTargets(c) {
		left := ts.target(tg.ID).withdrawal.PauseLeft(now)
		if left > 0 && (!paused || left < first) && h.allows(tg.Region) {
			first, paused = left, true
		}
	}
	ts.mu.Unlock()
	return first + time.Duration(max(0, c.priority()))*pauseSpread + randomUpTo(pauseSpread), paused
}
