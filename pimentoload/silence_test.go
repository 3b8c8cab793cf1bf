package pimentoload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentoarch/pimentoload"
)

// Entries that send to a target by reports of the same age don't fill its queue beyond its end
// once a target was seen silent. With no margin for the others they do. When few targets have
// free slots, all entries send to these.
func TestQueueKeepsRoom(t *testing.T) {
	const (
		entries = 100
		targets = 10
		slots   = 6
		length  = 24
		age     = 200 * time.Millisecond
	)
	is := is.New(t)
	for _, busy := range []bool{false, true} {
		var q pimentoload.Queue
		var now time.Duration
		for ; now < 20*time.Second; now += time.Second {
			q.Arrived(now) // 1 request a second at each entry, 100 in all.
		}
		for i := range 100 {
			running := 0
			if busy && i%10 > 0 {
				running = slots // 9 of 10 targets.
			}
			q.Report(running, slots)
		}
		is.True(!q.Full(now, slots, length, slots, 0)) // Nothing was seen yet.
		q.SawSilent(now, length)
		is.Equal(q.Length(now), length)
		margin := q.Margin(now, age, entries, targets)
		// All of the 20 requests of that time may go to the one target with a free slot.
		is.Equal(q.Full(now, slots-1, 0, slots, margin), busy)
		is.True(q.Full(now, slots, length-2, slots, margin))
		is.True(!q.Full(now, slots, length-2, slots, 0))
		is.True(!q.Full(now, 0, 0, slots, margin/2)) // Room again.
	}
}

// The length is learned from the queues beside requests without a response, and forgotten.
func TestQueueLearns(t *testing.T) {
	is := is.New(t)
	var q pimentoload.Queue
	q.SawSilent(0, 12)
	is.Equal(q.Length(time.Second), 12)
	for range 100 {
		for _, longest := range []int{24, 24, 20, 14} { // The queue may have fallen meanwhile.
			q.SawSilent(time.Second, longest)
		}
	}
	is.True(q.Length(time.Second) >= 20 && q.Length(time.Second) <= 24)
	is.True(q.Silent(time.Minute))
	is.True(!q.Silent(time.Hour))
	is.True(!q.Full(time.Hour, 6, 24, 6, 10))
}

// A response that comes late clears its target of the suspicion, and not of silence that was seen.
func TestQueueSuspicionEnds(t *testing.T) {
	is := is.New(t)
	var q pimentoload.Queue
	q.Suspect(0, 12)
	is.True(q.Full(0, 6, 12, 6, 6))
	is.True(!q.Shown(0))
	q.Answered()
	is.True(!q.Silent(0))
	is.True(!q.Full(0, 6, 12, 6, 6))
	q.SawSilent(0, 12)
	q.Suspect(0, 12)
	q.Answered()
	is.True(q.Shown(time.Minute))
	q.Suspect(time.Hour, 12) // What was seen is forgotten.
	is.True(q.Silent(time.Hour))
	is.True(!q.Shown(time.Hour))
}

// What another entry has learned is taken over with its age, and isn't renewed by passing it on.
func TestQueueMerges(t *testing.T) {
	is := is.New(t)
	var seen, told pimentoload.Queue
	seen.SawSilent(0, 24)
	is.True(told.Merge(time.Minute, seen.Length(time.Minute), seen.Age(time.Minute)))
	is.True(told.Full(time.Minute, 6, 24, 6, 0))
	is.True(!told.Merge(2*time.Minute, told.Length(2*time.Minute), told.Age(2*time.Minute)))
	is.True(told.Silent(4 * time.Minute))
	is.True(!told.Silent(5 * time.Minute))
	is.True(!told.Merge(time.Minute, 0, 0))
}

// A response makes targets suspect only when it is long overdue.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	is.True(pimentoload.Suspects(3*time.Second, time.Second, 3*time.Second))
	is.True(!pimentoload.Suspects(time.Second, time.Second, 3*time.Second))
	is.True(!pimentoload.Suspects(time.Second, time.Millisecond, 3*time.Second))
}

// Targets that refuse requests when full aren't silent, whatever was seen or told.
func TestQueueOfRefusingTargets(t *testing.T) {
	is := is.New(t)
	var q pimentoload.Queue
	q.SawSilent(0, 24)
	q.Refused()
	is.True(!q.Full(0, 6, 24, 6, 0))
	is.True(!q.Merge(0, 30, 0))
	is.True(!q.Silent(0))
}

// A large body arrives some round trips later.
func TestDelivery(t *testing.T) {
	is := is.New(t)
	const roundTrip = 60 * time.Millisecond
	is.Equal(pimentoload.Delivery(0, roundTrip), roundTrip)
	is.Equal(pimentoload.Delivery(60_000, roundTrip), 4*roundTrip)
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

// A target that was slow to read the request ran nothing before, and isn't left while it runs.
func TestOverdueAtSlowReader(t *testing.T) {
	is := is.New(t)
	o := pimentoload.Overdue{RoundTrip: time.Millisecond, Usual: 100 * time.Millisecond, Certain: true}
	o.Observe(time.Second, time.Second, 0, 0, 100)
	o.Observe(2*time.Second, 2*time.Second, 1, 0, 100)
	is.True(!o.Gone(3 * time.Second))
	o.Observe(4*time.Second, 4*time.Second, 0, 0, 100)
	is.True(!o.Gone(4 * time.Second)) // Its response may be under way.
	is.True(o.Gone(5 * time.Second))
}
