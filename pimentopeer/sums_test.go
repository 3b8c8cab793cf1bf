package pimentopeer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Two rosters that tell each other the parts that differ know the same
// afterwards, whatever they knew before.
func TestDifferingPartsSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("b", "d", 1))
		for _, r := range []*GossipMembership{a, b} {
			for i := range rapid.IntRange(0, 300).Draw(t, "members") {
				m := member(fmt.Sprint("m", i), "d", rapid.Uint64Range(1, 3).Draw(t, "version"))
				m.Down = rapid.Bool().Draw(t, "gone")
				r.Merge(0, []Member{m})
			}
		}
		a.MergeDirect(0, b.Self())
		b.MergeDirect(0, a.Self())
		sums := a.Checksums()
		a.Merge(0, b.DifferingRecords(&sums))
		sums = b.Checksums()
		b.Merge(0, a.DifferingRecords(&sums))
		if a.Checksums() != b.Checksums() {
			t.Fatalf("%+v and %+v differ", a.OtherRecords(), b.OtherRecords())
		}
	})
}

// One change among many members is told with few others.
func TestOneChangeIsToldAlone(t *testing.T) {
	a, b := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("a", "d", 1))
	for i := range 1000 {
		m := []Member{member(fmt.Sprint("m", i), "d", 1)}
		a.Merge(0, m)
		b.Merge(0, m)
	}
	sums := b.Checksums()
	if n := len(a.DifferingRecords(&sums)); n != 0 {
		t.Fatalf("%d members are told of equal rosters", n)
	}
	a.Merge(0, []Member{member("m7", "d", 2)})
	told := a.DifferingRecords(&sums)
	if len(told) > 1000/sumParts*3 {
		t.Errorf("%d of 1000 members are told for one change", len(told))
	}
	b.Merge(0, told)
	if a.Checksums() != b.Checksums() {
		t.Error("the change isn't among what is told")
	}
}
