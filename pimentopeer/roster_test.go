package pimentopeer

import (
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

func TestDownRecordIsRefuted(t *testing.T) {
	is := is.New(t)
	a, b, c := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("b", "d", 1)), NewGossipMembership(member("c", "e", 1))
	for _, r := range []*GossipMembership{a, b, c} {
		r.Merge(0, []Member{a.Self(), b.Self(), c.Self()})
	}
	is.Equal(a.LiveCount(), 3)
	a.Expire(0)
	later := downTimeout + time.Millisecond
	a.Expire(later)
	is.Equal(a.LiveCount(), 2)       // b is gone; c is of another domain.
	c.Merge(later, a.OtherRecords()) // c hears it,
	is.Equal(c.LiveCount(), 2)       //
	b.Merge(later, c.OtherRecords()) // and b hears of itself.
	is.True(b.Self().Version > 1)    //
	a.MergeDirect(later, b.Self())
	is.Equal(a.LiveCount(), 3)
	is.Equal(a.PeakDomainSize(), 2)
}

// A short record keeps a known member from counting as gone, and adds none.
func TestLivenessRecords(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	b := member("b", "d", 1)
	r.MergeDirect(0, b.LivenessRecord())
	is.Equal(r.LiveCount(), 1)
	r.MergeDirect(0, b)
	r.Expire(0)
	r.MergeDirect(downTimeout, b.LivenessRecord())
	r.Expire(downTimeout + 1)
	is.Equal(r.LiveCount(), 2)
	is.Equal(r.OtherRecords()[0].Address, "b")
	other := member("b", "d", 7)
	r.MergeDirect(2*downTimeout, other.LivenessRecord()) // Of another run.
	r.Expire(2*downTimeout + 1)
	is.Equal(r.LiveCount(), 1)
}

// An entry that stood still doesn't take its neighbours for gone, but those that
// it doesn't hear afterwards.
func TestResume(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	r.MergeDirect(0, member("b", "d", 1))
	r.Expire(0)
	resumed := 4 * downTimeout
	r.Resume(resumed)
	r.Expire(resumed)
	is.Equal(r.LiveCount(), 2)
	r.Expire(resumed + downTimeout + 1)
	is.Equal(r.LiveCount(), 1)
}

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

func TestPeakDomainSize(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	r.Merge(0, []Member{member("b", "d", 1), member("c", "d", 1)})
	r.Expire(0)
	r.Expire(downTimeout + 1)
	is.Equal(len(r.DomainMembers("d")), 1)
	is.Equal(r.PeakDomainSize(), 3)
	r.Expire(memberRetention + downTimeout + 2)
	is.Equal(r.PeakDomainSize(), 1)
}

// Whatever the size of a domain, news reaches all of it in a few steps, also
// when any one entry is gone.
func TestRingDiameter(t *testing.T) {
	for n := 2; n <= 60; n++ {
		for gone := range n {
			var ring []Member
			for i := range n {
				if i != gone || n == 2 {
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
					t.Fatalf("%d entries without %d: entry %d is %d steps away (reached %v)", n, gone, i, d, reached)
				}
			}
		}
	}
}

// Rosters that hear each other in any order agree in the end, and none that is
// up counts as gone then.
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
		for i, r := range memberships {
			if r.LiveCount() != size {
				t.Fatalf("roster %d counts %d entries, want %d: %+v", i, r.LiveCount(), size, r.OtherRecords())
			}
			if r.Checksums() != memberships[0].Checksums() {
				t.Fatalf("rosters 0 and %d differ: %+v and %+v", i, append(memberships[0].OtherRecords(), memberships[0].Self()), append(r.OtherRecords(), r.Self()))
			}
		}
	})
}
