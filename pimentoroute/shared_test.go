package pimentoroute

import (
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

// A service is shared if requests of different priority or with different home regions go to
// it, those of organisations included.
func TestSharedServices(t *testing.T) {
	route := func(service pimentoregister.ServiceName, priority int, homes ...pimentoregister.RegionName) *Route {
		return &Route{Priority: priority, Homes: homes, Parts: []SplitService{{Service: service, Weight: 1}}}
	}
	public := route("s", 1)
	public.Public = true
	spare := route("s", 2)
	spare.Parts[0].Weight = 0
	type organisations map[pimentoregister.OrganisationName]*Organisation
	for _, c := range []struct {
		name          string
		routes        []*Route
		organisations organisations
		shared        bool
	}{
		{"one route", []*Route{route("s", 1)}, nil, false},
		{"two like routes", []*Route{route("s", 1, "a", "b"), route("s", 1, "b", "a")}, nil, false},
		{"two priorities", []*Route{route("s", 1), route("s", 2)}, nil, true},
		{"two priorities at two services", []*Route{route("s", 1), route("t", 2)}, nil, false},
		{"other homes", []*Route{route("s", 1), route("s", 1, "a")}, nil, true},
		{"a part without weight", []*Route{route("s", 1), spare}, nil, false},
		{"two organisations", []*Route{route("s", 1)}, organisations{"x": {Priority: 1}, "y": {Priority: 2}}, true},
		{"like organisations", []*Route{route("s", 1), route("s", 2)}, organisations{"x": {Priority: 1}, "y": {Priority: 1}}, false},
		{"organisations with other homes", []*Route{route("s", 1)}, organisations{"x": {Homes: []pimentoregister.RegionName{"a"}}, "y": {}}, true},
		{"a public route and an organisation", []*Route{route("s", 1), public}, organisations{"x": {Priority: 2}}, true},
		// A key also counts where none is needed.
		{"two organisations on a public route", []*Route{public}, organisations{"x": {Priority: 1}, "y": {Priority: 2}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := Build([]Record{{Config: &Config{Routes: c.routes, Organisations: c.organisations}}}, nil)
			is.Equal(table.IsShared("s"), c.shared)
			is.Equal(table.With(nil, nil).IsShared("s"), c.shared)
		})
	}
}
