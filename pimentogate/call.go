package pimentogate

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentoroute"
)

// call is one request of a caller while it is served.
type call struct {
	req      *fasthttp.Request
	id       string
	callerIP string // The caller's IP address.
	received time.Time
	// callerDeadline is the time at which the caller gives up, zero if the request
	// doesn't state it.
	callerDeadline time.Time
	// fingerprint identifies repeated copies of the request. It is set by
	// passesQuarantine.
	fingerprint pimentoretry.Fingerprint

	table   *pimentoroute.Table
	route   *pimentoroute.Route
	service *pimentoroute.Service
	// organisation is the one that the request acts for, or nil.
	organisation *pimentoroute.Organisation
	// key is the digest of the request's key, if hasKey is set.
	key    pimentoroute.Digest
	hasKey bool
	// quota is the token for the next send of an organisation with a limit, nil without one.
	quota atomic.Pointer[heldToken]
	// early is the response to a request that was refused by its head. Its body wasn't read.
	early    *response
	urgent   bool      // Requests to the service with a lower priority came lately.
	repeat   bool      // Its caller has probably sent it before.
	deadline time.Time // When the final response is due.

	// memory counts the bytes that are held for the call. releaseMemory gives them back. Both
	// are nil until the head of the request was checked.
	memory        *pimentomemory.Grant
	releaseMemory func()
	bodyBytes     int           // Those of the request's body.
	bodyUsers     atomic.Int32  // The call while it is served, and its sends.
	bodyTurn      time.Duration // When it is sent, on routes with large bodies, see Gate.paceBody.

	tried         []pimentoroute.TargetID
	sends         int        // Sends that a target may have executed or refused.
	mayHaveRun    bool       // The request was executed, or a send's outcome is unknown.
	retryReason   reason     // Why the last send needed a retry.
	lastCandidate *candidate // The last chosen target.
	// rejected is the best target found when the request was refused, nil without one.
	rejected *candidate
	// waiter is the call in the line of its service, nil if it hasn't been there.
	waiter     *lineCall
	lastSentAt time.Time
	lastSend   *send // The last send whose outcome counted.

	mu        sync.Mutex // Guards the fields below.
	exchanges []*pimentohttp.Exchange
	abandoned bool
	done      chan struct{} // Closed when the call is abandoned.
}

// maxCallerDeadline bounds the time that a caller may state to wait.
const maxCallerDeadline = time.Hour

// newCall returns a call for a request that was read completely.
func newCall(req *fasthttp.Request, d *Dialect, callerIP string, received time.Time) *call {
	c := &call{
		req:      req,
		id:       string(req.Header.Peek(d.RequestID)),
		callerIP: callerIP,
		received: received,
		done:     make(chan struct{}),
	}
	c.bodyUsers.Store(1)
	if ms, err := strconv.ParseFloat(string(req.Header.Peek(d.Deadline)), 64); err == nil && ms >= 0 {
		ms = min(ms, float64(maxCallerDeadline.Milliseconds()))
		c.callerDeadline = received.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	return c
}

// setRoute sets the route and the deadline of the final response.
func (c *call) setRoute(r *pimentoroute.Route) {
	c.route = r
	c.deadline = c.received.Add(r.Timeout)
	if !c.callerDeadline.IsZero() && c.callerDeadline.Before(c.deadline) {
		c.deadline = c.callerDeadline
	}
}

// abandon cancels the sends of a call whose caller has closed its connection or gets
// no more responses on it.
func (c *call) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	c.abandoned = true
	close(c.done)
	for _, x := range c.exchanges {
		x.Cancel()
	}
}

// addExchange registers an exchange that is cancelled when the call is abandoned. It
// reports false if the call was abandoned already.
func (c *call) addExchange(x *pimentohttp.Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.exchanges = append(c.exchanges, x)
	return true
}

// removeExchange makes a later end of the call leave an exchange open.
func (c *call) removeExchange(x *pimentohttp.Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = slices.DeleteFunc(c.exchanges, func(other *pimentohttp.Exchange) bool { return other == x })
}

// isAbandoned reports whether abandon was called.
func (c *call) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// retryable reports whether the request may be executed more than once.
func (c *call) retryable() bool { return c.route.Kind.Idempotent() }

// serviceName returns the name of the request's service.
func (c *call) serviceName() pimentoregister.ServiceName { return c.service.Name }
