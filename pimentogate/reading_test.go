package pimentogate

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// takeoverLimit is the age of the items at which every entry must read the platform by
// itself: changes must be active within 2.5 s, and reading and forwarding them take part
// of that time.
const takeoverLimit = 2 * time.Second

// gateInRegion returns the last gate of a region with three domains, of which it knows
// all entries. Its items were confirmed age ago.
func gateInRegion(t *testing.T, entries int, age time.Duration) *Gate {
	t.Helper()
	member := func(i int) pimentopeer.Member {
		return pimentopeer.Member{
			Name: pimentotarget.EntryName(fmt.Sprintf("e%03d", i)), Address: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250),
			Region: "r", Domain: pimentoregister.DomainName(fmt.Sprint("d", 3*i/entries)), RunID: uint64(i + 1), Version: 1,
		}
	}
	self := member(entries - 1)
	g := &Gate{
		settings: Settings{Name: self.Name, Domain: self.Domain}, region: self.Region, startedAt: time.Now().Add(-time.Minute),
		log: log.NewNopLogger(), metrics: newGateMetrics(), cluster: newClusterState(self),
	}
	for i := range entries - 1 {
		g.cluster.members.Merge(g.now(), []pimentopeer.Member{member(i)})
	}
	g.cluster.feed.Merge(g.now(), pimentofeed.Update{Full: true, AsOf: 5, Age: age})
	return g
}

// A domain that is cut off from all others while it still reaches the platform: the wait
// before an entry reads by itself doesn't grow with the number of entries that it can't
// hear.
func TestIsolatedDomainReadsPlatform(t *testing.T) {
	for _, entries := range []int{3, 20, 47, 386} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			if !gateInRegion(t, entries, takeoverLimit).decideReading() {
				t.Errorf("the last of %d entries doesn't read the platform, its items are %v old", entries, takeoverLimit)
			}
			if gateInRegion(t, entries, 0).decideReading() {
				t.Error("an entry with current items reads the platform")
			}
		})
	}
}

// Two entries that hear from nobody else exchange the age of their items. The messages
// take time, which must not make the items younger with each exchange.
func TestExchangedAgeKeepsGrowing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transit, exchanges = 25 * time.Millisecond, 20
		a, b := gateInRegion(t, 2, 0), gateInRegion(t, 3, 0)
		start := time.Now()
		for range exchanges {
			time.Sleep(domainSyncInterval)
			msg := a.newSyncMessage(0, nil, 0)
			time.Sleep(transit)
			b.applySyncMessage(msg)
			reply := b.newSyncMessage(0, nil, 0)
			time.Sleep(transit)
			a.applySyncMessage(reply)
		}
		for _, g := range []*Gate{a, b} {
			if age, _ := g.cluster.age(g.now()); age < time.Since(start)-2*transit {
				t.Errorf("the items are %v old, but %v after %d exchanges", time.Since(start), age, exchanges)
			}
		}
	})
}

// A reading reaches entries that don't hear its reader, confirms their items, and shows
// that an entry which precedes them reads the platform.
func TestReadingIsForwarded(t *testing.T) {
	is := is.New(t)
	between, last := gateInRegion(t, 2, time.Second), gateInRegion(t, 3, time.Second)
	reader := gateInRegion(t, 1, time.Second)
	reader.setReading(true)
	between.applySyncMessage(reader.newSyncMessage(0, nil, 0))
	last.applySyncMessage(between.newSyncMessage(0, nil, 0))
	age, known := last.cluster.age(last.now())
	is.True(known && age < 100*time.Millisecond)
	_, precedingReads := last.position(last.now())
	is.True(precedingReads)
}

// While the watches of all readers hang, and they still say that they read, the other
// entries begin to read in time for a change to be active within 2.5 s: the first of each
// domain, which sends the change on, 2.25 s after the last answer of any reader, and the
// last one 2.5 s after it, at any size of the fleet.
func TestSilentReadersAreReplaced(t *testing.T) {
	const firstLimit, lastLimit = 2250 * time.Millisecond, 2500 * time.Millisecond
	for _, entries := range []int{16, 100, 472} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader := gateInRegion(t, 1, 0)
				first, last := gateInRegion(t, 2*entries/3+2, 0), gateInRegion(t, entries, 0)
				first.settings.Domain = "d9" // It is alone there.
				reader.setReading(true)      // The last answer.
				start := time.Now()
				began := make(map[*Gate]time.Duration)
				for step := 0; time.Since(start) < 2*lastLimit; step++ {
					for _, g := range []*Gate{first, last} {
						if step%5 == 0 {
							g.applySyncMessage(reader.newSyncMessage(0, nil, 0))
						}
						if began[g] == 0 && g.decideReading() {
							began[g] = time.Since(start)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				if d := began[first]; d == 0 || d > firstLimit {
					t.Errorf("the first entry of a domain begins to read after %v, the limit is %v", d, firstLimit)
				}
				if d := began[last]; d == 0 || d > lastLimit {
					t.Errorf("the last entry begins to read after %v, the limit is %v", d, lastLimit)
				}
			})
		})
	}
}

// Entries that hear of each answer in time don't read the platform themselves.
func TestAnswersInTimeKeepOthersFromReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, other := gateInRegion(t, 1, 0), gateInRegion(t, 2, 0)
		for range 50 {
			reader.setReading(true)
			for step := range 20 {
				if step%5 == 0 {
					other.applySyncMessage(reader.newSyncMessage(0, nil, 0))
				}
				time.Sleep(100 * time.Millisecond)
				if other.decideReading() {
					t.Fatal("it reads the platform")
				}
			}
			time.Sleep(60 * time.Millisecond) // The way there and back.
		}
	})
}

// A reader that hands back after an answer still says when the next one would be due. Others
// would take it for overdue a watch too early.
func TestLastAnswerBeforeHandBackIsStated(t *testing.T) {
	is := is.New(t)
	reader, other := gateInRegion(t, 1, 0), gateInRegion(t, 2, 0)
	reader.setReading(true)
	reader.setReading(false)
	other.applySyncMessage(reader.newSyncMessage(0, nil, 0))
	is.True(other.cluster.overdue(other.now()) < -time.Second)
}
