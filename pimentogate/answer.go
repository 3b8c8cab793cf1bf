package pimentogate

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// reason says in one word why a request wasn't served.
type reason string

const (
	reasonNone         reason = ""
	reasonUnconfigured reason = "unconfigured" // No configuration is known yet.
	reasonRoute        reason = "route"        // No route matches.
	reasonInvalid      reason = "invalid"      // Not a valid request.
	reasonLarge        reason = "large"        // Head or body above the limits.
	reasonTargets      reason = "targets"      // No target may be sent to.
	reasonBusy         reason = "busy"         // All targets refused.
	reasonBudget       reason = "budget"       // No repeat is left.
	reasonAttempts     reason = "attempts"     // The route's attempts are used up.
	reasonTimeout      reason = "timeout"      // The route's timeout passed.
	reasonIncomplete   reason = "broken"       // The target broke off.
	reasonCrash        reason = "crash"        // The request crashes targets.
	reasonCallerGone   reason = "left"         // The caller has gone.
	reasonUnread       reason = "unread"       // Followed an answer that closed the connection.
)

// response is what a caller gets.
type response struct {
	resp *fasthttp.Response
	// reason is empty for a target's answer that is passed on.
	reason reason
	// closeConn the caller's connection after it.
	closeConn bool
}

// status returns the status of an answer of this entry's own. Only a request
// that hasn't run and never will is refused with a status that promises so.
func (w reason) status(mayRan bool) int {
	switch w {
	case reasonRoute:
		return fasthttp.StatusNotFound
	case reasonInvalid:
		return fasthttp.StatusBadRequest
	case reasonLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case reasonTimeout:
		if mayRan {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusServiceUnavailable
	case reasonCrash:
		return fasthttp.StatusBadGateway
	}
	if mayRan {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

// refusal returns an answer of this entry's own.
func (g *Gate) refusal(c *call, why reason, comeBack time.Duration) *response {
	resp := fasthttp.AcquireResponse()
	resp.Header.SetNoDefaultContentType(true)
	mayRan := c != nil && c.mayHaveRun
	resp.SetStatusCode(why.status(mayRan))
	if c != nil && c.id != "" {
		resp.Header.Set(g.dialect.RequestID, c.id)
	}
	if resp.StatusCode() == fasthttp.StatusServiceUnavailable && comeBack > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(comeBack.Seconds(), 'f', 3, 64))
	}
	g.metrics.countRefusal(why)
	return &response{resp: resp, reason: why}
}
