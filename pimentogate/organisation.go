package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// identify sets the organisation that a request acts for. It returns why the request is
// refused, or reasonNone. The call's table and route are set.
func (g *Gate) identify(c *call) reason {
	c.organisation = nil
	if len(c.table.Config.Organisations) == 0 {
		return reasonNone
	}
	if key, ok := callerKey(&c.req.Header, g.dialect.KeyScheme); ok {
		c.organisation = c.table.Organisation(key)
	}
	if c.organisation == nil && c.table.NeedsKey(c.route) {
		return reasonKey
	}
	return reasonNone
}

// callerKey returns the key in a request's Authorization header, and false if there isn't
// exactly one such header with one key.
func callerKey(h *fasthttp.RequestHeader, scheme string) (pimentoroute.Key, bool) {
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return "", false
	}
	got, key, ok := bytes.Cut(values[0], []byte(" "))
	if !ok || !bytes.EqualFold(got, []byte(scheme)) || len(key) == 0 || bytes.ContainsAny(key, " \t,") {
		return "", false
	}
	return pimentoroute.Key(key), true
}

// setOrganisation replaces the caller's key by the name of its organisation in the head of a
// request to a target. Without organisations, it changes nothing.
func (g *Gate) setOrganisation(c *call, h *fasthttp.RequestHeader) {
	if len(c.table.Config.Organisations) == 0 {
		return
	}
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(g.dialect.Organisation)
	if c.organisation != nil {
		h.Set(g.dialect.Organisation, string(c.organisation.Name))
	}
}

// allows reports whether a region may serve the request, by the home regions of its route
// and of its organisation.
func (c *call) allows(region pimentoregister.RegionName) bool {
	return c.route.Allows(region) && (c.organisation == nil || c.organisation.Allows(region))
}

// priority returns the priority of the request; 0 is the highest.
func (c *call) priority() int {
	if c.organisation != nil {
		return c.organisation.Priority
	}
	return c.route.Priority
}
