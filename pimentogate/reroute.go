package pimentogate

import (
	"slices"
	"time"

	"pimentoarch/pimentoroute"
)

// handle serves a request. One that was refused before its first send, while a newer
// configuration has moved its route to another service, is served by that.
func (g *Gate) handle(c *call) *response {
	for {
		resp := g.handleOnce(c)
		if !g.isRerouted(c, resp) {
			return resp
		}
		c.waiter, c.rejected = nil, nil
	}
}

// isRerouted reports whether a request has got no response but this entry's own, none of its
// sends has begun, and the newest configuration has another service for it.
func (g *Gate) isRerouted(c *call, resp *response) bool {
	if resp.reason == reasonNone || c.service == nil || c.lastCandidate != nil || c.isAbandoned() {
		return false
	}
	return g.checkService(c) != reasonNone && time.Until(c.deadline) > 0
}

// checkService returns why a request may not be sent to the service that it had when it arrived:
// the newest configuration has a route for it that goes to others.
func (g *Gate) checkService(c *call) reason {
	t := g.table.Load()
	if t.Config == c.table.Config {
		return reasonNone
	}
	route := matchRoute(t, c)
	if route == nil || goesTo(route, c) {
		return reasonNone
	}
	return reasonMoved
}

// goesTo reports whether requests of a route go to the service of a call.
func goesTo(r *pimentoroute.Route, c *call) bool {
	return slices.ContainsFunc(r.Parts, func(p pimentoroute.SplitService) bool {
		return p.Service == c.serviceName() && (p.Weight > 0 || len(r.Parts) == 1)
	})
}
