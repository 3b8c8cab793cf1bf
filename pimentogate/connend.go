package pimentogate

import (
	"fmt"
	"io"

	"github.com/go-kit/log/level"
)

// connEnd is why a caller's connection ended, as in logs and metrics.
type connEnd string

const (
	endNone     connEnd = ""
	endCaller   connEnd = "left"    // The caller closed it.
	endFailed   connEnd = "failed"  // Reading from it failed.
	endIdle     connEnd = "idle"    // It exceeded the idle timeout.
	endInvalid  connEnd = "invalid" // A request on it was invalid.
	endResponse connEnd = "closed"  // A response on it closed it.
	endWrite    connEnd = "write"   // A response couldn't be written whole.
	endStop     connEnd = "stop"    // A planned stop closed it between two requests.
	endCutoff   connEnd = "cutoff"  // A planned stop cut it off.
)

// connLosses is what a caller's connection left without a response. It is guarded by the
// connection's mu.
type connLosses struct {
	readEnd  connEnd // Why no more requests are read.
	dropEnd  connEnd // Why requests that were read got no response.
	dropped  int     // Requests that were read and got no whole response.
	passedOn int     // Those of them that were sent to a target.
	unread   int64   // Bytes received and not served.
}

// setReadEnd records why the connection reads no more requests, unless that is known.
func (cc *callerConn) setReadEnd(why connEnd) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.losses.readEnd == endNone {
		cc.losses.readEnd = why
	}
}

// setDropEnd records why requests without a response don't get one, unless that is known.
func (cc *callerConn) setDropEnd(why connEnd) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.losses.dropEnd == endNone {
		cc.losses.dropEnd = why
	}
}

// countDropped counts a request that ended without a whole response. c is nil for an invalid
// one.
func (cc *callerConn) countDropped(c *call) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.losses.dropped++
	if c != nil && c.sends > 0 {
		cc.losses.passedOn++
	}
}

// discard reads and drops what the caller sends until reading fails.
func (cc *callerConn) discard(r io.Reader) error {
	n, err := io.Copy(io.Discard, r)
	cc.mu.Lock()
	cc.losses.unread += n
	cc.mu.Unlock()
	return err
}

// reportLosses counts and logs the end of a connection that left something without a
// response.
func (cc *callerConn) reportLosses() {
	cc.mu.Lock()
	l := cc.losses
	partial := cc.receiving
	cc.mu.Unlock()
	if l.dropped == 0 && l.unread == 0 && !partial {
		return
	}
	why := l.readEnd
	if l.dropped > 0 {
		why = l.dropEnd
	}
	severity := level.WarnValue()
	if why == endCaller {
		severity = level.InfoValue()
	}
	cc.gate.metrics.count(fmt.Sprintf(`pimento_conns_unanswered_total{reason=%q}`, string(why)))
	cc.gate.logLine(severity, "msg", "connection closed unanswered", "reason", why, "from", cc.callerIP,
		"dropped", l.dropped, "passed_on", l.passedOn, "unread_bytes", l.unread, "partial", partial)
}
