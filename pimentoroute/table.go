package pimentoroute

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

type (
	// RouteName names a route.
	RouteName string
	// TargetID identifies one start of a target: after a restart it has another ID.
	TargetID string
	// Version is the number of a configuration.
	Version uint64
)

// Kind classifies the requests of a route by whether they may be retried.
type Kind uint8

const (
	// KindSafe requests may be executed more than once.
	KindSafe Kind = iota + 1
	// KindUnsafe requests may be executed at most once.
	KindUnsafe
	// KindBulk requests are safe and have large responses.
	KindBulk
	// KindUpload requests are unsafe and have large bodies.
	KindUpload
)

// Idempotent reports whether requests of the kind may be executed more than once. Those of a
// kind that isn't known may not.
func (k Kind) Idempotent() bool { return k == KindSafe || k == KindBulk }

// String returns the name of the kind, as logs and metrics have it.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindBulk:
		return "bulk"
	case KindUpload:
		return "upload"
	}
	return "unknown"
}

// Route holds the rules for the requests to one host under one path prefix.
type Route struct {
	Name   RouteName
	Host   string // Case and port don't count.
	Prefix string // Begins and ends with a slash.
	Kind   Kind
	// UnknownKind is the kind that the configuration states if it isn't known. Kind is
	// KindUnsafe then. Otherwise it is empty.
	UnknownKind string
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response has its
	// full value to the caller.
	Objective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Parts are the services among which the requests are split by weight.
	Parts []SplitService
	// Attempts is the maximum number of targets to which one request is sent.
	Attempts int
	// Homes are the home regions, which may serve the requests. Empty means all.
	Homes []pimentoregister.RegionName
	// Public is set if requests need no key of an organisation.
	Public bool
}

// Allows reports whether the region may serve the route's requests.
func (r *Route) Allows(region pimentoregister.RegionName) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// SplitService is one service of a route, with its weight in the split.
type SplitService struct {
	Service pimentoregister.ServiceName
	Weight  int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name pimentoregister.ServiceName
	// Health is the path at which targets report their load.
	Health string
	// MaxConns is the number of connections that one target accepts from all entries
	// together.
	MaxConns int
	// ColdRate is the number of requests a second that a cold target can serve.
	ColdRate float64
	// ColdTerm is the time after its start for which a target is cold.
	ColdTerm time.Duration
}

// Limits bounds the size of callers' requests, the time to read them, and the time
// for which a connection may be idle. A field of 0 states no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one configuration of routes, services and limits.
type Config struct {
	Version  Version
	Routes   []*Route
	Services map[pimentoregister.ServiceName]*Service
	Limits   Limits
	// Organisations are those whose requests are served. Without any, requests need no key.
	Organisations map[pimentoregister.OrganisationName]*Organisation

	index sync.Once // Guards the fields below: many tables may have the same configuration.
	keys  keyIndex
	// hasHomes is what Table.HasHomes returns.
	hasHomes bool
}

// Target is one published target.
type Target struct {
	ID      TargetID
	Service pimentoregister.ServiceName
	Address string // IP and port.
	Domain  pimentoregister.DomainName
	Region  pimentoregister.RegionName
	Slots   int
	// Leaving is set when the target is about to stop. It gets no new requests.
	Leaving bool
	// ColdLeft is the remaining time that the target stays cold, as of when the
	// target reported it.
	ColdLeft time.Duration
	// Run identifies this start of the target, 0 if it isn't published.
	Run pimentotarget.Run
}

// Record is one decoded published item. Exactly one of its fields is set.
type Record struct {
	Config *Config
	Target *Target
	// Out names a failure domain that is out of service.
	Out pimentoregister.DomainName
}

// Table holds the published configuration, targets and domains. It is immutable.
type Table struct {
	// Config is the active configuration, or nil before the first one.
	Config *Config
	// Targets are the targets in service, by service, sorted by ID.
	Targets map[pimentoregister.ServiceName][]*Target
	// OutDomains are the failure domains that are out of service.
	OutDomains map[pimentoregister.DomainName]bool

	// domains has the lists of Targets split by domain.
	domains      map[pimentoregister.ServiceName]domainLists
	routesByHost map[string][]*Route // Longest prefix first.
	keys         keyIndex
	// shared has the services that requests of different classes go to.
	shared      map[pimentoregister.ServiceName]bool
	targetCount int
}

// domainLists has the targets of one service by domain, sorted by ID.
type domainLists map[pimentoregister.DomainName][]*Target

// InDomain returns the targets of a service in a domain, sorted by ID.
func (t *Table) InDomain(service pimentoregister.ServiceName, domain pimentoregister.DomainName) []*Target {
	return t.domains[service][domain]
}

// splitByDomain returns the lists by domain of targets sorted by ID.
func splitByDomain(list []*Target) domainLists {
	lists := make(domainLists)
	for _, tg := range list {
		lists[tg.Domain] = append(lists[tg.Domain], tg)
	}
	return lists
}

// TargetCount returns the number of targets in service.
func (t *Table) TargetCount() int { return t.targetCount }

// Build makes a table from records. regions maps each failure domain to its region;
// targets in other domains are left out.
func Build(records []Record, regions map[pimentoregister.DomainName]pimentoregister.RegionName) *Table {
	t := &Table{
		Targets:      make(map[pimentoregister.ServiceName][]*Target),
		OutDomains:   make(map[pimentoregister.DomainName]bool),
		domains:      make(map[pimentoregister.ServiceName]domainLists),
		routesByHost: make(map[string][]*Route),
	}
	for _, r := range records {
		switch {
		case r.Config != nil:
			t.Config = r.Config
		case r.Out != "":
			t.OutDomains[r.Out] = true
		}
	}
	for _, r := range records {
		if r.Target != nil {
			t.addTarget(r.Target, regions)
		}
	}
	for name, list := range t.Targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
		t.domains[name] = splitByDomain(list)
	}
	if t.Config != nil {
		t.indexRoutes()
		t.Config.index.Do(t.Config.indexOnce)
		t.keys = t.Config.keys
		t.indexShared()
	}
	return t
}

// addTarget adds a target if it is in service.
func (t *Table) addTarget(tg *Target, regions map[pimentoregister.DomainName]pimentoregister.RegionName) {
	if placed := t.place(tg, regions); placed != nil {
		t.Targets[tg.Service] = append(t.Targets[tg.Service], placed)
		t.targetCount++
	}
}

// place returns a target with its region. It returns nil if the target isn't in service: it
// is leaving, its domain is out of service, or the region of its domain is unknown.
func (t *Table) place(tg *Target, regions map[pimentoregister.DomainName]pimentoregister.RegionName) *Target {
	region, known := regions[tg.Domain]
	if tg.Leaving || t.OutDomains[tg.Domain] || !known {
		return nil
	}
	placed := *tg
	placed.Region = region
	return &placed
}

// indexRoutes fills routesByHost.
func (t *Table) indexRoutes() {
	for _, r := range t.Config.Routes {
		host := hostKey(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortFunc(list, compareRoutes)
	}
}

// compareRoutes orders the routes of one host: longest prefix first. Of routes with the same
// prefix, those with home regions come first, then the names decide, so that all entries choose
// the same one.
func compareRoutes(a, b *Route) int {
	return cmp.Or(
		cmp.Compare(len(b.Prefix), len(a.Prefix)),
		cmp.Compare(min(1, len(b.Homes)), min(1, len(a.Homes))),
		cmp.Compare(a.Name, b.Name),
	)
}

// indexOnce sets the fields that are derived from the published ones.
func (c *Config) indexOnce() {
	c.keys = newKeyIndex(c)
	for _, r := range c.Routes {
		c.hasHomes = c.hasHomes || len(r.Homes) > 0
	}
	for _, o := range c.Organisations {
		c.hasHomes = c.hasHomes || len(o.Homes) > 0
	}
}

// HasHomes reports whether a route or an organisation of the configuration has home regions.
func (t *Table) HasHomes() bool { return t.Config != nil && t.Config.hasHomes }

// Organisation returns the organisation that holds a key, or nil.
func (t *Table) Organisation(d Digest) *Organisation { return t.keys.find(d) }

// NeedsKey reports whether requests of a route need the key of an organisation.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Config.Organisations) > 0 && !r.Public }

// Match returns the route of a request, or nil if none matches. The host may have a
// port, and the path a query.
func (t *Table) Match(host, path string) *Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.routesByHost[hostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostKey returns what hosts are compared by: requests and routes may name a port, which doesn't
// tell routes apart.
func hostKey(host string) string { return strings.ToLower(withoutPort(host)) }

// withoutPort returns a host without its port. The colons within the brackets of an IPv6 address
// begin none.
func withoutPort(host string) string {
	end := strings.LastIndexByte(host, ']') + 1
	name, _, _ := strings.Cut(host[end:], ":")
	return host[:end] + name
}
