package pimentospread

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoregister"
)

// testDomains returns n domains of as many regions, as seen from domain own.
func testDomains(n, regions, own int) []Domain {
	var list []Domain
	region := func(i int) pimentoregister.RegionName {
		return pimentoregister.RegionName(fmt.Sprint("r", i*regions/n))
	}
	for i := range n {
		d := Domain{Name: pimentoregister.DomainName(fmt.Sprintf("d%02d", i)), Region: region(i), Distance: OtherRegion}
		switch {
		case i == own:
			d.Distance = SameDomain
		case region(i) == region(own):
			d.Distance = SameRegion
		}
		list = append(list, d)
	}
	return list
}

const testService = "s"

func roomKey(i int) RoomKey {
	return RoomKey{Service: testService, Domain: pimentoregister.DomainName(fmt.Sprintf("d%02d", i))}
}

// TestMergeIsThatOfTheOracle states figures of several entries in drawn orders, several times
// and over other entries, to three views. Each must hold the newest figure that it received,
// whatever came first, and all the same one at the end.
func TestMergeIsThatOfTheOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type stated struct {
			key  RoomKey
			room Room
		}
		var all []stated
		numbers := make(map[uint32]uint32)
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "figures") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "ms")) * time.Millisecond
			origin := uint32(rapid.IntRange(1, 3).Draw(t, "origin"))
			numbers[origin]++
			all = append(all, stated{roomKey(rapid.IntRange(0, 1).Draw(t, "domain")), Room{
				Stamp: Stamp{Origin: origin, Number: numbers[origin], At: now},
				Busy:  Permille(rapid.IntRange(0, 2000).Draw(t, "busy")),
			}})
		}
		oracle := make(map[RoomKey]Room)
		for _, s := range all {
			old, ok := oracle[s.key]
			newer := s.room.At > old.At || s.room.At == old.At && (s.room.Origin > old.Origin || s.room.Origin == old.Origin && s.room.Number > old.Number)
			if !ok || newer {
				oracle[s.key] = s.room
			}
		}
		views := []*View{NewView(11, testDomains(2, 1, 0)), NewView(12, testDomains(2, 1, 0)), NewView(13, testDomains(2, 1, 1))}
		for _, v := range views {
			order := rapid.Permutation(all).Draw(t, "order")
			for _, s := range slices.Concat(order, order[:len(order)/2]) {
				v.MergeRoom(s.key, s.room)
			}
		}
		for _, from := range views {
			for _, to := range views {
				from.EachRoom(now, 10, to.MergeRoom)
			}
		}
		for _, v := range views {
			for key, want := range oracle {
				if got, ok := v.Room(now, key); !ok || got != want {
					t.Fatalf("%v: got %v, want %v", key, got, want)
				}
			}
		}
	})
}

// TestCopyDoesNotMakeAFigureYounger sends a figure to and fro between two entries whose
// messages take a while. Its age must not lose that time again and again.
func TestCopyDoesNotMakeAFigureYounger(t *testing.T) {
	is := is.New(t)
	const way = 40 * time.Millisecond
	views := [2]*View{NewView(1, testDomains(2, 1, 0)), NewView(2, testDomains(2, 1, 1))}
	views[0].MergeRoom(roomKey(0), Room{Stamp: Stamp{Origin: 9, Number: 1}, Busy: 500})
	now := time.Duration(0)
	for i := range 200 {
		from, to := views[i%2], views[(i+1)%2]
		from.EachRoom(now, 10, func(key RoomKey, r Room) {
			age := now - r.At
			r.At = now + way - age
			to.MergeRoom(key, r)
		})
		now += way
	}
	_, fresh := views[0].Room(now, roomKey(0))
	is.True(!fresh)
	_, fresh = views[1].Room(now, roomKey(0))
	is.True(!fresh)
}

// TestFigureIsAMeanOverSlots checks that the reports of one target, seen twice, count no more
// than those of others, and that few reports make no figure.
func TestFigureIsAMeanOverSlots(t *testing.T) {
	is := is.New(t)
	v := NewView(1, testDomains(2, 1, 0))
	for i := range minReports - 1 {
		v.Observe(time.Duration(i)*stateInterval, roomKey(0), Report{Running: 3, Slots: 6, Slowdown: 100})
	}
	_, ok := v.Room(2*stateInterval, roomKey(0))
	is.True(!ok)
	v.Observe(3*stateInterval, roomKey(0), Report{Running: 6, Waiting: 3, Slots: 6, Slowdown: 300})
	r, ok := v.Room(3*stateInterval, roomKey(0))
	is.True(ok)
	is.Equal(r.Busy, Permille(750))
	is.Equal(r.Slowdown, Percent(150))
}

func TestPruneDropsTheOldAndTheUnknown(t *testing.T) {
	is := is.New(t)
	v := NewView(1, testDomains(2, 1, 0))
	known := func(name pimentoregister.ServiceName) bool { return name == testService }
	v.MergeRoom(roomKey(0), Room{Stamp: Stamp{At: 0}})
	v.MergeRoom(roomKey(1), Room{Stamp: Stamp{At: time.Hour}})
	v.MergeRoom(RoomKey{Service: "gone", Domain: "d00"}, Room{Stamp: Stamp{At: time.Hour}})
	v.StateShortage(0, RegionKey{Service: testService, Region: "r0"}, 500)
	v.Prune(time.Hour, known)
	is.Equal(len(v.rooms), 1)
	is.Equal(len(v.shortages), 0)
}
