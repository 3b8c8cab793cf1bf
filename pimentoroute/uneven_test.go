package pimentoroute

import (
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

func TestUneven(t *testing.T) {
	is := is.New(t)
	homes := []pimentoregister.RegionName{"r"}
	build := func(cfg *Config) *Table { return Build([]Record{{Config: cfg}}, nil) }
	safe := []*Route{{Name: "a", Kind: KindSafe}}
	is.True(!new(Table).Uneven())
	is.True(!build(&Config{Routes: safe}).Uneven())
	is.True(build(&Config{Routes: []*Route{{Name: "a", Kind: KindSafe}, {Name: "b", Kind: KindUpload}}}).Uneven())
	is.True(build(&Config{Routes: []*Route{{Name: "a", Kind: KindSafe, Homes: homes}}}).Uneven())
	organisation := func(o Organisation) map[pimentoregister.OrganisationName]*Organisation {
		return map[pimentoregister.OrganisationName]*Organisation{"o": &o}
	}
	is.True(!build(&Config{Routes: safe, Organisations: organisation(Organisation{})}).Uneven())
	bound := build(&Config{Routes: safe, Organisations: organisation(Organisation{Homes: homes})})
	is.True(bound.Uneven())
	is.True(bound.With([]Change{{New: &Target{ID: "x", Service: "s"}}}, nil).Uneven())
}
