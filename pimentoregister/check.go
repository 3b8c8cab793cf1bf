package pimentoregister

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// maxNameLen is the length limit in bytes of every name.
const maxNameLen = 64

// Check returns every field of d whose value isn't allowed. It depends on
// nothing but d. A document without faults can be used for a View.
func Check(d *Document) []Violation {
	c := checker{}
	c.regions(d.Regions)
	c.services(d.Services)
	c.vms(d.VMs)
	c.organisations(d.Organisations)
	c.rules(&d.Rules)
	return c.faults
}

// Parse decodes and checks a document.
func Parse(data []byte) (*Document, error) {
	d, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if faults := Check(d); len(faults) > 0 {
		return nil, &Error{Op: "check", Kind: KindContent, Violations: faults}
	}
	return d, nil
}

// checker collects faults, and the names seen so far.
type checker struct {
	faults      []Violation
	regionSeen  map[RegionName]bool
	domainSeen  map[DomainName]bool
	serviceSeen map[ServiceName]bool
}

func (c *checker) fault(field string, value any, reason string, args ...any) {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(fmt.Sprint(value))
	}
	c.faults = append(c.faults, Violation{Field: field, Value: string(text), Reason: fmt.Sprintf(reason, args...)})
}

func (c *checker) name(field, name string, doubled bool) {
	switch {
	case name == "":
		c.fault(field, name, "a name is required")
	case len(name) > maxNameLen:
		c.fault(field, name, "the name has %d bytes, the limit is %d", len(name), maxNameLen)
	case !validName(name):
		c.fault(field, name, "a name has lower-case letters, digits, '.', '_' and '-' only")
	case doubled:
		c.fault(field, name, "the name stands twice")
	}
}

// validName reports whether a name begins with a letter or digit, and has only
// these and some marks.
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == '-'):
		default:
			return false
		}
	}
	return true
}

// atLeast checks that a number isn't below its lower limit.
func (c *checker) atLeast(field string, value, limit int64) {
	if value < limit {
		c.fault(field, value, "the lower limit is %d", limit)
	}
}

func (c *checker) regions(regions []Region) {
	c.regionSeen = make(map[RegionName]bool)
	c.domainSeen = make(map[DomainName]bool)
	if len(regions) == 0 {
		c.fault("regions", regions, "at least one region is required")
	}
	for i, r := range regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.name(field+".name", string(r.Name), c.regionSeen[r.Name])
		c.regionSeen[r.Name] = true
		if len(r.Domains) == 0 {
			c.fault(field+".domains", r.Domains, "a region needs a failure domain")
		}
		for j, d := range r.Domains {
			c.name(fmt.Sprintf("%s.domains[%d]", field, j), string(d), c.domainSeen[d])
			c.domainSeen[d] = true
		}
	}
}

func (c *checker) services(services []Service) {
	c.serviceSeen = make(map[ServiceName]bool)
	for i := range services {
		s := &services[i]
		field := fmt.Sprintf("services[%d]", i)
		c.name(field+".name", string(s.Name), c.serviceSeen[s.Name])
		c.serviceSeen[s.Name] = true
		c.service(field, s)
	}
}

func (c *checker) service(field string, s *Service) {
	switch s.Class {
	case ClassRead, ClassOnce, ClassBulk:
	default:
		c.fault(field+".class", s.Class, "the classes are read, once and bulk")
	}
	c.atLeast(field+".slots", int64(s.Slots), 1)
	c.atLeast(field+".connections", int64(s.MaxConnections), 1)
	c.atLeast(field+".cold", int64(s.ColdLimit), 1)
	c.atLeast(field+".warmup", int64(s.Warmup), 0)
	c.atLeast(field+".timeout", int64(s.Timeout), 1)
	if s.MaxConnections >= 1 && s.MaxConnections < s.Slots {
		c.fault(field+".connections", s.MaxConnections, "fewer connections than the %d slots", s.Slots)
	}
	if s.Slots >= 1 && s.ColdLimit > s.Slots {
		c.fault(field+".cold", s.ColdLimit, "more than the %d slots", s.Slots)
	}
	if s.ProbePath != "" {
		c.probe(field, s)
	}
	for j, status := range s.RefusalStatuses {
		if status < 400 || status > 599 {
			c.fault(fmt.Sprintf("%s.refusals[%d]", field, j), status, "a refusal has a status from 400 to 599")
		}
	}
}

func (c *checker) probe(field string, s *Service) {
	if !strings.HasPrefix(s.ProbePath, "/") {
		c.fault(field+".probe", s.ProbePath, "a path begins with '/'")
	}
	c.atLeast(field+".cost", int64(s.ProbeCost), 1)
	c.atLeast(field+".budget", int64(s.ProbeBudget), 1)
}

func (c *checker) vms(vms []VM) {
	names := make(map[VMName]bool)
	addresses := make(map[string]bool)
	for i := range vms {
		v := &vms[i]
		_, err := netip.ParseAddrPort(v.Address)
		sound := len(v.Name) > 0 && len(v.Name) <= maxNameLen && validName(string(v.Name)) && !names[v.Name] &&
			c.serviceSeen[v.Service] && c.domainSeen[v.Domain] && err == nil && !addresses[v.Address]
		if !sound {
			c.vm(fmt.Sprintf("vms[%d]", i), v, names[v.Name], addresses[v.Address])
		}
		names[v.Name] = true
		addresses[v.Address] = true
	}
}

// vm names the faults of one VM. Its field names are built for VMs with faults
// only, because a register has thousands of VMs without.
func (c *checker) vm(field string, v *VM, nameTwice, addressTwice bool) {
	c.name(field+".name", string(v.Name), nameTwice)
	if !c.serviceSeen[v.Service] {
		c.fault(field+".service", v.Service, "no such service")
	}
	if !c.domainSeen[v.Domain] {
		c.fault(field+".domain", v.Domain, "no such failure domain")
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		c.fault(field+".address", v.Address, "an address is IP:port")
	} else if addressTwice {
		c.fault(field+".address", v.Address, "the address stands twice")
	}
}

func (c *checker) organisations(orgs []Organisation) {
	names := make(map[OrganisationName]bool)
	for i, o := range orgs {
		field := fmt.Sprintf("organisations[%d]", i)
		c.name(field+".name", string(o.Name), names[o.Name])
		names[o.Name] = true
		seen := make(map[RegionName]bool)
		for j, r := range o.HomeRegions {
			c.reference(fmt.Sprintf("%s.home[%d]", field, j), string(r), "region", c.regionSeen[r], seen[r])
			seen[r] = true
		}
	}
}

// reference checks that a name refers to something and stands once in its list.
func (c *checker) reference(field, name, kind string, exists, doubled bool) {
	if !exists {
		c.fault(field, name, "no such %s", kind)
		return
	}
	if doubled {
		c.fault(field, name, "the %s stands twice", kind)
	}
}

func (c *checker) rules(r *Rules) {
	routes := make(map[Route]bool)
	for i, route := range r.OnceRoutes {
		field := fmt.Sprintf("rules.once[%d]", i)
		if !c.serviceSeen[route.Service] {
			c.fault(field+".service", route.Service, "no such service")
		}
		if route.Method == "" || route.Method != strings.ToUpper(route.Method) {
			c.fault(field+".method", route.Method, "a method is required, in upper case")
		}
		if route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/") {
			c.fault(field+".path", route.PathPrefix, "a path begins with '/'")
		}
		if routes[route] {
			c.fault(field, route, "the route stands twice")
		}
		routes[route] = true
	}
	seen := make(map[DomainName]bool)
	for i, d := range r.OutOfService {
		c.reference(fmt.Sprintf("rules.out[%d]", i), string(d), "failure domain", c.domainSeen[d], seen[d])
		seen[d] = true
	}
	c.atLeast("rules.links.capacity", int64(r.Links.CapacityMbps), 1)
}
