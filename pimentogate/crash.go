package pimentogate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

// fingerprint identifies a request that may come again.
func (c *call) fingerprint() pimentoretry.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	h := &c.req.Header
	for _, part := range [][]byte{[]byte(c.from), h.Method(), h.Host(), h.RequestURI(), c.req.Body()} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return pimentoretry.Fingerprint(d.Sum64())
}

// crashNews is one request's crash of one target, for other entries.
type crashNews struct {
	print pimentoretry.Fingerprint
	crash pimentoretry.Crash
	at    time.Duration // When this entry heard of it.
}

// crashMemory is the time for which other entries are told of a crash.
const crashMemory = 20 * time.Second

// mayTry reports whether a request hasn't crashed too many targets.
func (g *Gate) mayTry(c *call) bool {
	c.print = c.fingerprint()
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.Crashes(g.now(), c.print) < pimentoretry.MaxCrashes
}

// passed notes that a request was answered.
func (g *Gate) passed(c *call) {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects.RecordResponse(g.now(), c.print)
}

// crashLook is the time after a broken connection at which its target is asked
// whether it is still there.
const crashLook = 30 * time.Millisecond

// broke deals with a target that dropped the connection while it had a request.
// If the target is still there, it hasn't crashed.
func (g *Gate) broke(c *call, tg *pimentoroute.Target) {
	time.Sleep(crashLook)
	p := &pick{target: tg}
	g.question(c, p, true)
	defer p.release()
	if p.err != nil {
		g.crashed(c, tg)
	}
}

// crashed notes that a request crashed a target, and tells the other entries.
func (g *Gate) crashed(c *call, tg *pimentoroute.Target) {
	f := &g.flow
	f.mu.Lock()
	crash, news := f.suspects.RecordCrash(g.now(), c.print, string(tg.ID))
	f.mu.Unlock()
	if news {
		g.noteChange("msg", "request crashed a target", "id", c.id, "target", tg.ID, "count", crash.Count)
		g.fleet.tell(crashNews{print: c.print, crash: crash, at: g.now()})
	}
}

// heardCrash takes another entry's news, and reports whether it was news.
func (g *Gate) heardCrash(n crashNews) bool {
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.suspects.Merge(g.now(), n.print, n.crash)
}
