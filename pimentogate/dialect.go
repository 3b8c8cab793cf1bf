package pimentogate

import (
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// Dialect has the platform's names and meanings of headers.
type Dialect struct {
	// RequestID is the header that names one attempt of a caller. Targets
	// repeat it in their answers.
	RequestID string
	// Deadline is the header with the milliseconds that are left.
	Deadline string
	// Expected is the header that names the only target that may run a request.
	Expected string
	// Signature is the header by which targets sign their answers.
	Signature string
	// Internal are headers of targets that callers don't get.
	Internal []string
	// ReadyPath is where the balancer asks whether the entry is ready.
	ReadyPath string
	// NotRun reports whether an answer proves that its target hasn't run the
	// request.
	NotRun func(*fasthttp.Response) bool
	// Report reads what an answer says of its target.
	Report func(*fasthttp.Response) Report
}

// Report is what a target says of itself.
type Report struct {
	// Target is the answering target, "" if it doesn't say.
	Target pimentoroute.TargetID
	// Healthy is set if the target calls itself well.
	Healthy bool
	// Running and Waiting count requests, out of Slots that run at a time.
	// Slots is 0 if the target doesn't tell its load.
	Running, Waiting, Slots int
	// Stretch is how long work takes there now, in percent of the usual time.
	Stretch int
	// ColdLeft is how much longer the target stays cold.
	ColdLeft time.Duration
}
