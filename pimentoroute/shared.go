package pimentoroute

import (
	"fmt"
	"slices"

	"pimentoarch/pimentoregister"
)

// IsShared reports whether requests of different priority or with different home regions go
// to a service by the configuration, those of organisations included.
func (t *Table) IsShared(service pimentoregister.ServiceName) bool { return t.shared[service] }

// requestClass is what the requests of a route and an organisation are told apart by.
type requestClass struct {
	priority int
	homes    string // Sorted, of the route and of the organisation.
}

// indexShared fills shared.
func (t *Table) indexShared() {
	seen := make(map[pimentoregister.ServiceName]requestClass)
	t.shared = make(map[pimentoregister.ServiceName]bool)
	organisations := make(map[requestClass]*Organisation)
	for _, o := range t.Config.Organisations {
		organisations[classOf(o.Priority, o.Homes)] = o
	}
	add := func(r *Route, c requestClass) {
		for _, p := range r.Parts {
			if p.Weight <= 0 {
				continue
			}
			if first, known := seen[p.Service]; known && first != c {
				t.shared[p.Service] = true
			}
			seen[p.Service] = c
		}
	}
	for _, r := range t.Config.Routes {
		own := classOf(r.Priority, r.Homes)
		if !t.NeedsKey(r) {
			add(r, own)
		}
		for c := range organisations {
			add(r, requestClass{c.priority, own.homes + c.homes})
		}
	}
}

func classOf(priority int, homes []pimentoregister.RegionName) requestClass {
	homes = slices.Compact(slices.Sorted(slices.Values(homes)))
	return requestClass{priority, fmt.Sprintf("%q", homes)}
}
