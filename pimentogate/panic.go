package pimentogate

import (
	"runtime/debug"

	"github.com/go-kit/log/level"
)

// maxStackBytes bounds the stack in the line about a panic.
const maxStackBytes = 4 << 10

// notePanic counts and logs a panic that was recovered from while it did what, for the
// request or the caller id.
func (g *Gate) notePanic(value any, what, id string) {
	g.metrics.count("pimento_panics_total")
	stack := debug.Stack()
	g.logLine(level.ErrorValue(), "msg", "panic", "in", what, "id", id, "panic", value, "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// handleSafely handles a request. A panic becomes a response of this entry's own, so that
// the caller isn't left without one.
func (g *Gate) handleSafely(c *call) (resp *response) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		g.notePanic(value, "request", c.id)
		c.mayHaveRun = c.mayHaveRun || c.sends > 0
		resp = g.refusal(c, reasonIncomplete, 0)
	}()
	return g.handle(c)
}

// readSafely reads a connection's requests. A panic ends the connection's requests like a
// connection that has failed, and nothing else.
func (cc *callerConn) readSafely() {
	defer func() {
		if value := recover(); value != nil {
			cc.gate.notePanic(value, "connection", cc.callerIP)
			cc.abandonAll(endFailed)
		}
	}()
	cc.readRequests()
}
