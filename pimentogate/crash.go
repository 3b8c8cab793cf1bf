package pimentogate

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

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
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.quarantine.Crashes(g.now(), c.fingerprint) < pimentoretry.MaxCrashes
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

// checkCrash probes a target that sent no complete, authentic response to a request.
// If the target replies, it hasn't crashed.
func (g *Gate) checkCrash(c *call, tg *pimentoroute.Target) {
	time.Sleep(crashProbeDelay)
	cand := &candidate{target: tg}
	g.sendProbe(c, cand, true)
	defer cand.release()
	if cand.err == nil {
		g.logLine(level.InfoValue(), "msg", "crash not counted", "id", c.id, "target", tg.ID, "reason", "target replied")
		return
	}
	g.recordCrash(c, tg)
}

// recordCrash records that a request crashed a target, and reports it to the other
// entries.
func (g *Gate) recordCrash(c *call, tg *pimentoroute.Target) {
	ts := &g.traffic
	ts.mu.Lock()
	crash, isNew := ts.quarantine.RecordCrash(g.now(), c.fingerprint, string(tg.ID))
	ts.mu.Unlock()
	if !isNew {
		g.logLine(level.InfoValue(), "msg", "crash not counted", "id", c.id, "target", tg.ID, "reason", "counted before, or the request was answered elsewhere")
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
