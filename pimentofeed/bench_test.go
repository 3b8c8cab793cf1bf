package pimentofeed

import (
	"fmt"
	"testing"
)

// benchItems is the number of published items in the benchmark, and benchDisputes the number
// of those that the store has lost.
const (
	benchItems    = 2000
	benchDisputes = 50
)

// restoredUpdates returns what the store has before, and after it came back from a copy.
func restoredUpdates() (before, after Update) {
	before, after = Update{Era: 1, Full: true, AsOf: benchItems}, Update{Era: 2, Full: true, AsOf: benchItems - benchDisputes}
	for i := range benchItems {
		it := Item{Key: fmt.Sprintf("servers/i-%06d", i), Value: make([]byte, 200), Revision: Revision(i + 1)}
		before.Items = append(before.Items, it)
		if it.Revision <= after.AsOf {
			after.Items = append(after.Items, it)
		}
	}
	return before, after
}

func BenchmarkEnterEra(b *testing.B) {
	before, after := restoredUpdates()
	b.ReportAllocs()
	for range b.N {
		b.StopTimer()
		s := new(State)
		s.Merge(0, before)
		b.StartTimer()
		s.Merge(0, after)
		if s.Disputed() != benchDisputes {
			b.Fatal(s.Disputed())
		}
	}
}

// BenchmarkDisputes encodes what an entry tells another one of its era about the disputes.
func BenchmarkDisputes(b *testing.B) {
	before, after := restoredUpdates()
	s := new(State)
	s.Merge(0, before)
	s.Merge(0, after)
	for range b.N {
		b.ReportMetric(float64(len(marshal(s.Since(0, s.At())))), "wire-B")
	}
}
