package pimentogate

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// computeFingerprint returns a hash of the caller's IP address, method, host, URI and
// body, which is the same for repeated copies of a request.
func (c *call) computeFingerprint() pimentoretry.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	h := &c.req.Header
	for _, part := range [][]byte{[]byte(c.callerIP), h.Method(), h.Host(), h.RequestURI(), c.req.Body()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return pimentoretry.Fingerprint(d.Sum64())
}

// crashDigest returns a hash of the crashes that this entry knows of.
func (g *Gate) crashDigest() uint64 {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.quarantine.Digest()
}

// maxCrashReports bounds the crash reports in a sync message. If there are more, each
// message has others.
const maxCrashReports = 256

// crashReports returns the crashes that this entry knows of, for a peer that doesn't know
// all of them.
func (g *Gate) crashReports() []pimentoretry.Report {
	ts := &g.traffic
	ts.mu.Lock()
	list := ts.quarantine.Reports(g.now())
	ts.mu.Unlock()
	if len(list) > maxCrashReports {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxCrashReports]
	}
	return list
}

// passesQuarantine sets the call's fingerprint and reports whether the request has
// caused fewer than MaxCrashes crashes.
func (g *Gate) passesQuarantine(c *call) bool {
	c.fingerprint = c.computeFingerprint()
	return g.crashCount(c) < pimentoretry.MaxCrashes
}

// crashCount returns the number of times that copies of a request have crashed targets.
func (g *Gate) crashCount(c *call) int {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.quarantine.Crashes(g.now(), c.fingerprint)
}

// clearQuarantine clears the recorded crashes of a request that was completed.
func (g *Gate) clearQuarantine(c *call) {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.quarantine.RecordResponse(g.now(), c.fingerprint)
}

// crashProbeDelay is the time between a send without a complete, authentic response and
// the probe of its target.
const crashProbeDelay = 30 * time.Millisecond

// checkCrash probes the target of a send without a complete, authentic response. If the
// target replies, it hasn't crashed, unless the request had no response in time and
// the target was unreachable meanwhile: then it has restarted, unless its queue was long and such
// targets were seen silent. It reports whether the target replied and hasn't restarted.
func (g *Gate) checkCrash(c *call, s *send) (alive bool) {
	tg := s.candidate.target
	switch {
	case s.end == endGone && g.isLeaving(tg):
		g.logNoCrash(c, tg, "target was leaving")
		return false
	case s.end == endGone:
		g.recordCrash(c, tg)
		return false
	}
	time.Sleep(crashProbeDelay)
	cand := &candidate{target: tg}
	g.sendProbe(c.service, cand, true)
	defer cand.release()
	switch {
	case isConnLimit(cand.err), errors.Is(cand.err, errWithdrawn):
		g.logNoCrash(c, tg, "not probed: "+cand.err.Error())
	case errors.Is(cand.err, errUnidentified):
		g.logNoCrash(c, tg, cand.err.Error())
	case cand.err == nil && !(s.outcome == outcomeTimeout && g.unreachableSince(tg, s.started) && !(s.sawLong && g.isSilent(c))):
		g.logNoCrash(c, tg, "target replied")
		return true
	default:
		g.recordCrash(c, tg)
	}
	return false
}

// checkCancelled does the same as checkCrash for a send that was cancelled. The target of
// a request that has crashed others is probed whatever the reason, other targets only if
// they had all the time that the request had.
func (g *Gate) checkCancelled(c *call, s *send, why outcome) (alive bool) {
	if s.exchange == nil || !s.exchange.Sent() || why == outcomeResponse {
		return false
	}
	if why == outcomeTimeout || g.crashCount(c) > 0 {
		s.outcome = why
		return g.checkCrash(c, s)
	}
	return false
}

// lostConnection reports whether a send ended because its connection failed before a
// response, as it does when the target crashes.
func (s *send) lostConnection() bool {
	var e *pimentohttp.Error
	return s.outcome == outcomeIncomplete && errors.As(s.err, &e) && e.Kind == pimentohttp.KindConnFailed
}

func isConnLimit(err error) bool {
	var e *pimentohttp.Error
	return errors.As(err, &e) && e.Kind == pimentohttp.KindConnLimit
}

// unreachableSince reports whether a probe of the target has failed since a time.
func (g *Gate) unreachableSince(tg *pimentoroute.Target, since time.Time) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.target(tg.ID).unreachableAt > since.Sub(g.startedAt)
}

func (g *Gate) logNoCrash(c *call, tg *pimentoroute.Target, why string) {
	g.logLine(level.InfoValue(), "msg", "crash not counted", "id", c.id, "target", tg.ID, "reason", why)
}

// recordCrash records that a request crashed a target, and reports it to the other
// entries.
func (g *Gate) recordCrash(c *call, tg *pimentoroute.Target) {
	ts := &g.traffic
	ts.mu.Lock()
	crash, isNew := ts.quarantine.RecordCrash(g.now(), c.fingerprint, string(tg.ID))
	ts.mu.Unlock()
	if !isNew {
		g.logNoCrash(c, tg, "counted before, or the request was answered elsewhere")
		return
	}
	g.logChange("msg", "request crashed a target", "id", c.id, "fingerprint", c.fingerprint, "target", tg.ID, "count", crash.Count)
	g.metrics.count("pimento_crashes_total")
	g.cluster.notifyPeers()
}

// mergeCrashes merges another entry's crash reports, and passes on those that are news.
func (g *Gate) mergeCrashes(reports []pimentoretry.Report, from pimentotarget.EntryName) {
	news := false
	for _, r := range reports {
		ts := &g.traffic
		ts.mu.Lock()
		isNews := ts.quarantine.MergeReport(g.now(), r)
		ts.mu.Unlock()
		if isNews {
			news = true
			g.logChange("msg", "crash reported by an entry", "from", from, "fingerprint", r.Fingerprint, "target", r.Crash.Target,
				"count", r.Crash.Count, "cleared", r.Crash.Cleared, "age", r.Age)
		}
	}
	if news {
		g.cluster.notifyPeers()
	}
}

// expireCrashes drops crashes that no longer count.
func (g *Gate) expireCrashes(now time.Duration) {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.quarantine.Expire(now)
}
