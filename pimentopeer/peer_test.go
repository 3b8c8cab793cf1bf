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

// A peer that hears all since its cursor knows the newest change of each
// subject, and nothing that its region may not hear.
func TestJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j ChangeLog
		newest := make(map[subject]Change)
		heard := make(map[subject]Change)
		var cursor Cursor
		a := Recipient{Region: "west", FullSync: true}
		t.Repeat(map[string]func(*rapid.T){
			"mark": func(t *rapid.T) {
				c := Change{Service: "s", Target: pimentoregister.VMName(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "target")))}
				c.Phase.Epoch = pimentotarget.Epoch(rapid.IntRange(0, 9).Draw(t, "epoch"))
				newest[c.subject()] = c
				j.Add(c, Origin(rapid.IntRange(0, 2).Draw(t, "origin")))
			},
			"print": func(t *rapid.T) {
				c := Change{Fingerprint: pimentoretry.Fingerprint(rapid.IntRange(1, 5).Draw(t, "print")), Crash: pimentoretry.Crash{Target: "x", Count: 1}}
				if rapid.Bool().Draw(t, "abroad") {
					c.Fingerprint += 10
					c.Regions = []pimentoregister.RegionName{"east"}
				} else {
					newest[c.subject()] = c
				}
				j.Add(c, OriginSelf)
			},
			"hear": func(t *rapid.T) {
				a.MaxChanges = rapid.IntRange(1, 5).Draw(t, "max")
				var list []Change
				list, cursor = j.Since(cursor, a)
				if len(list) > a.MaxChanges {
					t.Fatalf("%d changes, the limit is %d", len(list), a.MaxChanges)
				}
				for _, c := range list {
					if len(c.Regions) > 0 {
						t.Fatalf("news for %v were sent to %s", c.Regions, a.Region)
					}
					heard[c.subject()] = c
				}
			},
			"": func(t *rapid.T) {
				if cursor < j.Last() {
					return
				}
				for s, c := range newest {
					if heard[s].Phase != c.Phase || heard[s].Crash != c.Crash {
						t.Fatalf("%v: heard %v, newest %v", s, heard[s], c)
					}
				}
			},
		})
	})
}

func list(n int) []PublishedEntry {
	var pubs []PublishedEntry
	for i := range n {
		region := pimentoregister.RegionName(fmt.Sprintf("region-%d", i%4))
		pubs = append(pubs, PublishedEntry{
			Name: pimentotarget.EntryName(fmt.Sprintf("entry-%03d", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Region: region,
		})
	}
	return pubs
}

func TestReachableAndForgotten(t *testing.T) {
	m := &PeerTable{Self: "entry-000", Region: "region-0"}
	m.Update(0, list(8))
	if p, fresh := m.HandleHeartbeat(0, Heartbeat{Name: "entry-004", Incarnation: 5}, 0); p == nil || !fresh {
		t.Fatal("the first heartbeat isn't fresh")
	}
	p := m.Peer("entry-004")
	if !p.Reachable(defaultTerm-1) || p.Reachable(defaultTerm) {
		t.Error("a peer must be reachable within its term only")
	}
	if m.Successor(0, func(r pimentoregister.RegionName) bool { return r == "region-0" }, nil) != p {
		t.Error("the only reachable peer of the region is the successor")
	}
	if !slices.Equal(m.Entries("region-0"), []pimentotarget.EntryName{"entry-000", "entry-004"}) {
		t.Errorf("entries %v", m.Entries("region-0"))
	}
	m.Update(time.Second, nil)
	if len(m.Entries("region-0")) != 0 {
		t.Errorf("entries %v of an empty list: an entry that isn't listed owns nothing", m.Entries("region-0"))
	}
	if m.Peer("entry-004") == nil || m.Peer("entry-001") != nil {
		t.Error("an unlisted peer stays while it is heard, and only then")
	}
	m.Update(2*forgetTerm, nil)
	if m.Peer("entry-004") != nil || m.ByIncarnation(pimentokey.Incarnation(5)) != nil {
		t.Error("an unlisted, silent peer is forgotten")
	}
}

// BenchmarkMembers measures taking one list and one heartbeat of each peer, and
// reports the memory, by the number of entries.
func BenchmarkMembers(b *testing.B) {
	for _, n := range []int{4, 20, 75, 300} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			before := heap()
			pubs := list(n)
			m := &PeerTable{Self: "entry-000", Region: "region-0"}
			for b.Loop() {
				m.Update(0, pubs)
				for i, p := range m.HeartbeatPeers() {
					m.HandleHeartbeat(0, Heartbeat{Name: p.Name, Incarnation: pimentokey.Incarnation(i + 1)}, 0)
				}
			}
			b.ReportMetric(float64(heap()-before), "heap-bytes")
			b.ReportMetric(float64(len(m.HeartbeatPeers())), "partners")
			runtime.KeepAlive(m)
			runtime.KeepAlive(pubs)
		})
	}
}

// BenchmarkJournal measures adding a change and telling it to one peer, and
// reports the memory, by the number of subjects.
func BenchmarkJournal(b *testing.B) {
	for _, n := range []int{50, 200, 800, 2800} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			before := heap()
			j := new(ChangeLog)
			add := func(i int) {
				j.Add(Change{Service: "s", Target: pimentoregister.VMName(fmt.Sprintf("vm-%04d", i%n))}, OriginSelf)
			}
			for i := range n {
				add(i)
			}
			cursor := j.Last()
			a := Recipient{Region: "r", SameRegion: true, MaxChanges: 64}
			i := 0
			for b.Loop() {
				i++
				add(i)
				_, cursor = j.Since(cursor, a)
			}
			b.ReportMetric(float64(heap()-before), "heap-bytes")
			runtime.KeepAlive(j)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
