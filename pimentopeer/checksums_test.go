package pimentopeer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDifferingRecordsSuffice checks that any two memberships agree after they have
// exchanged the records of the buckets that differ.
func TestDifferingRecordsSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("b", "d", 1))
		for _, g := range []*GossipMembership{a, b} {
			for i := range rapid.IntRange(0, 300).Draw(t, "members") {
				m := member(fmt.Sprint("m", i), "d", rapid.Uint64Range(1, 3).Draw(t, "version"))
				m.Down = rapid.Bool().Draw(t, "gone")
				g.Merge(0, []Member{m})
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

// TestOneChangeSendsFewRecords checks that one change among many members sends only a few
// records.
func TestOneChangeSendsFewRecords(t *testing.T) {
	a, b := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("a", "d", 1))
	for i := range 1000 {
		m := []Member{member(fmt.Sprint("m", i), "d", 1)}
		a.Merge(0, m)
		b.Merge(0, m)
	}
	sums := b.Checksums()
	if n := len(a.DifferingRecords(&sums)); n != 0 {
		t.Fatalf("%d records would be sent between equal memberships", n)
	}
	a.Merge(0, []Member{member("m7", "d", 2)})
	sent := a.DifferingRecords(&sums)
	if len(sent) > 1000/checksumBuckets*3 {
		t.Errorf("%d of 1000 records would be sent for one change", len(sent))
	}
	b.Merge(0, sent)
	if a.Checksums() != b.Checksums() {
		t.Error("the change isn't among the records sent")
	}
}
