package pimentoretry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the percentile of the latency after which a read is
	// sent to a second target.
	hedgeQuantile = 95
	// minSamples is the number of latencies below which there are no hedges.
	minSamples = 50
	// windowSamples is the number of latencies after which old ones are dropped.
	windowSamples = 2000
	maxLatency    = time.Minute
	minDelay      = time.Millisecond
)

// HedgeDelay estimates a high quantile of a service's latency. The zero value is
// ready to use. It isn't safe for concurrent use.
type HedgeDelay struct {
	current, previous *hdrhistogram.Histogram
	value             time.Duration
	count             int
}

// updateEvery is the number of latencies between two estimates.
const updateEvery = 50

// Add takes the latency of one request that was not hedged, or of the attempt
// that won.
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

// Value returns the time after which to hedge. It reports false while too few
// latencies are known.
func (d *HedgeDelay) Value() (time.Duration, bool) {
	if d.count < minSamples {
		return 0, false
	}
	return max(d.value, minDelay), true
}
