package pimentogate

import (
	"cmp"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// homes are the home regions that bind a request by one configuration: those of its route and
// of its organisation, which are nil if it has none. A list that is empty binds nothing.
type homes struct {
	version      pimentoroute.Version
	route        *pimentoroute.Route
	organisation *pimentoroute.Organisation
}

// bind reports whether there is a region that may not serve the request.
func (h *homes) bind() bool {
	return (h.route != nil && len(h.route.Homes) > 0) || (h.organisation != nil && len(h.organisation.Homes) > 0)
}

// allows reports whether a region may serve the request.
func (h *homes) allows(region pimentoregister.RegionName) bool {
	return (h.route == nil || h.route.Allows(region)) && (h.organisation == nil || h.organisation.Allows(region))
}

// String returns the homes as logs have them: those of the route, then those of the
// organisation.
func (h *homes) String() string {
	var route, organisation []pimentoregister.RegionName
	if h.route != nil {
		route = h.route.Homes
	}
	if h.organisation != nil {
		organisation = h.organisation.Homes
	}
	return regionList(route) + ";" + regionList(organisation)
}

func regionList(list []pimentoregister.RegionName) string {
	var texts []string
	for _, name := range list {
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ",")
}

// arrivalHomes returns the homes that bound the request when it arrived.
func (c *call) arrivalHomes() homes {
	return homes{c.table.Config.Version, c.route, c.organisation}
}

// newestHomes returns the homes that bind the request by the newest configuration that this
// entry knows. Where that has no route for it, or no organisation for its key, they are those of
// its arrival.
func (g *Gate) newestHomes(c *call) homes {
	t := g.table.Load()
	if t.Config == c.table.Config {
		return c.arrivalHomes()
	}
	route := matchRoute(t, c)
	if route == nil {
		route = c.route
	}
	organisation := c.organisation
	if c.hasKey {
		organisation = cmp.Or(t.Organisation(c.key), organisation)
	}
	return homes{t.Config.Version, route, organisation}
}

// homesTrace is what is known about a send that home regions bind, at the moment before it is
// written.
type homesTrace struct {
	decided, newest homes // By which the target was chosen, and by the newest configuration.
	// itemsAge is the age of the published items, at most where it is bounded, and unconfirmedAge
	// if that isn't known.
	itemsAge time.Duration
}

// traceHomes records what the homes of a send were decided by, and reports sends that the
// newest configuration doesn't allow.
func (g *Gate) traceHomes(c *call, s *send) {
	t := &homesTrace{decided: s.candidate.homes, newest: g.newestHomes(c)}
	if !t.decided.bind() && !t.newest.bind() {
		return
	}
	t.itemsAge = g.itemsAge()
	if age, known := g.feedAge(); known && g.applyBound.InForce() {
		t.itemsAge = age
	}
	s.homes = t
	g.metrics.count("pimento_home_sends_total")
	tg := s.candidate.target
	if !t.newest.allows(tg.Region) {
		g.metrics.count("pimento_sends_outside_homes_total")
		g.logLine(level.WarnValue(), append([]any{"msg", "request sent outside its home regions", "id", c.id, "target", tg.ID}, s.homesFields()...)...)
	}
}

// homesFields returns log fields with the homes that bound a send, and with what tells
// whether they were in force and the target in one of them.
func (s *send) homesFields() []any {
	t := s.homes
	if t == nil {
		return nil
	}
	fields := []any{"homes", &t.decided, "homes_config", t.decided.version, "region", s.candidate.target.Region,
		"conn", s.candidate.connFrom, "homes_age_ms", t.itemsAge.Milliseconds()}
	if t.newest.version != t.decided.version {
		fields = append(fields, "newest_homes", &t.newest, "newest_config", t.newest.version)
	}
	return fields
}

// connSource tells where the connection of a send comes from, as logs have it.
type connSource string

const (
	connProbed connSource = "probed" // The target replied to a probe on it just now.
	connPooled connSource = "pooled" // An earlier exchange used it.
	connNew    connSource = "new"    // The send is its first exchange.
)

// checkRules returns why a request may not be sent to a target any more, or to none if tg is
// nil, by the age of the items and by what the newest configuration says of its key, its service
// and its home regions. It doesn't change the call, and may be called by the sends of a request at
// the same time.
func (g *Gate) checkRules(c *call, tg *pimentoroute.Target) reason {
	if why := g.checkKey(c); why != reasonNone {
		return why
	}
	if why := g.checkService(c); why != reasonNone {
		return why
	}
	if why := g.copyDoubt(c); why != reasonNone {
		return why
	}
	return g.checkHomes(c, tg) // By the newest table, loaded after the age was found good.
}

// checkHomes returns why home regions keep a request from a target, or from all if tg is nil.
func (g *Gate) checkHomes(c *call, tg *pimentoroute.Target) reason {
	if tg != nil && !g.allows(c, tg.Region) {
		return reasonHome
	}
	return reasonNone
}

// allows reports whether a region may serve a request, by the newest configuration.
func (g *Gate) allows(c *call, region pimentoregister.RegionName) bool {
	h := g.newestHomes(c)
	return h.allows(region)
}
