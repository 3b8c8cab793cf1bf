package pimentoroute

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pimentoarch/pimentoregister"
)

type (
	// RouteName names a route.
	RouteName string
	// TargetID names one start of a target.
	TargetID string
	// Version numbers the configurations.
	Version uint64
)

// Kind says what may be repeated.
type Kind uint8

const (
	// KindSafe requests may run more than once.
	KindSafe Kind = iota + 1
	// KindUnsafe requests may run once at the most.
	KindUnsafe
	// KindBulk requests are safe ones with large answers.
	KindBulk
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindBulk:
		return "bulk"
	}
	return "unknown"
}

// Route says what happens to the requests of one host under one path prefix.
type Route struct {
	Name   RouteName
	Host   string // Lower case, without a port.
	Prefix string // Begins and ends with a slash.
	Kind   Kind
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	// Parts are the services that share the requests by weight.
	Parts []SplitService
	// Attempts bounds the targets to which one request is sent.
	Attempts int
	// Homes are the regions that may serve the requests. Empty means all.
	Homes []pimentoregister.RegionName
}

// Allows reports whether a region may serve the route's requests.
func (r *Route) Allows(region pimentoregister.RegionName) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// SplitService is one service's share of a route.
type SplitService struct {
	Service pimentoregister.ServiceName
	Weight  int
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name pimentoregister.ServiceName
	// Health is the path that tells a target's load.
	Health string
	// MaxConns is the number of connections that one target accepts of all
	// entries together.
	MaxConns int
	// ColdRate is the number of requests a second that a cold target bears.
	ColdRate float64
	// ColdTerm is the time for which a target is cold after its start.
	ColdTerm time.Duration
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one configuration.
type Config struct {
	Version  Version
	Routes   []*Route
	Services map[pimentoregister.ServiceName]*Service
	Limits   Limits
}

// Target is a server as it is published.
type Target struct {
	ID      TargetID
	Service pimentoregister.ServiceName
	Address string // IP and port.
	Domain  pimentoregister.DomainName
	Region  pimentoregister.RegionName
	Slots   int
	// Leaving targets get no new requests.
	Leaving bool
	// ColdLeft is how much longer the target was cold when it said so.
	ColdLeft time.Duration
}

// Record is one published item: one of its fields is set.
type Record struct {
	Config *Config
	Target *Target
	// Out is a failure domain that is out of service.
	Out pimentoregister.DomainName
}

// Table is all that is published. It isn't changed once it is built.
type Table struct {
	// Config is in force. It is nil before the first one.
	Config *Config
	// Targets are those in service, by service, in the order of their ids.
	Targets map[pimentoregister.ServiceName][]*Target
	// OutDomains has the failure domains that are out of service.
	OutDomains map[pimentoregister.DomainName]bool

	hosts map[string][]*Route // Longest prefix first.
	size  int
}

// TargetCount is the number of targets in service.
func (t *Table) TargetCount() int { return t.size }

// Build makes a table of records. regions tells the region of each failure
// domain; targets in others aren't used.
func Build(records []Record, regions map[pimentoregister.DomainName]pimentoregister.RegionName) *Table {
	t := &Table{
		Targets:    make(map[pimentoregister.ServiceName][]*Target),
		OutDomains: make(map[pimentoregister.DomainName]bool),
		hosts:      make(map[string][]*Route),
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
	for _, list := range t.Targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	if t.Config != nil {
		t.index()
	}
	return t
}

func (t *Table) addTarget(tg *Target, regions map[pimentoregister.DomainName]pimentoregister.RegionName) {
	region, known := regions[tg.Domain]
	if tg.Leaving || t.OutDomains[tg.Domain] || !known {
		return
	}
	placed := *tg
	placed.Region = region
	t.Targets[tg.Service] = append(t.Targets[tg.Service], &placed)
	t.size++
}

func (t *Table) index() {
	for _, r := range t.Config.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route of a request, or nil. The host may have a port, and
// the path a query.
func (t *Table) Match(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
