package pimentospread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoregister"
)

// query returns a request of the test service that all domains may serve.
func query() Query {
	return Query{Service: testService, Left: time.Second, Usual: 200 * time.Millisecond, Allowed: everywhere, Draw: 0.5, Second: 0.01}
}

// loaded returns a view of domain 0 of two regions with two domains each, with loads.
func loaded(now time.Duration, busy ...Permille) *View {
	v := NewView(1, testDomains(4, 2, 0))
	for i, b := range busy {
		v.MergeRoom(roomKey(i), Room{Stamp: Stamp{Origin: 2, Number: 1, At: now}, Busy: b, Slowdown: usualSlowdown})
	}
	return v
}

func hundred(pimentoregister.DomainName) int { return 100 }

// TestFreeRequestsMakeWay answers bound requests that are refused while free kinds have room
// elsewhere: the free ones leave the region, the bound ones don't.
func TestFreeRequestsMakeWay(t *testing.T) {
	is := is.New(t)
	v := loaded(0, 950, 950, 100, 100)
	v.StateShortage(0, RegionKey{Service: testService, Region: "r0"}, 200)
	for i := range 20 {
		v.Step(time.Duration(i)*stepInterval, testService, everywhere, 0, hundred)
		for j, b := range []Permille{950, 950, 100, 100} {
			v.MergeRoom(roomKey(j), Room{Stamp: Stamp{Origin: 2, Number: uint32(i + 2), At: time.Duration(i+1) * stepInterval}, Busy: b})
		}
		v.StateShortage(time.Duration(i+1)*stepInterval, RegionKey{Service: testService, Region: "r0"}, 200)
	}
	now := 19 * stepInterval
	q := query()
	c := v.Choose(now, &q)
	is.Equal(c.Reason, Yield)
	is.Equal(v.domains[c.Domain].Region, pimentoregister.RegionName("r1"))
	q.Bound, q.Allowed = true, 0b11
	v.Step(now, testService, q.Allowed, 0, hundred)
	c = v.Choose(now, &q)
	is.Equal(c.Reason, Nearest)
	// A request that can't be in time elsewhere stays.
	q = query()
	q.Left = 100 * time.Millisecond
	is.Equal(v.Choose(now, &q).Reason, Nearest)
	// Once the bound ones have room, the free ones come back in small steps.
	_, before := v.Shares(testService)
	for i := 20; i < 120; i++ {
		v.Step(time.Duration(i)*stepInterval, testService, everywhere, 0, hundred)
	}
	_, after := v.Shares(testService)
	is.Equal(before, 1.0)
	is.Equal(after, 0.0)
}

// TestOldFiguresLeaveTheChoiceAsItWas checks that neither shares nor full domains count once
// the figures are old or missing.
func TestOldFiguresLeaveTheChoiceAsItWas(t *testing.T) {
	is := is.New(t)
	v := loaded(0, 1500, 1500, 100, 100)
	for i := range 6 {
		v.Step(time.Duration(i)*stepInterval, testService, everywhere, 0, hundred)
	}
	q := query()
	is.Equal(v.Choose(5*stepInterval, &q).Reason, Even)
	old := 5*stepInterval + FreshLimit
	is.Equal(v.Choose(old, &q), Choice{}) // No step lately.
	v.Step(old, testService, everywhere, 0, hundred)
	is.Equal(v.Choose(old, &q), Choice{}) // No fresh figure.
	is.Equal(NewView(1, testDomains(4, 2, 0)).Choose(0, &q), Choice{})
	is.Equal(new(View).Choose(0, &q), Choice{})
}

// TestFullDomainsAreNotAsked answers domains that are full beside others with room.
func TestFullDomainsAreNotAsked(t *testing.T) {
	is := is.New(t)
	v := loaded(0, 700, 1200, 100, 1200)
	v.Step(0, testService, everywhere, 0, hundred)
	q := query()
	is.Equal(v.Choose(0, &q).Passed, uint64(0b1000)) // The one of the region is the nearest one.
	q.Bound, q.Allowed = true, 0b10
	v.Step(0, testService, q.Allowed, 0, hundred)
	is.Equal(v.Choose(0, &q).Passed, uint64(0)) // It may go nowhere else.
	v = loaded(0, 1200, 1200, 1200, 1200)
	v.Step(0, testService, everywhere, 0, hundred)
	q = query()
	is.Equal(v.Choose(0, &q).Passed, uint64(0)) // No room anywhere.
}

// TestManyDomains checks that more domains than MaxDomains leave the choice as it was.
func TestManyDomains(t *testing.T) {
	is := is.New(t)
	v := NewView(1, testDomains(MaxDomains+1, 3, 0))
	v.MergeRoom(roomKey(0), Room{Busy: 2000})
	v.Step(0, testService, everywhere, 0, hundred)
	q := query()
	is.Equal(v.Choose(0, &q), Choice{})
}

// BenchmarkChoose chooses among nine domains with 1,100 targets.
func BenchmarkChoose(b *testing.B) {
	v := NewView(1, testDomains(9, 3, 0))
	for i := range 9 {
		v.MergeRoom(roomKey(i), Room{Stamp: Stamp{Origin: 2, Number: 1}, Busy: Permille(300 + 150*(i%5))})
	}
	v.Step(0, testService, everywhere, 0, func(pimentoregister.DomainName) int { return 1100 / 9 * 6 })
	q := query()
	r := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		q.Draw, q.Second = r.Float64(), r.Float64()
		v.Choose(0, &q)
	}
}

// BenchmarkStep changes the shares of one service among nine domains.
func BenchmarkStep(b *testing.B) {
	v := NewView(1, testDomains(9, 3, 0))
	for i := range 9 {
		v.MergeRoom(roomKey(i), Room{Stamp: Stamp{Origin: 2, Number: 1}, Busy: Permille(300 + 150*(i%5))})
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Step(0, testService, everywhere, 0, func(pimentoregister.DomainName) int { return 1100 / 9 * 6 })
		v.services[testKey].stepped = false
	}
}

// TestRefusedRequestsFillDomains answers requests that are refused while other domains are
// nearly full: they go there, since a full domain is better than a refusal.
func TestRefusedRequestsFillDomains(t *testing.T) {
	is := is.New(t)
	for _, pressure := range []float64{0, 0.5} {
		v := loaded(0, 900, 900, 900, 900)
		v.Step(0, testService, everywhere, pressure, hundred)
		away, _ := v.Shares(testService)
		is.Equal(away > 0, pressure > 0)
	}
}

// TestRefusalsWithRoomMoveNothing answers targets that refuse requests although they have room,
// as failing ones do: those of other domains are no better.
func TestRefusalsWithRoomMoveNothing(t *testing.T) {
	is := is.New(t)
	v := loaded(0, 400, 300, 300, 300)
	v.Step(0, testService, everywhere, 0.5, hundred)
	away, _ := v.Shares(testService)
	is.Equal(away, 0.0)
}

// TestLargeBodiesStayInTheRegion answers uploads from a full region: they cross regions only
// while they are refused.
func TestLargeBodiesStayInTheRegion(t *testing.T) {
	is := is.New(t)
	for _, pressure := range []float64{0, 0.5} {
		v := loaded(0, 1500, 1500, 100, 100)
		v.Step(0, testService, everywhere, pressure, hundred)
		q := query()
		q.Large = true
		is.Equal(v.Choose(0, &q).Reason == Even, pressure > 0)
		q.Large = false
		is.Equal(v.Choose(0, &q).Reason, Even)
	}
}

// TestRequestsOfOtherHomesHaveOwnShares answers two kinds of requests to one service, of which
// one is bound to a full region: only the free ones leave it.
func TestRequestsOfOtherHomesHaveOwnShares(t *testing.T) {
	is := is.New(t)
	v := loaded(0, 1500, 1500, 100, 100)
	v.Step(0, testService, everywhere, 0, hundred)
	v.Step(0, testService, 0b11, 0, hundred)
	q := query()
	is.Equal(v.Choose(0, &q).Reason, Even)
	q.Bound, q.Allowed = true, 0b11
	is.Equal(v.Choose(0, &q).Reason, Nearest)
	is.Equal(v.services[shareKey{testService, 0b11}].away, [MaxDomains]float64{})
}

// TestOneFigureMovesLittle answers a figure that is far from the others, as a mistaken one is.
func TestOneFigureMovesLittle(t *testing.T) {
	is := is.New(t)
	v := loaded(0, MaxPermille, 100, 100, 100)
	v.Step(0, testService, everywhere, 0, hundred)
	for _, x := range v.services[testKey].away {
		is.True(x <= 0.06)
	}
}
