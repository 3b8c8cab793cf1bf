package pimentoroute

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

// A table after any changes of targets equals one that is built from all records, and the
// table before it stays the same.
func TestChangedTableEqualsBuilt(t *testing.T) {
	regions := map[pimentoregister.DomainName]pimentoregister.RegionName{"d": "r", "out": "r"}
	drawTarget := func(t *rapid.T, id string) *Target {
		if rapid.Bool().Draw(t, "removed") {
			return nil
		}
		return &Target{
			ID: TargetID(id), Service: rapid.SampledFrom([]pimentoregister.ServiceName{"s", "u"}).Draw(t, "service"),
			Address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address"),
			Domain:  rapid.SampledFrom([]pimentoregister.DomainName{"d", "out", "unknown"}).Draw(t, "domain"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		records := map[string]*Target{}
		build := func() *Table {
			list := []Record{{Out: "out"}}
			for _, tg := range records {
				if tg != nil {
					list = append(list, Record{Target: tg})
				}
			}
			return Build(list, regions)
		}
		table := build()
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			before := build()
			var changes []Change
			for range rapid.IntRange(0, 5).Draw(t, "changes") {
				id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
				tg := drawTarget(t, id)
				changes = append(changes, Change{Old: records[id], New: tg})
				records[id] = tg
			}
			next := table.With(changes, regions)
			if !reflect.DeepEqual(table, before) {
				t.Fatalf("the table before the changes %+v has become %+v", before, table)
			}
			if want := build(); !reflect.DeepEqual(next, want) {
				t.Fatalf("after %+v: %+v, want %+v", changes, next, want)
			}
			table = next
		}
	})
}
