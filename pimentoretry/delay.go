package pimentoretry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the latency percentile after which a read is also sent to
	// a second target.
	hedgeQuantile = 95
	// minSamples is the number of latencies before which there are no hedges.
	minSamples = 50
	// windowSamples is the number of latencies after which older ones are discarded.
	windowSamples = 2000
	maxLatency    = time.Minute
	minDelay      = time.Millisecond
)

// HedgeDelay estimates the time after which to hedge a request, a high percentile
// of the service's latency. The zero value is ready to use. It isn't safe for
// concurrent use.
type HedgeDelay struct {
	current, previous *hdrhistogram.Histogram
	value             time.Duration
	count             int
}

// updateEvery is the number of latencies between two estimates.
const updateEvery = 50

// Add records the latency of a request that was not hedged, or of the attempt whose
// response was used.
func (d *HedgeDelay) Add(latency time.Duration) {
	if d.current == nil {
		d.current = newHistogram()
		d.previous = newHistogram()
	}
	latency = min(max(latency, time.Microsecond), maxLatency)
	_ = d.current.RecordValue(latency.Microseconds())
	d.count++
	if d.count%updateEvery == 0 {
		d.update()
	}
	if d.current.TotalCount() >= windowSamples {
		d.current, d.previous = d.previous, d.current
		d.current.Reset()
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 1)
}

func (d *HedgeDelay) update() {
	h := d.current
	if d.previous.TotalCount() > h.TotalCount() {
		h = d.previous
	}
	d.value = time.Duration(h.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
}

// Value returns the time after which to hedge. It returns false before minSamples
// latencies were added.
func (d *HedgeDelay) Value() (time.Duration, bool) {
	if d.count < minSamples {
		return 0, false
	}
	return max(d.value, minDelay), true
}
