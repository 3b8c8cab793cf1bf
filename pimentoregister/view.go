package pimentoregister

import (
	"slices"
	"strings"
)

// View is an index of an accepted document. It is immutable.
type View struct {
	// Revision is the document's revision. Zero means that there is no document.
	Revision Revision
	// Links limits the traffic between regions.
	Links Links

	services      map[ServiceName]*ServiceView
	homeRegions   map[OrganisationName][]RegionName
	domainRegions map[DomainName]RegionName
	outOfService  map[DomainName]bool
}

// ServiceView is a service with its targets and its non-idempotent routes.
type ServiceView struct {
	Service
	// Targets lists the service's VMs, sorted by name.
	Targets []TargetView
	// OnceRoutes lists the service's non-idempotent routes.
	OnceRoutes []Route
}

// TargetView is a VM with its region and the state of its failure domain.
type TargetView struct {
	VM
	// Region is the region of the VM's failure domain.
	Region RegionName
	// OutOfService is set while the VM's failure domain is out of service.
	OutOfService bool
}

// NewView indexes a document without violations. Services that are equal in prev are
// reused, so that callers can compare pointers to find out which services have
// changed. prev may be nil.
func NewView(d *Document, rev Revision, prev *View) *View {
	v := &View{
		Revision:      rev,
		Links:         d.Rules.Links,
		services:      make(map[ServiceName]*ServiceView, len(d.Services)),
		homeRegions:   make(map[OrganisationName][]RegionName, len(d.Organisations)),
		domainRegions: make(map[DomainName]RegionName),
		outOfService:  make(map[DomainName]bool, len(d.Rules.OutOfService)),
	}
	for _, r := range d.Regions {
		for _, name := range r.Domains {
			v.domainRegions[name] = r.Name
		}
	}
	for _, name := range d.Rules.OutOfService {
		v.outOfService[name] = true
	}
	for _, o := range d.Organisations {
		v.homeRegions[o.Name] = o.HomeRegions
	}
	v.indexServices(d)
	v.reuseServices(prev)
	return v
}

func (v *View) indexServices(d *Document) {
	for _, s := range d.Services {
		v.services[s.Name] = &ServiceView{Service: s}
	}
	for _, vm := range d.VMs {
		s := v.services[vm.Service]
		s.Targets = append(s.Targets, TargetView{VM: vm, Region: v.domainRegions[vm.Domain], OutOfService: v.outOfService[vm.Domain]})
	}
	for _, route := range d.Rules.OnceRoutes {
		s := v.services[route.Service]
		s.OnceRoutes = append(s.OnceRoutes, route)
	}
	for _, s := range v.services {
		slices.SortFunc(s.Targets, func(a, b TargetView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	}
}

// reuseServices replaces services by those of prev that are equal.
func (v *View) reuseServices(prev *View) {
	if prev == nil {
		return
	}
	for name, s := range v.services {
		if old := prev.services[name]; old != nil && old.equal(s) {
			v.services[name] = old
		}
	}
}

func (s *ServiceView) equal(other *ServiceView) bool {
	return s.equalSettings(other) && slices.Equal(s.Targets, other.Targets) && slices.Equal(s.OnceRoutes, other.OnceRoutes)
}

func (s *ServiceView) equalSettings(other *ServiceView) bool {
	a, b := s.Service, other.Service
	if !slices.Equal(a.RefusalStatuses, b.RefusalStatuses) {
		return false
	}
	a.RefusalStatuses, b.RefusalStatuses = nil, nil
	return a.Name == b.Name && a.Class == b.Class && a.Slots == b.Slots && a.MaxConnections == b.MaxConnections &&
		a.ColdLimit == b.ColdLimit && a.Warmup == b.Warmup && a.Timeout == b.Timeout && a.ProbePath == b.ProbePath &&
		a.ProbeCost == b.ProbeCost && a.ProbeBudget == b.ProbeBudget && a.BootHeader == b.BootHeader
}

// Service returns the named service, or nil.
func (v *View) Service(name ServiceName) *ServiceView { return v.services[name] }

// Services returns all services sorted by name.
func (v *View) Services() []*ServiceView {
	list := make([]*ServiceView, 0, len(v.services))
	for _, s := range v.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *ServiceView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return list
}

// HomeRegions returns the home regions of an organisation, and whether the register
// has the organisation. An empty list means any region.
func (v *View) HomeRegions(org OrganisationName) ([]RegionName, bool) {
	home, ok := v.homeRegions[org]
	return home, ok
}

// Allows reports whether requests of org may be served and stored in region. It is false
// for an organisation that the register doesn't have.
func (v *View) Allows(org OrganisationName, region RegionName) bool {
	home, ok := v.homeRegions[org]
	if !ok {
		return false
	}
	return len(home) == 0 || slices.Contains(home, region)
}

// IsOutOfService reports whether a failure domain is out of service.
func (v *View) IsOutOfService(d DomainName) bool { return v.outOfService[d] }

// IsNonIdempotent reports whether a request to path below the service is non-idempotent.
func (s *ServiceView) IsNonIdempotent(method, path string) bool {
	for _, r := range s.OnceRoutes {
		if r.Method == method && strings.HasPrefix(path, r.PathPrefix) {
			return true
		}
	}
	return false
}

// IsRefusal reports whether a target's status means that it did not execute the
// request.
func (s *ServiceView) IsRefusal(status int) bool {
	return slices.Contains(s.RefusalStatuses, status)
}
