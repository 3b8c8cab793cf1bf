package pimentogate

import (
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// Dialect defines the platform's headers and their meaning.
type Dialect struct {
	// RequestID is the header with the ID that the caller gives a request, a new one
	// for each of its own retries. Targets repeat it in their responses.
	RequestID string
	// Deadline is the header with the milliseconds left until the deadline.
	Deadline string
	// ExpectedTarget is the header that names the only target that may execute a
	// request.
	ExpectedTarget string
	// Organisation is the header with the name of the organisation that a request acts for.
	// Targets receive it in place of the caller's key.
	Organisation string
	// KeyScheme is the scheme of the Authorization header with the caller's key.
	KeyScheme string
	// Signature is the header with the target's signature of its response.
	Signature string
	// InternalHeaders are response headers of targets that are removed for callers.
	InternalHeaders []string
	// ReadyPath is the path of the balancer's readiness checks.
	ReadyPath string
	// NotExecuted reports whether a response proves that the target hasn't executed
	// the request.
	NotExecuted func(*fasthttp.Response) bool
	// ParseReport returns the load report in a target's response.
	ParseReport func(*fasthttp.Response) LoadReport
	// ParseNotice returns what a target's response says about new requests.
	ParseNotice func(*fasthttp.Response) Notice
}

// Notice is what a target says about new requests.
type Notice struct {
	// Leaving is set if the target is about to stop.
	Leaving bool
	// Pause is the time for which the target wants no requests, 0 if it states none.
	Pause time.Duration
	// InvalidPause is the text of a pause that isn't valid.
	InvalidPause string
}

// pauseOnly returns the notice without a leave.
func (n Notice) pauseOnly() Notice {
	n.Leaving = false
	return n
}

// LoadReport is a target's state as it reports it.
type LoadReport struct {
	// Target is the responding target, "" if it isn't stated.
	Target pimentoroute.TargetID
	// Healthy is set if the target reports itself healthy.
	Healthy bool
	// Running and Waiting count requests, out of Slots that run at a time. Slots is
	// 0 if the target doesn't report its load.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, in percent of the usual time.
	Slowdown int
	// ColdLeft is how much longer the target stays cold.
	ColdLeft time.Duration
}
