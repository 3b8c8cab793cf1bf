package pimentogate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

// requestHash identifies a request that may come again.
func (c *call) requestHash() pimentoretry.Print {
	var d xxhash.Digest
	d.Reset()
	h := &c.req.Header
	for _, part := range [][]byte{[]byte(c.callerIP), h.Method(), h.Host(), h.RequestURI(), c.req.Body()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return pimentoretry.Print(d.Sum64())
}

// crashReport is one request's crash of one target, for other entries.
type crashReport struct {
	fingerprint pimentoretry.Print
	crash       pimentoretry.Crash
	receivedAt  time.Duration // When this entry heard of it.
}

// crashReportTTL is the time for which other entries are told of a crash.
const crashReportTTL = 20 * time.Second

// passesQuarantine reports whether a request hasn't crashed too many targets.
func (g *Gate) passesQuarantine(c *call) bool {
	c.fingerprint = c.requestHash()
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Crashes(g.now(), c.fingerprint) < pimentoretry.MaxCrashes
}

// clearQuarantine notes that a request was answered.
func (g *Gate) clearQuarantine(c *call) {
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quarantine.Clear(g.now(), c.fingerprint)
}

// crashProbeDelay is the time after a broken connection at which its target is asked
// whether it is still there.
const crashProbeDelay = 30 * time.Millisecond

// checkCrash deals with a target that dropped the connection while it had a request.
// If the target is still there, it hasn't crashed.
func (g *Gate) checkCrash(c *call, tg *pimentoroute.Target) {
	time.Sleep(crashProbeDelay)
	p := &candidate{target: tg}
	g.sendProbe(c, p, true)
	defer p.release()
	if p.err != nil {
		g.recordCrash(c, tg)
	}
}

// recordCrash notes that a request recordCrash a target, and tells the other entries.
func (g *Gate) recordCrash(c *call, tg *pimentoroute.Target) {
	f := &g.traffic
	f.mu.Lock()
	crash, news := f.quarantine.Add(g.now(), c.fingerprint, string(tg.ID))
	f.mu.Unlock()
	if news {
		g.logChange("msg", "request crashed a target", "id", c.id, "target", tg.ID, "count", crash.Count)
		g.cluster.addCrash(crashReport{fingerprint: c.fingerprint, crash: crash, receivedAt: g.now()})
	}
}

// mergeCrash takes another entry's news, and reports whether it was news.
func (g *Gate) mergeCrash(n crashReport) bool {
	f := &g.traffic
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Merge(g.now(), n.fingerprint, n.crash)
}
