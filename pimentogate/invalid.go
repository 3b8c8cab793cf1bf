package pimentogate

import (
	"bytes"
	"time"

	"github.com/go-kit/log/level"
)

// refuseInvalid responds to a request that couldn't be read, and closes the connection. c is
// nil if its head couldn't be.
func (cc *callerConn) refuseInvalid(c *call, bad *badRequest) {
	g := cc.gate
	why := bad.reason
	if doubt := cc.limitDoubt(c, bad); doubt != reasonNone {
		why = doubt
	}
	resp := g.refusal(c, why, retryAfterDoubt(why))
	resp.closeConn = true
	fields := []any{"msg", "request refused", "reason", why, "from", cc.callerIP, "status", resp.http.StatusCode(),
		"err", bad.err, "unread_bytes", cc.r.Buffered()}
	if c != nil {
		fields = append(fields, "id", c.id, "length", c.req.Header.ContentLength())
	}
	fields = append(fields, "head_limit", cc.limits.HeaderBytes, "body_limit", cc.limits.BodyBytes)
	g.logLine(level.WarnValue(), append(fields, g.verdictFields(c)...)...)
	p := &pendingResponse{done: make(chan *response, 1)}
	p.done <- resp
	if cc.addCall(nil) {
		cc.pending <- p
	}
}

// isVerdict reports whether a reason blames the request, or would with a configuration that is
// known to be in force.
func (r reason) isVerdict() bool {
	return r == reasonRoute || r == reasonKey || r == reasonUnconfirmed
}

// verdictFields returns log fields with what a verdict on the request itself rests on, such as
// that it is too large or has no route: where it was to go, and the configuration of this entry.
// c may be nil.
func (g *Gate) verdictFields(c *call) []any {
	var fields []any
	if c != nil {
		path, _, _ := bytes.Cut(c.req.Header.RequestURI(), []byte("?")) // A query may hold secrets.
		fields = append(fields, "host", cutText(c.req.Header.Host()), "path", cutText(path))
	}
	t := g.table.Load()
	if c != nil && c.table != nil {
		t = c.table
	}
	if t == nil || t.Config == nil {
		return append(fields, "config", "none")
	}
	return append(fields, "config", t.Config.Version, "items_age_ms", g.itemsAge().Milliseconds())
}

// unconfirmedAge stands for the age of items that aren't confirmed.
const unconfirmedAge = -time.Millisecond

// itemsAge returns the time since the published items were confirmed to be current.
func (g *Gate) itemsAge() time.Duration {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if age, known := cs.age(g.now()); known {
		return age
	}
	return unconfirmedAge
}

// maxLoggedText bounds the bytes of a caller's text in a log line.
const maxLoggedText = 80

// cutText returns the beginning of a caller's text for the log.
func cutText(text []byte) string { return string(text[:min(len(text), maxLoggedText)]) }
