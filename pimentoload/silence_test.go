package pimentoload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoload"
)

// Entries that send to a target by reports of the same age don't fill its queue beyond its end
// once a target was seen silent. With no margin for the others they do.
func TestQueueKeepsRoom(t *testing.T) {
	const (
		entries = 100
		targets = 10
		length  = 24
		age     = 20 * time.Millisecond
	)
	is := is.New(t)
	for _, withMargin := range []bool{true, false} {
		var q pimentoload.Queue
		q.Report(length)
		var now time.Duration
		for ; now < 20*time.Second; now += 100 * time.Millisecond {
			q.Arrived(now) // 10 requests a second at each entry, 100 at each target.
		}
		is.True(!q.Full(now, length, 0)) // Nothing was seen yet.
		q.SawSilent(now)
		is.Equal(q.Length(now), length)
		margin := 0
		if withMargin {
			margin = q.Margin(now, age, entries, targets)
		}
		const meanSent = 2 // To a target during age.
		waiting := length - meanSent
		is.Equal(q.Full(now, waiting, margin), withMargin)
		is.True(!q.Full(now, length/2, margin)) // Room again.
	}
}

// What was learned is forgotten, and a longer queue is learned from reports.
func TestQueueLearns(t *testing.T) {
	is := is.New(t)
	var q pimentoload.Queue
	q.Report(12)
	q.SawSilent(0)
	is.True(q.Full(time.Second, 12, 0))
	q.Report(24)
	is.True(!q.Full(time.Second, 12, 0))
	is.True(q.Silent(time.Minute))
	is.True(!q.Silent(time.Hour))
	is.True(!q.Full(time.Hour, 24, 0))
}

// What another entry has learned is taken over with its age, and isn't renewed by passing it on.
func TestQueueMerges(t *testing.T) {
	is := is.New(t)
	var seen, told pimentoload.Queue
	seen.Report(24)
	seen.SawSilent(0)
	is.True(told.Merge(time.Minute, seen.Length(time.Minute), seen.Age(time.Minute)))
	is.True(told.Full(time.Minute, 24, 0))
	is.True(!told.Merge(2*time.Minute, told.Length(2*time.Minute), told.Age(2*time.Minute)))
	is.True(told.Silent(4 * time.Minute))
	is.True(!told.Silent(5 * time.Minute))
	is.True(!told.Merge(time.Minute, 0, 0))
}

// A response that is long overdue makes targets suspect only where the queue was as long as any.
func TestQueueSuspects(t *testing.T) {
	is := is.New(t)
	var q pimentoload.Queue
	q.Report(24)
	is.True(q.Suspects(23, 3*time.Second, time.Second, 3*time.Second))
	is.True(!q.Suspects(20, 3*time.Second, time.Second, 3*time.Second))
	is.True(!q.Suspects(24, time.Second, time.Second, 3*time.Second))
	is.True(!q.Suspects(24, time.Second, time.Millisecond, 3*time.Second))
}

// IsLong leaves out short queues, where no response has another cause.
func TestIsLong(t *testing.T) {
	is := is.New(t)
	is.True(pimentoload.IsLong(6, 12, 6))
	is.True(!pimentoload.IsLong(6, 11, 6))
	is.True(!pimentoload.IsLong(5, 12, 6))
	is.True(!pimentoload.IsLong(0, 0, 0))
}

// For any history of a first-come, first-served target whose work lasts up to twice as long as
// usual, a request that the target has queued isn't given up before its response, and one that
// it hasn't is given up after the target became idle.
func TestOverdueAgainstTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			usual     = 100 * time.Millisecond
			roundTrip = 2 * time.Millisecond
			step      = time.Millisecond
			limit     = 20 * time.Second
		)
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		works := rapid.SliceOfN(rapid.IntRange(10, 200), 1, 30).Draw(rt, "works")
		queued := rapid.Bool().Draw(rt, "queued")
		certain := rapid.Bool().Draw(rt, "certain")
		every := rapid.IntRange(1, 300).Draw(rt, "every")
		// ends has the ends of the works, in the order of their starts; the last is the request's.
		if queued {
			works = append(works, rapid.IntRange(10, 200).Draw(rt, "work"))
		}
		free := make([]time.Duration, slots)
		starts, ends := make([]time.Duration, len(works)), make([]time.Duration, len(works))
		for i, w := range works {
			slot := 0
			for j := range free {
				if free[j] < free[slot] {
					slot = j
				}
			}
			starts[i] = free[slot]
			ends[i] = starts[i] + time.Duration(w)*step
			free[slot] = ends[i]
		}
		o := pimentoload.Overdue{RoundTrip: roundTrip, Usual: usual, Certain: certain}
		for now := time.Duration(0); now < limit; now += time.Duration(every) * step {
			if queued && now >= ends[len(ends)-1]+roundTrip {
				return
			}
			running, waiting := 0, 0
			for i := range works {
				switch {
				case starts[i] > now:
					waiting++
				case ends[i] > now:
					running++
				}
			}
			o.Observe(now, now+roundTrip/2, running, waiting, 100)
			if o.Gone(now + roundTrip) {
				if queued {
					rt.Fatalf("given up after %v, the response comes after %v", now, ends[len(ends)-1])
				}
				return
			}
		}
		rt.Fatal("never given up")
	})
}

// A target that is slower than any work is left only if it has run everything, where the request
// may be executed once at most.
func TestOverdueAtSlowTarget(t *testing.T) {
	is := is.New(t)
	for _, certain := range []bool{true, false} {
		o := pimentoload.Overdue{RoundTrip: time.Millisecond, Usual: 100 * time.Millisecond, Certain: certain}
		o.Observe(time.Second, time.Second, 1, 0, 100)
		is.Equal(o.Gone(5*time.Second), !certain)
		o.Observe(6*time.Second, 6*time.Second, 0, 0, 100)
		is.True(o.Gone(7 * time.Second))
	}
}

// A report that may be older than the arrival of the request says nothing about it.
func TestOverdueIgnoresOldReports(t *testing.T) {
	is := is.New(t)
	o := pimentoload.Overdue{RoundTrip: 60 * time.Millisecond, Usual: 100 * time.Millisecond}
	o.Observe(10*time.Millisecond, 70*time.Millisecond, 0, 0, 100)
	is.True(!o.Gone(time.Hour))
	o.Observe(70*time.Millisecond, 130*time.Millisecond, 0, 0, 100)
	is.True(!o.Gone(130 * time.Millisecond)) // The response may be under way.
	is.True(o.Gone(time.Second))
}
