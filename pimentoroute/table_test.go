package pimentoroute

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

var regions = map[pimentoregister.DomainName]pimentoregister.RegionName{"a1": "a", "b1": "b"}

func config(routes ...*Route) Record {
	return Record{Config: &Config{Version: 1, Routes: routes}}
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	short := &Route{Name: "short", Host: "h", Prefix: "/a/"}
	long := &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	table := Build([]Record{config(short, long)}, regions)
	is.Equal(table.Match("h", "/a/b/c"), long)
	is.Equal(table.Match("H:80", "/a/x?y=/b/"), short)
	is.Equal(table.Match("h", "/a"), nil)
	is.Equal(table.Match("other", "/a/b/c"), nil)
}

// Match returns the route with the longest prefix in any order of routes.
func TestMatchAgainstSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.StringMatching(`[ab]{1,2}`)
		prefix := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(append(rapid.SliceOfN(segment, 0, 3).Draw(t, "p"), ""), "/")
		})
		seen := make(map[string]bool)
		var routes []*Route
		for _, p := range rapid.SliceOfN(prefix, 0, 8).Draw(t, "prefixes") {
			if !seen[p] {
				seen[p] = true
				routes = append(routes, &Route{Name: RouteName(p), Host: "h", Prefix: p})
			}
		}
		path := prefix.Draw(t, "path") + segment.Draw(t, "rest")
		var want *Route
		for _, r := range routes {
			if strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		if got := Build([]Record{config(routes...)}, regions).Match("h", path); got != want {
			t.Fatalf("path %q: got %+v, want %+v", path, got, want)
		}
	})
}

func TestTargetsInService(t *testing.T) {
	is := is.New(t)
	table := Build([]Record{
		{Target: &Target{ID: "2", Service: "s", Domain: "a1"}},
		{Target: &Target{ID: "1", Service: "s", Domain: "a1"}},
		{Target: &Target{ID: "3", Service: "s", Domain: "a1", Leaving: true}},
		{Target: &Target{ID: "4", Service: "s", Domain: "b1"}},
		{Target: &Target{ID: "5", Service: "s", Domain: "unknown"}},
		{Out: "b1"},
	}, regions)
	is.Equal(len(table.Targets["s"]), 2)
	is.Equal(table.Targets["s"][0].ID, TargetID("1"))
	is.Equal(table.Targets["s"][0].Region, pimentoregister.RegionName("a"))
}

func TestHomes(t *testing.T) {
	is := is.New(t)
	r := &Route{Homes: []pimentoregister.RegionName{"a"}}
	is.True(r.Allows("a"))
	is.True(!r.Allows("b"))
	is.True(new(Route).Allows("b"))
}

// After any number of requests, for any weights and initial Skip, the count of each
// service differs from its weighted share by at most the number of services.
func TestSplitIsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 4).Draw(t, "weights")
		var services []SplitService
		total := 0
		for i, w := range weights {
			services = append(services, SplitService{Service: pimentoregister.ServiceName(rune('a' + i)), Weight: w})
			total += w
		}
		if total == 0 || len(services) == 1 {
			return
		}
		var s Splitter
		s.Skip(services, rapid.IntRange(0, 30).Draw(t, "start"))
		got := make(map[pimentoregister.ServiceName]int)
		n := rapid.IntRange(1, 200).Draw(t, "requests")
		for range n {
			got[s.Next(services).Service]++
		}
		for _, p := range services {
			want := float64(n) * float64(p.Weight) / float64(total)
			if d := float64(got[p.Service]) - want; d > float64(len(services)) || d < -float64(len(services)) {
				t.Fatalf("service %s of weight %d has %d of %d, want %.1f", p.Service, p.Weight, got[p.Service], n, want)
			}
		}
	})
}

func TestSplitWithoutWeights(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.Equal(s.Next([]SplitService{{Service: "a"}, {Service: "b"}}), nil)
}

// Of two routes with the same host and prefix, each decode of a configuration chose another one,
// and with it other home regions.
func TestSamePrefixIsDecidedAlike(t *testing.T) {
	is := is.New(t)
	free := &Route{Name: "a", Host: "h", Prefix: "/x/"}
	bound := &Route{Name: "c", Host: "H:80", Prefix: "/x/", Homes: []pimentoregister.RegionName{"a"}}
	later := &Route{Name: "d", Host: "h", Prefix: "/x/", Homes: []pimentoregister.RegionName{"b"}}
	longer := &Route{Name: "e", Host: "h", Prefix: "/x/y/"}
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.Permutation([]*Route{free, bound, later, longer}).Draw(t, "routes")
		if got := Build([]Record{config(routes...)}, regions).Match("h", "/x/1"); got != bound {
			t.Fatalf("got %s, want %s", got.Name, bound.Name)
		}
	})
	is.Equal(Build([]Record{config(free, bound, longer)}, regions).Match("h", "/x/y/1"), longer)
}
