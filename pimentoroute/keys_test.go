package pimentoroute

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

// tableWithKeys returns a table of n organisations with a key each.
func tableWithKeys(n int) *Table {
	cfg := &Config{Version: 1, Organisations: make(map[pimentoregister.OrganisationName]*Organisation)}
	for i := range n {
		name := pimentoregister.OrganisationName(fmt.Sprint("o", i))
		cfg.Organisations[name] = &Organisation{Name: name, Keys: []Key{Key(fmt.Sprint("key-", i))}}
	}
	return Build([]Record{{Config: cfg}}, nil)
}

func TestKeyFindsItsOrganisation(t *testing.T) {
	is := is.New(t)
	table := tableWithKeys(1000)
	for i := range 1000 {
		is.Equal(string(table.Organisation(Key(fmt.Sprint("key-", i)).Digest()).Name), fmt.Sprint("o", i))
	}
	for _, key := range []Key{"", "key-", "key-1000", "KEY-1", "key-1 "} {
		is.True(table.Organisation(key.Digest()) == nil)
	}
}

// A lookup takes the same time for any number of keys.
func BenchmarkOrganisation(b *testing.B) {
	for _, n := range []int{1, 100, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := tableWithKeys(n)
			key := Key(fmt.Sprint("key-", n/2))
			b.ReportAllocs()
			for b.Loop() {
				if table.Organisation(key.Digest()) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

// The key that two organisations hold was one's or the other's by chance, and with it the home
// regions of its requests.
func TestKeyOfTwoOrganisations(t *testing.T) {
	is := is.New(t)
	free := &Organisation{Name: "a", Keys: []Key{"k"}}
	bound := &Organisation{Name: "b", Keys: []Key{"k"}, Homes: []pimentoregister.RegionName{"r"}}
	later := &Organisation{Name: "c", Keys: []Key{"k"}, Homes: []pimentoregister.RegionName{"s"}}
	for range 20 { // Each time in another order.
		ki := newKeyIndex(&Config{Organisations: map[pimentoregister.OrganisationName]*Organisation{"a": free, "b": bound, "c": later}})
		is.Equal(ki.find(Key("k").Digest()), bound)
	}
}
