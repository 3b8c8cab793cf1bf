package pimentoretry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// exchange merges the reports of two entries, both ways, if their digests differ.
func exchange(now time.Duration, a, b *Quarantine) {
	if a.Digest() == b.Digest() {
		return
	}
	fromA, fromB := a.Reports(now), b.Reports(now)
	for _, r := range fromA {
		b.MergeReport(now, r)
	}
	for _, r := range fromB {
		a.MergeReport(now, r)
	}
}

// Entries record crashes and responses, start anew, and exchange reports in any order. An
// entry that has exchanged reports with all others refuses exactly the requests with
// MaxCrashes crashes since their last response, as the oracle knows them.
func TestReportsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*Quarantine, 4)
		for i := range entries {
			entries[i] = new(Quarantine)
		}
		counted := make(map[Fingerprint]int) // The oracle.
		now := time.Minute
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 11000).Draw(t, "ms")) * time.Millisecond
			n := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			f := Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if _, isNew := entries[n].RecordCrash(now, f, fmt.Sprint("t-", i%5)); isNew {
					counted[f]++
				}
			case 2:
				entries[n].RecordResponse(now, f)
				counted[f] = 0
			case 3: // It learns from another entry only what that one knows.
				entries[n] = new(Quarantine)
			}
			for range 2 {
				for _, e := range entries[1:] {
					exchange(now, entries[0], e)
				}
			}
			for j, e := range entries {
				if e.Digest() != entries[0].Digest() {
					t.Fatalf("entry %d doesn't agree with entry 0", j)
				}
				for f, want := range counted {
					if got := e.Crashes(now, f); got != want {
						t.Fatalf("entry %d: request %v has %d crashes, want %d", j, f, got, want)
					}
				}
			}
		}
	})
}

// Reports that are sent to and fro don't keep a request quarantined for ever.
func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	var a, b Quarantine
	_, isNew := a.RecordCrash(0, 7, "t")
	is.True(isNew)
	now := time.Duration(0)
	for ; now < quarantineDuration+time.Minute; now += time.Second {
		a.Expire(now)
		exchange(now, &a, &b)
		b.Expire(now)
	}
	is.Equal(a.Crashes(now, 7)+b.Crashes(now, 7), 0)
	is.Equal(a.Digest(), uint64(0))
}

// Many requests whose targets dropped connections don't displace one that has crashed
// targets.
func TestQuarantineKeepsCrashes(t *testing.T) {
	is := is.New(t)
	var q Quarantine
	q.RecordCrash(0, 1, "a")
	q.RecordCrash(0, 1, "b")
	for f := Fingerprint(2); f < maxFingerprints+100; f++ {
		q.RecordResponse(time.Second, f)
		q.RecordCrash(time.Second, f, "c") // Not counted, after a response.
	}
	is.Equal(q.Crashes(time.Second, 1), 2)
}
