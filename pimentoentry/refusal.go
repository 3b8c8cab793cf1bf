package pimentoentry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// Run says whether a refused request was executed.
type Run string

const (
	// RunNo means that the request was not executed and, if it has a key, never will be
	// under that key.
	RunNo Run = "no"
	// RunYes means that the request was executed.
	RunYes Run = "yes"
	// RunUnknown means that the request may have been executed.
	RunUnknown Run = "unknown"
)

// Reason is the reason for a refusal, as sent to the caller.
type Reason string

// Reasons for refusals. docs/OPERATING.md says what to do about each.
const (
	ReasonPath         Reason = "path"         // The path names no service.
	ReasonService      Reason = "service"      // The register has no such service.
	ReasonOrganisation Reason = "organisation" // The register has no such organisation.
	ReasonTimeout      Reason = "timeout"      // The timeout header is invalid.
	ReasonMethod       Reason = "method"       // Keys are issued by POST only.
	ReasonHead         Reason = "head"         // The head of the request is invalid.
	ReasonLong         Reason = "long"         // The head of the request is too long.
	ReasonBody         Reason = "body"         // The request is incomplete.
	ReasonLate         Reason = "late"         // The request didn't arrive in time.
	ReasonLarge        Reason = "large"        // The body of the request is too large.
	ReasonMemory       Reason = "memory"       // Its body doesn't fit in the memory now.
	ReasonConfig       Reason = "config"       // No configuration is active yet.
	ReasonHome         Reason = "home"         // No entry of a home region can serve it.
	ReasonNoKey        Reason = "nokey"        // The route needs a key.
	ReasonForged       Reason = "forged"       // The key was never issued for this scope.
	ReasonReused       Reason = "reused"       // The key was used by another request.
	ReasonVoid         Reason = "void"         // The key was refused before and is void.
	ReasonForgotten    Reason = "forgotten"    // Executed, but the response isn't stored.
	ReasonIssuer       Reason = "issuer"       // The holder of the key didn't respond.
	ReasonUnsent       Reason = "unsent"       // Like issuer, but this copy wasn't sent.
	ReasonStopping     Reason = "stopping"     // The stopping holder has no successor.
	ReasonLost         Reason = "lost"         // A keyed request's response was lost.
	ReasonQueue        Reason = "queue"        // Too many requests wait for the service.
	ReasonDeadline     Reason = "deadline"     // The deadline passed in the queue.
	ReasonSlow         Reason = "slow"         // The deadline passed at the target.
	ReasonTargets      Reason = "targets"      // No target that this entry may send to.
	ReasonPaused       Reason = "paused"       // All targets have asked for a pause.
	ReasonRefused      Reason = "refused"      // Targets refused to execute the request.
	ReasonFailed       Reason = "failed"       // A target, a peer or this entry failed.
	ReasonQuarantine   Reason = "quarantine"   // Targets drop connections on the request.
	ReasonGone         Reason = "gone"         // The caller has disconnected.
)

// statusClientGone is the status for callers that have disconnected, which never
// receive it.
const statusClientGone = 499

// statuses maps each reason to its HTTP status.
var statuses = map[Reason]int{
	ReasonPath:         fasthttp.StatusNotFound,
	ReasonService:      fasthttp.StatusNotFound,
	ReasonOrganisation: fasthttp.StatusForbidden,
	ReasonTimeout:      fasthttp.StatusBadRequest,
	ReasonMethod:       fasthttp.StatusMethodNotAllowed,
	ReasonHead:         fasthttp.StatusBadRequest,
	ReasonLong:         fasthttp.StatusRequestHeaderFieldsTooLarge,
	ReasonBody:         fasthttp.StatusBadRequest,
	ReasonLate:         fasthttp.StatusRequestTimeout,
	ReasonLarge:        fasthttp.StatusRequestEntityTooLarge,
	ReasonMemory:       fasthttp.StatusServiceUnavailable,
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
	ReasonPaused:       fasthttp.StatusServiceUnavailable,
	ReasonRefused:      fasthttp.StatusServiceUnavailable,
	ReasonFailed:       fasthttp.StatusBadGateway,
	ReasonQuarantine:   fasthttp.StatusServiceUnavailable,
	ReasonGone:         statusClientGone,
}

// refusal is a response by this system in place of a target's.
type refusal struct {
	reason Reason
	run    Run
	detail string
	// allCopies is set if run holds for all copies of the request under its key, not
	// for this copy only.
	allCopies bool
	// retryAfter is the time after which the caller may try again, 0 if it isn't known.
	retryAfter time.Duration
}

// forAllCopies sets allCopies. It is for refusals that no other entry can contradict:
// those by the holder of the key, those by the entry that sends the request on its
// behalf, and those of keys that can't be parsed.
func (f *refusal) forAllCopies() *refusal {
	f.allCopies = true
	return f
}

// limitToCopy changes RunNo to RunUnknown for a request with a key unless the refusal
// holds for all copies, because only the holder of the key has a record of the other
// copies.
func (f *refusal) limitToCopy(c *call) {
	if f.run == RunNo && !f.allCopies && len(c.req.Header.Peek(headerKey)) > 0 {
		f.run = RunUnknown
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason Reason `json:"reason"`
	Run    Run    `json:"run"`
	Detail string `json:"detail"`
}

// refuse returns a refusal. detail goes to the caller.
func refuse(reason Reason, run Run, detail string) *refusal {
	return &refusal{reason: reason, run: run, detail: detail}
}

// write sets the refusal as the response.
func (f *refusal) write(resp *fasthttp.Response) {
	resp.Reset()
	resp.SetStatusCode(statuses[f.reason])
	resp.Header.SetContentType("application/json")
	resp.Header.Set(headerRun, string(f.run))
	resp.Header.Set(headerReason, string(f.reason))
	if f.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(refusalBody{Reason: f.reason, Run: f.run, Detail: f.detail})
	if err != nil {
		return
	}
	resp.SetBodyRaw(body)
}

// RetryReason is the reason for sending a request again.
type RetryReason string

// Reasons for retries.
const (
	RetryConnect RetryReason = "connect" // No connection was available.
	RetryBroken  RetryReason = "broken"  // The connection failed.
	RetryInvalid RetryReason = "invalid" // The response was invalid.
	RetryRefused RetryReason = "refused" // The target refused the request.
	RetrySilent  RetryReason = "silent"  // No response arrived in time.
	RetryHedge   RetryReason = "hedge"   // The response took longer than usual.
	RetryPeer    RetryReason = "peer"    // The connection to a peer failed.
)

// retryReasons lists the reasons that are counted.
var retryReasons = []RetryReason{
	RetryConnect, RetryBroken, RetryInvalid, RetryRefused, RetrySilent, RetryHedge, RetryPeer,
}

// counters are the metrics of one entry.
type counters struct {
	set              *metrics.Set
	refusals         map[Reason]map[Run]*metrics.Counter
	retries          map[RetryReason]*metrics.Counter
	retriesDenied    *metrics.Counter
	requests         *metrics.Counter
	forwarded        *metrics.Counter
	servedForPeers   *metrics.Counter
	incomplete       *metrics.Counter // Responses that targets cut short.
	controlBytes     *metrics.Counter // Bytes of own heartbeats and their replies.
	platformFailures *metrics.Counter
	listenFailures   *metrics.Counter
	configsRefused   *metrics.Counter
	stalls           *metrics.Counter
	probes           *metrics.Counter
	targetPauses     *metrics.Counter // Pauses that targets have asked for.
	pausesIgnored    *metrics.Counter // Invalid ones.
	panics           *metrics.Counter
	latency          *metrics.Histogram
}

// newCounters returns the counters, registered in a new set.
func newCounters() *counters {
	set := metrics.NewSet()
	c := &counters{
		set:              set,
		refusals:         make(map[Reason]map[Run]*metrics.Counter),
		retries:          make(map[RetryReason]*metrics.Counter),
		retriesDenied:    set.NewCounter("pimento_retries_denied_total"),
		requests:         set.NewCounter("pimento_requests_total"),
		forwarded:        set.NewCounter("pimento_forwarded_total"),
		servedForPeers:   set.NewCounter("pimento_served_for_peers_total"),
		incomplete:       set.NewCounter("pimento_answers_cut_total"),
		controlBytes:     set.NewCounter("pimento_control_bytes_total"),
		platformFailures: set.NewCounter("pimento_platform_failures_total"),
		listenFailures:   set.NewCounter("pimento_listen_failures_total"),
		configsRefused:   set.NewCounter("pimento_config_refused_total"),
		stalls:           set.NewCounter("pimento_pauses_total"),
		probes:           set.NewCounter("pimento_probes_total"),
		targetPauses:     set.NewCounter("pimento_target_pauses_total"),
		pausesIgnored:    set.NewCounter("pimento_pauses_ignored_total"),
		panics:           set.NewCounter("pimento_panics_total"),
		latency:          set.NewHistogram("pimento_request_seconds"),
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
