package pimentogate

import "time"

// lastLookTime bounds the time to look for a request that has already arrived.
const lastLookTime = time.Millisecond

// resume reopens an idle connection that a planned stop has closed for requests, if one had
// arrived before. It reports whether a request is to be read.
func (cc *callerConn) resume() bool {
	cc.mu.Lock()
	idle := cc.closedIdle
	cc.mu.Unlock()
	if !idle {
		return false
	}
	_ = cc.SetReadDeadline(time.Now().Add(lastLookTime))
	if _, err := cc.r.Peek(1); err != nil {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.closedIdle {
		return false
	}
	cc.closing, cc.closedIdle, cc.receiving = false, false, true
	cc.losses.readEnd = endNone
	return true
}
