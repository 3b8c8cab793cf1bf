package pimentoload

import "time"

const (
	// overdueFraction is the fraction of the objective after which a send to a target with a
	// long queue is first checked, and recheckFraction the one between later checks.
	overdueFraction = 0.25
	recheckFraction = 0.1
	// longestWork times the usual work time is the time above which work that has begun hardly
	// ever lasts, also at a slow target.
	longestWork = 8
	// arrivalSlack is added to the round trip for a response that is under way while the
	// target says that it runs nothing.
	arrivalSlack = 50 * time.Millisecond
)

// Overdue follows one send to a target with a long queue by the target's load reports. Times
// count from the send. It finds out that no response will come: a target that has queued the
// request counts it as waiting, and later as running.
type Overdue struct {
	// RoundTrip is the time to the target and back.
	RoundTrip time.Duration
	// Usual is the usual work time of such requests at an idle target.
	Usual time.Duration
	// Certain makes only a target that runs and queues nothing count as one from which no
	// response will come, so that a target at work is never left, however slow it is.
	Certain bool

	begun   bool
	begunBy time.Duration // When the target had begun to execute the request, if it ever does.
	absent  bool
	since   time.Duration // Since when the target was only seen to run and queue nothing.
	slowest int           // The highest slowdown reported since the request had begun, in percent.
}

// FirstCheck returns the time after a send at which it is first checked.
func FirstCheck(objective time.Duration) time.Duration {
	return time.Duration(overdueFraction * float64(objective))
}

// NextCheck returns the time between two checks.
func NextCheck(objective time.Duration) time.Duration {
	return time.Duration(recheckFraction * float64(objective))
}

// Overdue reports whether a response that was expected after a time is long overdue, so that the
// target is to be asked.
func (o *Overdue) Overdue(age, expected time.Duration) bool { return age > suspectFactor*expected }

// Observe records a report that the target made no sooner than asked, and the age of the send
// when it arrived. Reports that may be older than the arrival of the request are ignored.
func (o *Overdue) Observe(asked, arrived time.Duration, running, waiting, slowdown int) {
	if asked < o.RoundTrip {
		return
	}
	if waiting == 0 && !o.begun {
		// Requests begin in the order of their arrival.
		o.begun, o.begunBy = true, arrived
	}
	o.slowest = max(o.slowest, slowdown, percent)
	switch absent := running+waiting == 0; {
	case !absent:
		o.absent = false // What it runs now may be the request, which it was slow to read.
	case !o.absent:
		o.absent, o.since = true, arrived
	}
}

// percent is the slowdown of a target at its usual speed.
const percent = 100

// Gone reports whether a response is improbable: the target runs and queues nothing, or, without
// Certain, it must have begun the request so long ago that it would have ended. It isn't known whether the request
// was executed: its response may have been lost.
//
// It answers a load that fills queues: a request to a full target would be held until its
// caller gives up.
func (o *Overdue) Gone(age time.Duration) bool {
	if o.absent && age >= o.since+o.RoundTrip+arrivalSlack {
		return true
	}
	return !o.Certain && o.begun && age >= o.begunBy+longestWork*o.Usual*time.Duration(o.slowest)/percent
}
