package pimentopeer

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// TestJournal checks that a peer that requests all changes since its cursor receives the
// newest one of each subject, and none that isn't allowed in its region.
func TestJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log ChangeLog
		newest := make(map[subject]Change)
		received := make(map[subject]Change)
		var cursor Cursor
		to := Recipient{Region: "west", FullSync: true}
		t.Repeat(map[string]func(*rapid.T){
			"mark": func(t *rapid.T) {
				c := Change{Service: "s", Target: pimentoregister.VMName(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target")))}
				c.Phase.Epoch = pimentotarget.Epoch(rapid.IntRange(0, 9).Draw(t, "epoch"))
				newest[c.subject()] = c
				log.Add(c, Origin(rapid.IntRange(0, 2).Draw(t, "origin")))
			},
			"print": func(t *rapid.T) {
				c := Change{Fingerprint: pimentoretry.Fingerprint(rapid.IntRange(1, 5).Draw(t, "print")), Crash: pimentoretry.Crash{Target: "x", Count: 1}}
				if rapid.Bool().Draw(t, "abroad") {
					c.Fingerprint += 10
					c.Regions = []pimentoregister.RegionName{"east"}
				} else {
					newest[c.subject()] = c
				}
				log.Add(c, OriginSelf)
			},
			"hear": func(t *rapid.T) {
				to.MaxChanges = rapid.IntRange(1, 5).Draw(t, "max")
				var list []Change
				list, cursor = log.Since(cursor, to)
				if len(list) > to.MaxChanges {
					t.Fatalf("%d changes, the limit is %d", len(list), to.MaxChanges)
				}
				for _, c := range list {
					if len(c.Regions) > 0 {
						t.Fatalf("a change for regions %v was sent to %s", c.Regions, to.Region)
					}
					received[c.subject()] = c
				}
			},
			"": func(t *rapid.T) {
				if cursor < log.Last() {
					return
				}
				for s, c := range newest {
					if received[s].Phase != c.Phase || received[s].Crash != c.Crash {
						t.Fatalf("%v: received %v, newest %v", s, received[s], c)
					}
				}
			},
		})
	})
}

func publishedEntries(n int) []PublishedEntry {
	var pubs []PublishedEntry
	for i := range n {
		region := pimentoregister.RegionName(fmt.Sprintf("region-%d", i%4))
		pubs = append(pubs, PublishedEntry{
			Name: pimentotarget.EntryName(fmt.Sprintf("entry-%03d", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Region: region,
		})
	}
	return pubs
}

// TestPeerExpiry checks when peers are reachable, listed and removed.
func TestPeerExpiry(t *testing.T) {
	table := &PeerTable{Self: "entry-000", Region: "region-0"}
	table.Update(0, publishedEntries(8))
	if p, isNew := table.HandleHeartbeat(0, Heartbeat{Name: "entry-004", Incarnation: 5}, 0); p == nil || !isNew {
		t.Fatal("the first heartbeat isn't reported as that of a new incarnation")
	}
	p := table.Peer("entry-004")
	if !p.Reachable(defaultHeartbeatTimeout-1) || p.Reachable(defaultHeartbeatTimeout) {
		t.Error("a peer must be reachable only within the heartbeat timeout")
	}
	if table.Successor(0, func(r pimentoregister.RegionName) bool { return r == "region-0" }, nil) != p {
		t.Error("the only reachable peer of the region must be the successor")
	}
	if !slices.Equal(table.Entries("region-0"), []pimentotarget.EntryName{"entry-000", "entry-004"}) {
		t.Errorf("entries %v", table.Entries("region-0"))
	}
	table.Update(time.Second, nil)
	if len(table.Entries("region-0")) != 0 {
		t.Errorf("entries %v with an empty list, want none: an unlisted entry owns nothing", table.Entries("region-0"))
	}
	if table.Peer("entry-004") == nil || table.Peer("entry-001") != nil {
		t.Error("an unlisted peer must stay only while it sends heartbeats")
	}
	table.Update(2*unlistedRetention, nil)
	if table.Peer("entry-004") != nil || table.ByIncarnation(pimentokey.Incarnation(5)) != nil {
		t.Error("an unlisted peer without heartbeats must be removed")
	}
}

// BenchmarkMembers measures updating a PeerTable with one list and one heartbeat of each
// peer, and reports its heap size, by the number of entries.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{4, 20, 75, 300} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			before := heapAlloc()
			pubs := publishedEntries(n)
			table := &PeerTable{Self: "entry-000", Region: "region-0"}
			for b.Loop() {
				table.Update(0, pubs)
				for i, p := range table.HeartbeatPeers() {
					table.HandleHeartbeat(0, Heartbeat{Name: p.Name, Incarnation: pimentokey.Incarnation(i + 1)}, 0)
				}
			}
			b.ReportMetric(float64(heapAlloc()-before), "heap-bytes")
			b.ReportMetric(float64(len(table.HeartbeatPeers())), "partners")
			runtime.KeepAlive(table)
			runtime.KeepAlive(pubs)
		})
	}
}

// BenchmarkJournal measures adding a change to a ChangeLog and selecting it for one peer,
// and reports the heap size, by the number of subjects.
func BenchmarkJournal(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2800} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			before := heapAlloc()
			log := new(ChangeLog)
			add := func(i int) {
				log.Add(Change{Service: "s", Target: pimentoregister.VMName(fmt.Sprintf("vm-%04d", i%n))}, OriginSelf)
			}
			for i := range n {
				add(i)
			}
			cursor := log.Last()
			to := Recipient{Region: "r", SameRegion: true, MaxChanges: 64}
			i := 0
			for b.Loop() {
				i++
				add(i)
				_, cursor = log.Since(cursor, to)
			}
			b.ReportMetric(float64(heapAlloc()-before), "heap-bytes")
			runtime.KeepAlive(log)
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
