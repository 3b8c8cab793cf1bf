package pimentoload

import "time"

// Repeats recognises requests that callers send again with what is left of their time
// limit: it is below the limits of requests that are new. The zero value is ready to use.
// It isn't safe for concurrent use.
type Repeats struct {
	lowest  time.Duration // A low quantile of the limits of new requests.
	samples int
}

const (
	// minSamples is the number of requests before which none counts as sent again.
	minSamples = 20
	// limitQuantile is the quantile that is followed, and limitStep the fraction by which
	// it moves at most with each request.
	limitQuantile = 0.03
	limitStep     = 0.01
	// limitMargin is the fraction of the quantile below which limits are those of requests
	// that are sent again.
	limitMargin = 0.97
)

// IsRepeat reports whether a request whose caller waits for the time left was probably sent
// before. calm is set while hardly any requests are refused: only then are nearly all of
// them new, and the limits are learnt.
func (p *Repeats) IsRepeat(left time.Duration, calm bool) bool {
	if p.samples < minSamples {
		if p.samples == 0 || left < p.lowest {
			p.lowest = left
		}
		p.samples++
		return false
	}
	if calm {
		step := limitStep * float64(p.lowest)
		if left > p.lowest {
			p.lowest += min(left-p.lowest, time.Duration(limitQuantile*step))
		} else {
			p.lowest -= min(p.lowest-left, time.Duration((1-limitQuantile)*step))
		}
	}
	return left < time.Duration(limitMargin*float64(p.lowest))
}
