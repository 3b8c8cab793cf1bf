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

func TestGoneIsToldAndRefuted(t *testing.T) {
	is := is.New(t)
	a, b, c := NewGossipMembership(member("a", "d", 1)), NewGossipMembership(member("b", "d", 1)), NewGossipMembership(member("c", "e", 1))
	for _, r := range []*GossipMembership{a, b, c} {
		r.Merge(0, []Member{a.Self(), b.Self(), c.Self()})
	}
	is.Equal(a.LiveCount(), 3)
	a.Expire(0)
	later := goneTerm + time.Millisecond
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
func TestShortRecords(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	b := member("b", "d", 1)
	r.MergeDirect(0, b.LivenessRecord())
	is.Equal(r.LiveCount(), 1)
	r.MergeDirect(0, b)
	r.Expire(0)
	r.MergeDirect(goneTerm, b.LivenessRecord())
	r.Expire(goneTerm + 1)
	is.Equal(r.LiveCount(), 2)
	is.Equal(r.OtherRecords()[0].Address, "b")
	other := member("b", "d", 7)
	r.MergeDirect(2*goneTerm, other.LivenessRecord()) // Of another run.
	r.Expire(2*goneTerm + 1)
	is.Equal(r.LiveCount(), 1)
}

// An entry that stood still doesn't take its neighbours for gone, but those that
// it doesn't hear afterwards.
func TestResume(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	r.MergeDirect(0, member("b", "d", 1))
	r.Expire(0)
	woke := 4 * goneTerm
	r.Resume(woke)
	r.Expire(woke)
	is.Equal(r.LiveCount(), 2)
	r.Expire(woke + goneTerm + 1)
	is.Equal(r.LiveCount(), 1)
}

func TestRestartGoesBeforeTheOldRun(t *testing.T) {
	is := is.New(t)
	peer := NewGossipMembership(member("p", "d", 1))
	peer.MergeDirect(0, member("a", "d", 1000))
	a := NewGossipMembership(member("a", "d", 5)) // Restarted with an earlier clock.
	a.Merge(0, peer.OtherRecords())
	is.True(a.Self().Version > 1000)
	peer.MergeDirect(0, a.Self())
	is.Equal(peer.OtherRecords()[0].RunID, uint64(5))
}

func TestDomainSizeIsTheGreatestOfLate(t *testing.T) {
	is := is.New(t)
	r := NewGossipMembership(member("a", "d", 1))
	r.Merge(0, []Member{member("b", "d", 1), member("c", "d", 1)})
	r.Expire(0)
	r.Expire(goneTerm + 1)
	is.Equal(len(r.DomainMembers("d")), 1)
	is.Equal(r.PeakDomainSize(), 3)
	r.Expire(rosterMemory + goneTerm + 2)
	is.Equal(r.PeakDomainSize(), 1)
}

// Whatever the size of a domain, news reaches all of it in a few steps, also
// when any one entry is gone.
func TestRingIsShort(t *testing.T) {
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
					for _, m := range successors(ring, i) {
						j := int(m.Name[0] - 'A')
						for k := range ring {
							if ring[k].Name == m.Name {
								j = k
							}
						}
						for _, pair := range [][2]int{{i, j}, {j, i}} {
							if _, known := steps[pair[1]]; pair[0] == queue[0] && !known {
								steps[pair[1]] = steps[queue[0]] + 1
								queue = append(queue, pair[1])
							}
						}
					}
				}
			}
			for i := range ring {
				if d, known := steps[i]; !known || d > 2+n/6 {
					t.Fatalf("%d entries without %d: entry %d is %d steps away (reached %v)", n, gone, i, d, known)
				}
			}
		}
	}
}

// Rosters that hear each other in any order agree in the end, and none that is
// up counts as gone then.
func TestRostersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		rosters := make([]*GossipMembership, size)
		for i := range rosters {
			rosters[i] = NewGossipMembership(member(string(rune('a'+i)), "d", uint64(i+1)))
		}
		now := time.Duration(0)
		talk := func(i, j int) {
			rosters[j].MergeDirect(now, rosters[i].Self())
			rosters[j].Merge(now, rosters[i].OtherRecords())
		}
		pick := rapid.IntRange(0, size-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			i := pick.Draw(t, "from")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				rosters[i].Expire(now)
			case 1:
				old := rosters[i].Self()
				rosters[i] = NewGossipMembership(member(string(old.Name), "d", rapid.Uint64Range(1, 5).Draw(t, "version")))
			default:
				if j := pick.Draw(t, "to"); j != i {
					talk(i, j)
				}
			}
		}
		for range 4 {
			for i := range rosters {
				for j := range rosters {
					if i != j {
						talk(i, j)
					}
				}
			}
		}
		for i, r := range rosters {
			if r.LiveCount() != size {
				t.Fatalf("roster %d counts %d entries, want %d: %+v", i, r.LiveCount(), size, r.OtherRecords())
			}
			if r.Checksums() != rosters[0].Checksums() {
				t.Fatalf("rosters 0 and %d differ: %+v and %+v", i, append(rosters[0].OtherRecords(), rosters[0].Self()), append(r.OtherRecords(), r.Self()))
			}
		}
	})
}
