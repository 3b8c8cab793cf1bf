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
	// ExpectedTarget is the header that names the only target that may run a request.
	ExpectedTarget string
	// Signature is the header by which targets sign their answers.
	Signature string
	// InternalHeaders are headers of targets that callers don't get.
	InternalHeaders []string
	// ReadyPath is where the balancer asks whether the entry is ready.
	ReadyPath string
	// NotExecuted reports whether an answer proves that its target hasn't run the
	// request.
	NotExecuted func(*fasthttp.Response) bool
	// ParseReport reads what an answer says of its target.
	ParseReport func(*fasthttp.Response) LoadReport
}

// LoadReport is what a target says of itself.
type LoadReport struct {
	// Target is the answering target, "" if it doesn't say.
	Target pimentoroute.TargetID
	// Healthy is set if the target calls itself well.
	Healthy bool
	// Running and Waiting count requests, out of Slots that run at a time.
	// Slots is 0 if the target doesn't tell its load.
	Running, Waiting, Slots int
	// Slowdown is how long work takes there now, in percent of the usual time.
	Slowdown int
	// ColdLeft is how much longer the target stays cold.
	ColdLeft time.Duration
}
