package pimentoentry

import (
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// Run says whether a refused request was run.
type Run string

const (
	// RunNo means that the request was not run, and, if it has a key, that it
	// never will be run under that key.
	RunNo Run = "no"
	// RunYes means that the request was run.
	RunYes Run = "yes"
	// RunUnknown means that the request may have been run.
	RunUnknown Run = "unknown"
)

// Reason says in one word why a request was refused.
type Reason string

// Reasons of refusals. docs/OPERATING.md says what to do about each.
const (
	ReasonPath         Reason = "path"         // The path names no service.
	ReasonService      Reason = "service"      // The register has no such service.
	ReasonOrganisation Reason = "organisation" // The register has no such organisation.
	ReasonTimeout      Reason = "timeout"      // The timeout header isn't a number of milliseconds.
	ReasonMethod       Reason = "method"       // Keys are handed out by POST.
	ReasonHead         Reason = "head"         // The head of the request isn't valid.
	ReasonLong         Reason = "long"         // The head of the request is too long.
	ReasonBody         Reason = "body"         // The body of the request was cut short.
	ReasonLarge        Reason = "large"        // The body of the request is too large.
	ReasonConfig       Reason = "config"       // No configuration is known yet.
	ReasonHome         Reason = "home"         // No entry of a home region was reached.
	ReasonNoKey        Reason = "nokey"        // The route needs a key.
	ReasonForged       Reason = "forged"       // The key was never issued for this use.
	ReasonReused       Reason = "reused"       // The key was used by another request.
	ReasonVoid         Reason = "void"         // The key was refused before.
	ReasonForgotten    Reason = "forgotten"    // The request has run; its answer isn't kept.
	ReasonIssuer       Reason = "issuer"       // The holder of the key wasn't reached.
	ReasonUnsent       Reason = "unsent"       // The holder of the key wasn't reached, and this copy not sent to it.
	ReasonStopping     Reason = "stopping"     // The holder of the key stops without a successor.
	ReasonLost         Reason = "lost"         // The target's answer to a non-idempotent request was lost.
	ReasonQueue        Reason = "queue"        // Too many requests wait.
	ReasonDeadline     Reason = "deadline"     // The deadline passed while the request waited.
	ReasonSlow         Reason = "slow"         // The deadline passed while the target had the request.
	ReasonTargets      Reason = "targets"      // The service has no usable target.
	ReasonRefused      Reason = "refused"      // Targets refused.
	ReasonFailed       Reason = "failed"       // Targets failed.
	ReasonQuarantine   Reason = "quarantine"   // The request has crashed targets.
	ReasonGone         Reason = "gone"         // The caller has gone.
)

// statusClientGone is the status for callers that have gone, who never see it.
const statusClientGone = 499

// statuses has the HTTP status of each reason.
var statuses = map[Reason]int{
	ReasonPath:         fasthttp.StatusNotFound,
	ReasonService:      fasthttp.StatusNotFound,
	ReasonOrganisation: fasthttp.StatusForbidden,
	ReasonTimeout:      fasthttp.StatusBadRequest,
	ReasonMethod:       fasthttp.StatusMethodNotAllowed,
	ReasonHead:         fasthttp.StatusBadRequest,
	ReasonLong:         fasthttp.StatusRequestHeaderFieldsTooLarge,
	ReasonBody:         fasthttp.StatusBadRequest,
	ReasonLarge:        fasthttp.StatusRequestEntityTooLarge,
	ReasonConfig:       fasthttp.StatusServiceUnavailable,
	ReasonHome:         fasthttp.StatusMisdirectedRequest,
	ReasonNoKey:        fasthttp.StatusPreconditionRequired,
	ReasonForged:       fasthttp.StatusBadRequest,
	ReasonReused:       fasthttp.StatusUnprocessableEntity,
	ReasonVoid:         fasthttp.StatusConflict,
	ReasonForgotten:    fasthttp.StatusGone,
	ReasonIssuer:       fasthttp.StatusBadGateway,
	ReasonUnsent:       fasthttp.StatusBadGateway,
	ReasonStopping:     fasthttp.StatusServiceUnavailable,
	ReasonLost:         fasthttp.StatusBadGateway,
	ReasonQueue:        fasthttp.StatusServiceUnavailable,
	ReasonDeadline:     fasthttp.StatusServiceUnavailable,
	ReasonSlow:         fasthttp.StatusGatewayTimeout,
	ReasonTargets:      fasthttp.StatusServiceUnavailable,
	ReasonRefused:      fasthttp.StatusServiceUnavailable,
	ReasonFailed:       fasthttp.StatusBadGateway,
	ReasonQuarantine:   fasthttp.StatusServiceUnavailable,
	ReasonGone:         statusClientGone,
}

// refusal is an answer that this system gives in place of a target's.
type refusal struct {
	reason Reason
	run    Run
	detail string
	// proved is set if run holds for all copies of the request under its key.
	proved bool
}

// prove marks a refusal by the process that holds the key.
func (f *refusal) prove() *refusal {
	f.proved = true
	return f
}

// honest weakens a refusal of a request with a key. Only the holder of the key
// can say that the request was not run; others know of this copy only.
func (f *refusal) honest(c *call) {
	if f.run == RunNo && !f.proved && len(c.req.Header.Peek(headerKey)) > 0 {
		f.run = RunUnknown
	}
}

// refusalBody is the body of a refusal.
type refusalBody struct {
	Reason Reason `json:"reason"`
	Run    Run    `json:"run"`
	Detail string `json:"detail"`
}

func refuse(reason Reason, run Run, detail string) *refusal {
	return &refusal{reason: reason, run: run, detail: detail}
}

// write sets the answer.
func (f *refusal) write(resp *fasthttp.Response) {
	resp.Reset()
	resp.SetStatusCode(statuses[f.reason])
	resp.Header.SetContentType("application/json")
	resp.Header.Set(headerRun, string(f.run))
	resp.Header.Set(headerReason, string(f.reason))
	body, err := json.Marshal(refusalBody{Reason: f.reason, Run: f.run, Detail: f.detail})
	if err != nil {
		return
	}
	resp.SetBodyRaw(body)
}

// RetryReason says why a request was sent again.
type RetryReason string

// Reasons of retries.
const (
	RetryConnect RetryReason = "connect" // No connection.
	RetryBroken  RetryReason = "broken"  // The connection broke.
	RetryInvalid RetryReason = "invalid" // The answer was invalid.
	RetryRefused RetryReason = "refused" // The target refused.
	RetrySilent  RetryReason = "silent"  // No byte came back in time.
	RetryHedge   RetryReason = "hedge"   // The answer took longer than usual.
	RetryPeer    RetryReason = "peer"    // The link to a peer broke.
)

var retryReasons = []RetryReason{
	RetryConnect, RetryBroken, RetryInvalid, RetryRefused, RetrySilent, RetryHedge, RetryPeer,
}

// counters are the metrics of one entry.
type counters struct {
	set       *metrics.Set
	refusals  map[Reason]map[Run]*metrics.Counter
	retries   map[RetryReason]*metrics.Counter
	noBudget  *metrics.Counter
	requests  *metrics.Counter
	forwarded *metrics.Counter
	served    *metrics.Counter // For peers.
	short     *metrics.Counter
	control   *metrics.Counter
	platform  *metrics.Counter
	invalid   *metrics.Counter
	pauses    *metrics.Counter
	probes    *metrics.Counter
	panics    *metrics.Counter
	latency   *metrics.Histogram
}

func newCounters() *counters {
	set := metrics.NewSet()
	c := &counters{
		set:       set,
		refusals:  make(map[Reason]map[Run]*metrics.Counter),
		retries:   make(map[RetryReason]*metrics.Counter),
		noBudget:  set.NewCounter("pimento_retries_denied_total"),
		requests:  set.NewCounter("pimento_requests_total"),
		forwarded: set.NewCounter("pimento_forwarded_total"),
		served:    set.NewCounter("pimento_served_for_peers_total"),
		short:     set.NewCounter("pimento_answers_cut_total"),
		control:   set.NewCounter("pimento_control_bytes_total"),
		platform:  set.NewCounter("pimento_platform_failures_total"),
		invalid:   set.NewCounter("pimento_config_refused_total"),
		pauses:    set.NewCounter("pimento_pauses_total"),
		probes:    set.NewCounter("pimento_probes_total"),
		panics:    set.NewCounter("pimento_panics_total"),
		latency:   set.NewHistogram("pimento_request_seconds"),
	}
	for reason := range statuses {
		byRun := make(map[Run]*metrics.Counter)
		for _, run := range []Run{RunNo, RunYes, RunUnknown} {
			byRun[run] = set.NewCounter(`pimento_refusals_total{reason="` + string(reason) + `",run="` + string(run) + `"}`)
		}
		c.refusals[reason] = byRun
	}
	for _, reason := range retryReasons {
		c.retries[reason] = set.NewCounter(`pimento_retries_total{reason="` + string(reason) + `"}`)
	}
	return c
}
