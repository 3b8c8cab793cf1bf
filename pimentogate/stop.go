package pimentogate

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentohttp"
)

const (
	// balancerDelay is the time within which the balancer detects that an entry
	// isn't ready: two of its readiness checks, and a margin.
	balancerDelay = 2400 * time.Millisecond
	// acceptEndFraction is the fraction of the grace period after which no new connections
	// are accepted, although the balancer still sends some.
	acceptEndFraction = 0.5
	// drainFraction is the fraction of the grace period after which running requests are
	// cut off.
	drainFraction = 0.88
	// drainCheckInterval is the time between two checks whether connections can be
	// closed.
	drainCheckInterval = 25 * time.Millisecond
)

// shutDown performs a planned stop. New connections are accepted until the balancer
// has detected that the entry isn't ready; running requests are then completed, or
// answered without a target's response near the end of the grace period.
func (g *Gate) shutDown(callers *pimentohttp.DrainListener) {
	began, grace := time.Now(), float64(g.settings.GracePeriod)
	cutoff, half := began.Add(time.Duration(drainFraction*grace)), began.Add(time.Duration(acceptEndFraction*grace))
	g.cutoff.Store(&cutoff)
	g.acceptEnd.Store(&half)
	g.stopping.Store(true)
	cs := g.cluster
	cs.mu.Lock()
	cs.members.Stop()
	cs.signalChange()
	cs.mu.Unlock()
	g.logChange("msg", "stopping", "open", g.conns.size())
	time.Sleep(balancerDelay)
	go callers.Drain(half)
	for (callers.Accepting() || g.conns.size() > 0) && time.Now().Before(cutoff) {
		g.stopIdleConns()
		time.Sleep(drainCheckInterval)
	}
	close(g.cutoffReached)
	for end := time.Now().Add(cutoffWriteTime); g.conns.anyUnanswered() && time.Now().Before(end); {
		g.stopIdleConns()
		time.Sleep(drainCheckInterval)
	}
	g.cutOffConns()
}

// stopIdleConns makes the connections of callers that are idle accept no more requests.
func (g *Gate) stopIdleConns() {
	for _, cc := range g.conns.all() {
		cc.stopReadingUnlessReceiving()
	}
}

// cutoffWriteTime bounds the time to write the responses to requests that were cut off.
const cutoffWriteTime = 200 * time.Millisecond

// cutOffConns closes the connections of callers that are still open, and waits until their
// ends were logged.
func (g *Gate) cutOffConns() {
	for _, cc := range g.conns.all() {
		cc.setReadEnd(endCutoff)
		cc.setDropEnd(endCutoff)
		_ = cc.Close()
	}
	for end := time.Now().Add(cutoffLogTime); g.conns.size() > 0 && time.Now().Before(end); {
		time.Sleep(drainCheckInterval)
	}
}

// cutoffLogTime bounds the time to log the ends of connections that were cut off.
const cutoffLogTime = 100 * time.Millisecond

// lateStopFactor times the expected time of a request is the time within which it is
// assumed to end, if it is received while new connections are accepted.
const lateStopFactor = 2

// retryAfterStop is the Retry-After time of refusals during a planned stop: other entries
// can serve the request at once.
const retryAfterStop = 10 * time.Millisecond

// outlastsStop reports whether a request is too late in a planned stop: it would probably
// still run when running requests are cut off. Requests usually end within their
// objective; cand, which may be nil, is the target that would get it.
func (g *Gate) outlastsStop(c *call, cand *candidate) bool {
	cutoff := g.cutoff.Load()
	if cutoff == nil {
		return false
	}
	if half := g.acceptEnd.Load(); half != nil && c.received.After(*half) {
		return cutoff.Before(c.deadline)
	}
	needed := c.route.Objective
	if cand != nil {
		needed = max(needed, lateStopFactor*cand.expected)
	}
	return time.Until(*cutoff) < needed
}

// settingsCheckInterval is the time between two reads of the settings file.
const settingsCheckInterval = 3 * time.Second

// watchSettings reads the settings at intervals and after a signal, and applies
// changed seeds. Other changes have no effect until a restart.
func (g *Gate) watchSettings(ctx context.Context, reload <-chan os.Signal) {
	if g.reload == nil {
		return
	}
	t := time.NewTicker(settingsCheckInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-t.C:
		}
		s, err := g.reload()
		if err != nil {
			g.logLine(level.WarnValue(), "msg", "changed settings ignored", "err", err)
			continue
		}
		g.seedAddrs.Store(&s.Seeds)
		if signalled {
			g.logChange("msg", "settings reloaded", "seeds", len(s.Seeds))
		}
	}
}
