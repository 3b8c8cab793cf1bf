package pimentogate

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentospread"
)

// spread is what this entry knows about room by domain, and uses while the table is uneven.
type spread struct {
	mu   sync.Mutex // Guards the fields below. Nothing is called out while it is held.
	view pimentospread.View
	// refusals are the moving averages of refused requests.
	refusals map[refusalKey]*movingRate
}

// refusalKey names the requests to one service that the same domains may serve.
type refusalKey struct {
	service pimentoregister.ServiceName
	allowed uint64
}

// refusal returns the moving average of refused requests of a key. It is called with mu held.
func (sp *spread) refusal(key refusalKey) *movingRate {
	rate := sp.refusals[key]
	if rate == nil {
		rate = new(movingRate)
		if sp.refusals == nil {
			sp.refusals = make(map[refusalKey]*movingRate)
		}
		sp.refusals[key] = rate
	}
	return rate
}

// newSpread returns an entry's spread.
func newSpread(s *Settings, run uint64) spread {
	var domains []pimentospread.Domain
	for name, region := range s.Regions {
		d := pimentospread.Domain{Name: name, Region: region, Distance: pimentospread.OtherRegion}
		switch {
		case name == s.Domain:
			d.Distance = pimentospread.SameDomain
		case region == s.Region():
			d.Distance = pimentospread.SameRegion
		}
		domains = append(domains, d)
	}
	return spread{view: *pimentospread.NewView(uint32(run), domains)}
}

// spreads reports whether the configuration in force calls for spill-over.
func (g *Gate) spreads() bool {
	t := g.table.Load()
	return t != nil && t.Uneven()
}

// observeRoom adds a target's report to the figures of its domain.
func (g *Gate) observeRoom(tg *pimentoroute.Target, r LoadReport) {
	if r.Slots == 0 || !g.spreads() {
		return
	}
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.view.Observe(g.now(), pimentospread.RoomKey{Service: tg.Service, Domain: tg.Domain},
		pimentospread.Report{Running: r.Running, Waiting: r.Waiting, Slots: r.Slots, Slowdown: r.Slowdown})
}

// observeEnd records whether this entry refused a request, and states how many of those that
// are bound to home regions it refuses.
func (g *Gate) observeEnd(c *call, refused bool) {
	if !c.table.Uneven() {
		return
	}
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	domains := sp.view.Domains()
	allowed, bound := g.allowedDomains(c, domains)
	rate := sp.refusal(refusalKey{c.serviceName(), allowed})
	rate.observe(refused, pressureWeight)
	if !bound {
		return
	}
	for i, d := range domains {
		if allowed&(1<<i) != 0 {
			sp.view.StateShortage(g.now(), pimentospread.RegionKey{Service: c.serviceName(), Region: d.Region}, pimentospread.Permille(1000**rate))
		}
	}
}

// allowedDomains returns a bit for each domain that may serve a request, and whether there is
// one that may not.
func (g *Gate) allowedDomains(c *call, domains []pimentospread.Domain) (allowed uint64, bound bool) {
	for i, d := range domains {
		if c.allows(d.Region) {
			allowed |= 1 << (i % pimentospread.MaxDomains)
		} else {
			bound = true
		}
	}
	return allowed, bound
}

// chooseDomain returns where a request goes first, by what is known about the domains.
func (g *Gate) chooseDomain(c *call, t *pimentoroute.Table) pimentospread.Choice {
	if !t.Uneven() {
		return pimentospread.Choice{}
	}
	if g.targetsRefuse(c.serviceName()) {
		return pimentospread.Choice{}
	}
	usual := g.usualWork(c)
	now := g.now()
	q := pimentospread.Query{
		Service: c.serviceName(), Usual: usual, Left: c.route.Objective - time.Since(c.received) - usual,
		Large: c.route.Kind == pimentoroute.KindUpload,
		Draw:  rand.Float64(), Second: rand.Float64(),
	}
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	q.Allowed, q.Bound = g.allowedDomains(c, sp.view.Domains())
	pressure := float64(*sp.refusal(refusalKey{q.Service, q.Allowed}))
	sp.view.Step(now, q.Service, q.Allowed, pressure, func(d pimentoregister.DomainName) int { return slotsIn(t, q.Service, d) })
	return sp.view.Choose(now, &q)
}

// refusingLimit is the fraction of sends refused by targets from which their reports aren't
// taken as room: targets that refuse although slots are free look idle, in each domain.
const refusingLimit = 0.05

// targetsRefuse reports whether the targets of a service refuse too many sends for figures to
// be used.
func (g *Gate) targetsRefuse(service pimentoregister.ServiceName) bool {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.service(service).refusalRate > refusingLimit
}

// slotsIn returns the slots of a service's targets in a domain.
func slotsIn(t *pimentoroute.Table, service pimentoregister.ServiceName, domain pimentoregister.DomainName) int {
	n := 0
	for _, tg := range t.InDomain(service, domain) {
		n += max(1, tg.Slots)
	}
	return n
}

// domainName returns the name of the domain that was chosen.
func (g *Gate) domainName(ch pimentospread.Choice) pimentoregister.DomainName {
	return g.spread.view.Domains()[ch.Domain].Name // They never change.
}

// isPassed reports whether a choice passes a domain over.
func (g *Gate) isPassed(ch pimentospread.Choice, name pimentoregister.DomainName) bool {
	if ch.Passed == 0 {
		return false
	}
	for i, d := range g.spread.view.Domains() {
		if d.Name == name {
			return ch.Passed&(1<<i) != 0
		}
	}
	return false
}

// suffices reports whether a target of the domain that a request spills over to is taken
// without asking nearer ones: it has room and responds in time. Decide sends to it then.
func (g *Gate) suffices(c *call, cand *candidate) bool {
	ch := c.choice
	if ch.Reason == pimentospread.Nearest || cand == nil || cand.target.Domain != g.domainName(ch) {
		return false
	}
	return !cand.queued && cand.room > 0 && g.decide(c, cand) == pimentoload.Send
}

// safeFraction is the fraction of the time left until the objective within which a response
// must be expected so that no better target is looked for where the figures promise none. Work
// rarely takes twice as long as usual.
const safeFraction = 0.5

// sparesProbes reports whether the next targets needn't be asked, because the best one found so
// far is safely in time, and the fresh figures of the next one's domain promise no better one.
func (g *Gate) sparesProbes(c *call, best *candidate, next *pimentoroute.Target) bool {
	left := c.route.Objective - time.Since(c.received)
	if !g.spreads() || best.queued || best.room <= 0 || best.expected > time.Duration(safeFraction*float64(left)) {
		return false
	}
	sp := &g.spread
	sp.mu.Lock()
	room, fresh := sp.view.Room(g.now(), pimentospread.RoomKey{Service: next.Service, Domain: next.Domain})
	sp.mu.Unlock()
	if !fresh {
		return false
	}
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	slots := max(1, next.Slots)
	running := min(slots-1, slots*int(room.Busy)/1000)
	work := float64(ts.routeWork(c.route).alone) * float64(max(100, room.Slowdown)) / 100 * ts.service(next.Service).curve.Ratio(running)
	return best.score() <= time.Duration(work)+g.roundTrip(next)+g.byteCostOf(ts.routeWork(c.route), next)
}

// pruneSpread drops what is old or no longer published.
func (g *Gate) pruneSpread(t *pimentoroute.Table) {
	if t == nil {
		return
	}
	known := func(name pimentoregister.ServiceName) bool { return t.Uneven() && t.Targets[name] != nil }
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.view.Prune(g.now(), known)
	for key := range sp.refusals {
		if !known(key.service) {
			delete(sp.refusals, key)
		}
	}
}

// countSpill counts a request that is sent to the domain it spills over to.
func (g *Gate) countSpill(c *call, cand *candidate) {
	if c.choice.Reason != pimentospread.Nearest && cand.target.Domain == g.domainName(c.choice) {
		g.metrics.count(`pimento_spilled_total{reason="` + c.choice.Reason.String() + `"}`)
	}
}

// spreadFields returns log fields with the choice of the domain.
func (c *call) spreadFields() []any {
	if c.choice.Reason == pimentospread.Nearest {
		return nil
	}
	return []any{"spill", c.choice.Reason, "share", c.choice.Share, "figure_age_ms", c.choice.Age.Milliseconds()}
}

// countFigures returns the number of fresh figures of rooms.
func (g *Gate) countFigures() float64 {
	n := 0.0
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.view.EachRoom(g.now(), -1, func(pimentospread.RoomKey, pimentospread.Room) { n++ })
	return n
}

// SpreadStatus is where the requests to a service go, as JSON at /status.
type SpreadStatus struct {
	// Away is the fraction whose first choice is another domain, and Yield that of the free
	// requests that make way for bound ones.
	Away  float64 `json:"away"`
	Yield float64 `json:"yield"`
	// Rooms are the fresh figures by domain.
	Rooms map[pimentoregister.DomainName]RoomStatus `json:"rooms"`
}

// RoomStatus is one figure of a domain.
type RoomStatus struct {
	Busy      pimentospread.Permille `json:"busy"`  // Requests per slot, in thousandths.
	Slowdown  pimentospread.Percent  `json:"slow"`  // Of the usual work time.
	AgeMillis int64                  `json:"age"`   // In ms.
	Origin    uint32                 `json:"entry"` // The lower half of the run that stated it.
}

// spreadStatus returns the status of each service with fresh figures.
func (g *Gate) spreadStatus(now time.Duration) map[pimentoregister.ServiceName]SpreadStatus {
	all := make(map[pimentoregister.ServiceName]SpreadStatus)
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.view.EachRoom(now, maxFigures, func(key pimentospread.RoomKey, r pimentospread.Room) {
		s, ok := all[key.Service]
		if !ok {
			s.Rooms = make(map[pimentoregister.DomainName]RoomStatus)
			s.Away, s.Yield = sp.view.Shares(key.Service)
		}
		s.Rooms[key.Domain] = RoomStatus{Busy: r.Busy, Slowdown: r.Slowdown, AgeMillis: (now - r.At).Milliseconds(), Origin: r.Origin}
		all[key.Service] = s
	})
	return all
}
