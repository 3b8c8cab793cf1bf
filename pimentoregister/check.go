package pimentoregister

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// maxNameLen is the maximum length of a name in bytes.
const maxNameLen = 64

// Check returns all fields of d whose values aren't allowed. The result depends only
// on d. A document without violations can be used for a View.
func Check(d *Document) []Violation {
	c := checker{}
	c.checkRegions(d.Regions)
	c.checkServices(d.Services)
	c.checkVMs(d.VMs)
	c.checkOrganisations(d.Organisations)
	c.checkRules(&d.Rules)
	return c.violations
}

// Parse decodes and checks a document. For a document with violations it returns an
// *Error of KindContent that lists them; for other errors see Decode.
func Parse(data []byte) (*Document, error) {
	d, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if violations := Check(d); len(violations) > 0 {
		return nil, &Error{Op: "check", Kind: KindContent, Violations: violations}
	}
	return d, nil
}

// checker collects the violations and the names seen so far.
type checker struct {
	violations   []Violation
	seenRegions  map[RegionName]bool
	seenDomains  map[DomainName]bool
	seenServices map[ServiceName]bool
}

func (c *checker) addViolation(field string, value any, reason string, args ...any) {
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(fmt.Sprint(value))
	}
	c.violations = append(c.violations, Violation{Field: field, Value: string(text), Reason: fmt.Sprintf(reason, args...)})
}

func (c *checker) checkName(field, name string, duplicate bool) {
	switch {
	case name == "":
		c.addViolation(field, name, "a name is required")
	case len(name) > maxNameLen:
		c.addViolation(field, name, "the name has %d bytes, the limit is %d", len(name), maxNameLen)
	case !validName(name):
		c.addViolation(field, name, "a name has lower-case letters, digits, '.', '_' and '-' only")
	case duplicate:
		c.addViolation(field, name, "the name stands twice")
	}
}

// validName reports whether a name begins with a lower-case letter or digit and
// continues with these, '.', '_' and '-'.
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

// checkMin checks that a number isn't below its minimum.
func (c *checker) checkMin(field string, value, limit int64) {
	if value < limit {
		c.addViolation(field, value, "the lower limit is %d", limit)
	}
}

func (c *checker) checkRegions(regions []Region) {
	c.seenRegions = make(map[RegionName]bool)
	c.seenDomains = make(map[DomainName]bool)
	if len(regions) == 0 {
		c.addViolation("regions", regions, "at least one region is required")
	}
	for i, r := range regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.checkName(field+".name", string(r.Name), c.seenRegions[r.Name])
		c.seenRegions[r.Name] = true
		if len(r.Domains) == 0 {
			c.addViolation(field+".domains", r.Domains, "a region needs a failure domain")
		}
		for j, d := range r.Domains {
			c.checkName(fmt.Sprintf("%s.domains[%d]", field, j), string(d), c.seenDomains[d])
			c.seenDomains[d] = true
		}
	}
}

func (c *checker) checkServices(services []Service) {
	c.seenServices = make(map[ServiceName]bool)
	for i := range services {
		s := &services[i]
		field := fmt.Sprintf("services[%d]", i)
		c.checkName(field+".name", string(s.Name), c.seenServices[s.Name])
		c.seenServices[s.Name] = true
		c.checkService(field, s)
	}
}

func (c *checker) checkService(field string, s *Service) {
	switch s.Class {
	case ClassRead, ClassOnce, ClassBulk:
	default:
		c.addViolation(field+".class", s.Class, "the classes are read, once and bulk")
	}
	c.checkMin(field+".slots", int64(s.Slots), 1)
	c.checkMin(field+".connections", int64(s.MaxConnections), 1)
	c.checkMin(field+".cold", int64(s.ColdLimit), 1)
	c.checkMin(field+".warmup", int64(s.Warmup), 0)
	c.checkMin(field+".timeout", int64(s.Timeout), 1)
	if s.MaxConnections >= 1 && s.MaxConnections < s.Slots {
		c.addViolation(field+".connections", s.MaxConnections, "fewer connections than the %d slots", s.Slots)
	}
	if s.Slots >= 1 && s.ColdLimit > s.Slots {
		c.addViolation(field+".cold", s.ColdLimit, "more than the %d slots", s.Slots)
	}
	if s.ProbePath != "" {
		c.checkProbe(field, s)
	}
	for j, status := range s.RefusalStatuses {
		if status < 400 || status > 599 {
			c.addViolation(fmt.Sprintf("%s.refusals[%d]", field, j), status, "a refusal has a status from 400 to 599")
		}
	}
}

func (c *checker) checkProbe(field string, s *Service) {
	if !strings.HasPrefix(s.ProbePath, "/") {
		c.addViolation(field+".probe", s.ProbePath, "a path begins with '/'")
	}
	c.checkMin(field+".cost", int64(s.ProbeCost), 1)
	c.checkMin(field+".budget", int64(s.ProbeBudget), 1)
}

func (c *checker) checkVMs(vms []VM) {
	names := make(map[VMName]bool)
	addresses := make(map[string]bool)
	for i := range vms {
		v := &vms[i]
		_, err := netip.ParseAddrPort(v.Address)
		valid := len(v.Name) > 0 && len(v.Name) <= maxNameLen && validName(string(v.Name)) && !names[v.Name] &&
			c.seenServices[v.Service] && c.seenDomains[v.Domain] && err == nil && !addresses[v.Address]
		if !valid {
			c.checkVM(fmt.Sprintf("vms[%d]", i), v, names[v.Name], addresses[v.Address])
		}
		names[v.Name] = true
		addresses[v.Address] = true
	}
}

// checkVM adds the violations of one VM. It is called only for VMs that have any, so that
// no field names are built for the others: a register has thousands of VMs.
func (c *checker) checkVM(field string, v *VM, duplicateName, duplicateAddress bool) {
	c.checkName(field+".name", string(v.Name), duplicateName)
	if !c.seenServices[v.Service] {
		c.addViolation(field+".service", v.Service, "no such service")
	}
	if !c.seenDomains[v.Domain] {
		c.addViolation(field+".domain", v.Domain, "no such failure domain")
	}
	if _, err := netip.ParseAddrPort(v.Address); err != nil {
		c.addViolation(field+".address", v.Address, "an address is IP:port")
	} else if duplicateAddress {
		c.addViolation(field+".address", v.Address, "the address stands twice")
	}
}

func (c *checker) checkOrganisations(orgs []Organisation) {
	names := make(map[OrganisationName]bool)
	for i, o := range orgs {
		field := fmt.Sprintf("organisations[%d]", i)
		c.checkName(field+".name", string(o.Name), names[o.Name])
		names[o.Name] = true
		seen := make(map[RegionName]bool)
		for j, r := range o.HomeRegions {
			c.checkReference(fmt.Sprintf("%s.home[%d]", field, j), string(r), "region", c.seenRegions[r], seen[r])
			seen[r] = true
		}
	}
}

// checkReference checks that a name refers to an existing object and occurs once in its
// list.
func (c *checker) checkReference(field, name, kind string, exists, duplicate bool) {
	if !exists {
		c.addViolation(field, name, "no such %s", kind)
		return
	}
	if duplicate {
		c.addViolation(field, name, "the %s stands twice", kind)
	}
}

func (c *checker) checkRules(r *Rules) {
	routes := make(map[Route]bool)
	for i, route := range r.OnceRoutes {
		field := fmt.Sprintf("rules.once[%d]", i)
		if !c.seenServices[route.Service] {
			c.addViolation(field+".service", route.Service, "no such service")
		}
		if route.Method == "" || route.Method != strings.ToUpper(route.Method) {
			c.addViolation(field+".method", route.Method, "a method is required, in upper case")
		}
		if route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/") {
			c.addViolation(field+".path", route.PathPrefix, "a path begins with '/'")
		}
		if routes[route] {
			c.addViolation(field, route, "the route stands twice")
		}
		routes[route] = true
	}
	seen := make(map[DomainName]bool)
	for i, d := range r.OutOfService {
		c.checkReference(fmt.Sprintf("rules.out[%d]", i), string(d), "failure domain", c.seenDomains[d], seen[d])
		seen[d] = true
	}
	c.checkMin("rules.links.capacity", int64(r.Links.CapacityMbps), 1)
}
