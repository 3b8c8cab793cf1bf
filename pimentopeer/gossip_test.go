package pimentopeer

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

func member(name, domain string, version uint64) Member {
	return Member{Name: pimentotarget.EntryName(name), Domain: pimentoregister.DomainName(domain), Region: "r", RunID: version, Version: version, Address: name}
}

// TestDownRecordIsRefuted checks that a member that receives a record that wrongly marks
// it as down raises its version, and that its new record replaces the wrong one.
func TestDownRecordIsRefuted(t *testing.T) {
	is := is.New(t)
	a, b, c := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("b", "d", 1)), NewGossipMembership(member("c", "e", 1))
	for _, g := range []*GossipMembership{a, b, c} {
		g.Merge(0, []Member{a.Self(), b.Self(), c.Self()})
	}
	is.Equal(a.LiveCount(), 3)
	a.Expire(0)
	later := downTimeout + time.Millisecond
	a.Expire(later)
	is.Equal(a.LiveCount(), 2)       // b is marked as down; c is in another domain.
	c.Merge(later, a.OtherRecords()) // c receives the wrong record of b.
	is.Equal(c.LiveCount(), 2)
	b.Merge(later, c.OtherRecords()) // b receives it from c.
	is.True(b.Self().Version > 1)
	a.MergeDirect(later, b.Self())
	is.Equal(a.LiveCount(), 3)
	is.Equal(a.PeakDomainSize(), 2)
}

// TestLivenessRecords checks that a liveness record restarts the timeout of a known
// member and adds no unknown one.
func TestLivenessRecords(t *testing.T) {
	is := is.New(t)
	g := NewGossipMembership(member("a", "d", 1))
	b := member("b", "d", 1)
	g.MergeDirect(0, b.LivenessRecord())
	is.Equal(g.LiveCount(), 1)
	g.MergeDirect(0, b)
	g.Expire(0)
	g.MergeDirect(downTimeout, b.LivenessRecord())
	g.Expire(downTimeout + 1)
	is.Equal(g.LiveCount(), 2)
	is.Equal(g.OtherRecords()[0].Address, "b")
	other := member("b", "d", 7)
	g.MergeDirect(2*downTimeout, other.LivenessRecord()) // Of another run of the process.
	g.Expire(2*downTimeout + 1)
	is.Equal(g.LiveCount(), 1)
}

// TestResume checks that an entry that was stalled marks as down only those neighbours
// from which it receives nothing afterwards.
func TestResume(t *testing.T) {
	is := is.New(t)
	g := NewGossipMembership(member("a", "d", 1))
	g.MergeDirect(0, member("b", "d", 1))
	g.Expire(0)
	resumed := 4 * downTimeout
	g.Resume(resumed)
	g.Expire(resumed)
	is.Equal(g.LiveCount(), 2)
	g.Expire(resumed + downTimeout + 1)
	is.Equal(g.LiveCount(), 1)
}

// TestRestartSupersedesOldRun checks that the record of a restarted entry replaces that
// of its earlier run even if its clock, and so its initial version, is behind.
func TestRestartSupersedesOldRun(t *testing.T) {
	is := is.New(t)
	peer := NewGossipMembership(member("p", "d", 1))
	peer.MergeDirect(0, member("a", "d", 1000))
	a := NewGossipMembership(member("a", "d", 5)) // Restarted with an earlier clock.
	a.Merge(0, peer.OtherRecords())
	is.True(a.Self().Version > 1000)
	peer.MergeDirect(0, a.Self())
	is.Equal(peer.OtherRecords()[0].RunID, uint64(5))
}

// TestPeakDomainSize checks that the peak remains after members went down, and only for
// memberRetention.
func TestPeakDomainSize(t *testing.T) {
	is := is.New(t)
	g := NewGossipMembership(member("a", "d", 1))
	g.Merge(0, []Member{member("b", "d", 1), member("c", "d", 1)})
	g.Expire(0)
	g.Expire(downTimeout + 1)
	is.Equal(len(g.DomainMembers("d")), 1)
	is.Equal(g.PeakDomainSize(), 3)
	g.Expire(memberRetention + downTimeout + 2)
	is.Equal(g.PeakDomainSize(), 1)
}

// TestRingDiameter checks that updates reach all of a domain of 2 to 60 entries within
// 2+n/6 hops, also when any one entry is down.
func TestRingDiameter(t *testing.T) {
	for n := 2; n <= 60; n++ {
		for down := range n {
			var ring []Member
			for i := range n {
				if i != down || n == 2 {
					ring = append(ring, member(string(rune('A'+i)), "d", 1))
				}
			}
			steps := map[int]int{0: 0}
			for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
				for i := range ring {
					for _, m := range ringSuccessors(ring, i) {
						j := int(m.Name[0] - 'A')
						for k := range ring {
							if ring[k].Name == m.Name {
								j = k
							}
						}
						for _, pair := range [][2]int{{i, j}, {j, i}} {
							if _, reached := steps[pair[1]]; pair[0] == queue[0] && !reached {
								steps[pair[1]] = steps[queue[0]] + 1
								queue = append(queue, pair[1])
							}
						}
					}
				}
			}
			for i := range ring {
				if d, reached := steps[i]; !reached || d > 2+n/6 {
					t.Fatalf("%d entries without entry %d: entry %d is %d hops away (reached %v)", n, down, i, d, reached)
				}
			}
		}
	}
}

// TestLargeRingDiameter checks that updates reach all of a large domain within few hops,
// whatever its size: each hop takes about 35 ms, and all of them together only a part of
// the time within which a change must be active.
func TestLargeRingDiameter(t *testing.T) {
	const maxHops = 9
	for _, n := range []int{25, 43, 64, 65, 129, 257, 400} {
		ring := make([]Member, n)
		for i := range ring {
			ring[i] = Member{Name: pimentotarget.EntryName(fmt.Sprint(i))}
		}
		neighbours := make([][]int, n)
		for i := range ring {
			for _, m := range ringSuccessors(ring, i) {
				j, err := strconv.Atoi(string(m.Name))
				if err != nil {
					t.Fatal(err)
				}
				neighbours[i] = append(neighbours[i], j)
				neighbours[j] = append(neighbours[j], i)
			}
		}
		hops := map[int]int{0: 0}
		farthest := 0
		for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
			farthest = hops[queue[0]]
			for _, j := range neighbours[queue[0]] {
				if _, reached := hops[j]; !reached {
					hops[j] = farthest + 1
					queue = append(queue, j)
				}
			}
		}
		if len(hops) < n || farthest > maxHops {
			t.Errorf("%d entries: %d reached, within %d hops, the limit is %d", n, len(hops), farthest, maxHops)
		}
	}
}

// TestMembershipsConverge checks that memberships that exchange records in any order
// agree in the end, and that none of them then marks a live entry as down.
func TestMembershipsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		memberships := make([]*GossipMembership, size)
		for i := range memberships {
			memberships[i] = NewGossipMembership(member(string(rune('a'+i)), "d", uint64(i+1)))
		}
		now := time.Duration(0)
		exchange := func(i, j int) {
			memberships[j].MergeDirect(now, memberships[i].Self())
			memberships[j].Merge(now, memberships[i].OtherRecords())
		}
		index := rapid.IntRange(0, size-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			i := index.Draw(t, "from")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				memberships[i].Expire(now)
			case 1:
				old := memberships[i].Self()
				memberships[i] = NewGossipMembership(member(string(old.Name), "d", rapid.Uint64Range(1, 5).Draw(t, "version")))
			default:
				if j := index.Draw(t, "to"); j != i {
					exchange(i, j)
				}
			}
		}
		for range 4 {
			for i := range memberships {
				for j := range memberships {
					if i != j {
						exchange(i, j)
					}
				}
			}
		}
		for i, g := range memberships {
			if g.LiveCount() != size {
				t.Fatalf("membership %d has %d live entries, want %d: %+v", i, g.LiveCount(), size, g.OtherRecords())
			}
			if g.Checksums() != memberships[0].Checksums() {
				t.Fatalf("memberships 0 and %d differ: %+v and %+v", i, append(memberships[0].OtherRecords(), memberships[0].Self()), append(g.OtherRecords(), g.Self()))
			}
		}
	})
}
