package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// identify sets the organisation that a request acts for. It returns why the request is
// refused, or reasonNone. The call's table and route are set.
func (g *Gate) identify(c *call) reason {
	c.organisation, c.hasKey = nil, false
	if key, ok := callerKey(&c.req.Header, g.dialect.KeyScheme); ok { // Also without organisations: there may be one later.
		c.key, c.hasKey = key.Digest(), true
		c.organisation = c.table.Organisation(c.key)
	}
	switch {
	case !c.table.NeedsKey(c.route):
		return reasonNone
	case c.hasKey && !g.keysConfirmed(): // Also an unknown key: it may be a new one.
		return reasonUnconfirmed
	case c.organisation == nil:
		return g.keyRefusal(c)
	}
	return reasonNone
}

// keyRefusal returns why a request without a valid key is refused.
func (g *Gate) keyRefusal(c *call) reason {
	if why := g.awaitProof(c); why != reasonNone {
		return why
	}
	if g.table.Load().Config != c.table.Config {
		return reasonUnconfirmed // The proof may be that of the newer one.
	}
	return reasonKey
}

// checkKey returns why a request whose organisation was known before may not be sent any more,
// by the newest configuration. It doesn't change the call, and may be called by the sends of a
// request at the same time.
func (g *Gate) checkKey(c *call) reason {
	if c.organisation == nil || c.route.Public {
		return reasonNone
	}
	if !g.keysConfirmed() {
		return reasonUnconfirmed
	}
	// Loaded after the confirmation: it may be that of a newer table.
	t := g.table.Load()
	o := t.Organisation(c.key)
	switch {
	case o == nil && !t.NeedsKey(c.route):
		return reasonMoved
	case o == nil:
		return reasonKey
	case o.Name != c.organisation.Name:
		return reasonMoved
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
// request to a target. Without organisations, at its arrival and now, it changes nothing.
func (g *Gate) setOrganisation(c *call, h *fasthttp.RequestHeader) {
	if len(c.table.Config.Organisations) == 0 && len(g.table.Load().Config.Organisations) == 0 {
		return
	}
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(g.dialect.Organisation)
	o := c.organisation
	if c.hasKey && !c.table.NeedsKey(c.route) { // No check before the send refuses the request.
		o = g.holderNow(c.key)
	}
	if o != nil {
		h.Set(g.dialect.Organisation, string(o.Name))
	}
}

// holderNow returns the organisation that holds a key, or nil if none does or the keys aren't
// known well enough.
func (g *Gate) holderNow(key pimentoroute.Digest) *pimentoroute.Organisation {
	if !g.keysConfirmed() {
		return nil
	}
	return g.table.Load().Organisation(key) // Loaded after the confirmation: it may be that of a newer table.
}

// priority returns the priority of the request; 0 is the highest.
func (c *call) priority() int {
	if c.organisation != nil {
		return c.organisation.Priority
	}
	return c.route.Priority
}
