package pimentoload

// Curve is how much longer requests take at a target of a service, by the number of other
// requests that run there. The zero value assumes assumedRatio beside any others. It isn't
// safe for concurrent use.
type Curve struct {
	// ratios are running medians, 0 without a measurement. The first one is that beside
	// one other request.
	ratios [maxOthers]float64
}

const (
	// maxOthers is the number of other requests above which no difference is made.
	maxOthers = 32
	// assumedRatio is the ratio without a measurement.
	assumedRatio = 1.25
	// ratioStep is the fraction by which a median moves with each measurement.
	ratioStep = 0.04
	// kneeGain is the factor by which one more request at a time must raise the number of
	// requests served in a time, so that a target counts as having room for it.
	kneeGain = 1.02
)

// Observe records that a request took ratio times as long as one that runs alone, beside
// others.
func (c *Curve) Observe(others int, ratio float64) {
	if others <= 0 {
		return
	}
	r := &c.ratios[min(others, maxOthers)-1]
	if *r == 0 {
		*r = assumedRatio
	}
	if ratio > *r {
		*r *= 1 + ratioStep
	} else {
		*r *= 1 - ratioStep
	}
}

// Ratio returns how many times as long as alone a request takes beside others. It is at
// least 1, and doesn't decrease with the number of others.
func (c *Curve) Ratio(others int) float64 {
	ratio := 1.0
	for _, r := range c.ratios[:max(0, min(others, maxOthers))] {
		ratio = max(ratio, r)
	}
	if ratio == 1 && others > 0 && c.ratios[min(others, maxOthers)-1] == 0 {
		return assumedRatio
	}
	return ratio
}

// Knee returns the number of requests at a time, up to slots, above which a target serves
// no more requests in a time.
func (c *Curve) Knee(slots int) int {
	knee, most := 1, 1.0
	for n := 2; n <= slots; n++ {
		if served := float64(n) / c.Ratio(n-1); served > most*kneeGain {
			knee, most = n, served
		}
	}
	return knee
}
