package pimentogate

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// reason is the reason why a request was refused or retried, as in logs and
// metrics.
type reason string

const (
	reasonNone         reason = ""
	reasonUnconfigured reason = "unconfigured" // No configuration is known yet.
	reasonRoute        reason = "route"        // No route matches.
	reasonKey          reason = "key"          // No organisation has its key.
	reasonUnconfirmed  reason = "unconfirmed"  // Its configuration or key may not be in force.
	reasonMoved        reason = "moved"        // Its key has another holder, or its route another service.
	reasonHome         reason = "home"         // The target is in no home region of it now; another is chosen.
	reasonQuota        reason = "quota"        // Its organisation's quota is used up.
	reasonInvalid      reason = "invalid"      // The request isn't valid HTTP, or is ambiguous.
	reasonHead         reason = "head"         // Its head exceeds the limit.
	reasonLarge        reason = "large"        // Its body exceeds the limit.
	reasonSlow         reason = "slow"         // It didn't arrive in time.
	reasonTargets      reason = "targets"      // No target may be used.
	reasonPaused       reason = "paused"       // All targets asked for a pause.
	reasonBusy         reason = "busy"         // No target or worker can take it now.
	reasonLineFull     reason = "line_full"    // Requests that cost callers more fill the line.
	reasonLineLate     reason = "line_late"    // Room would come too late for it.
	reasonBudget       reason = "budget"       // The retry allowance is spent.
	reasonAttempts     reason = "attempts"     // The route's attempts are used up.
	reasonTimeout      reason = "timeout"      // The deadline has passed.
	reasonIncomplete   reason = "broken"       // No complete and authentic response.
	reasonCrash        reason = "crash"        // The request crashes targets.
	reasonCallerGone   reason = "left"         // The call was abandoned.
	reasonStopping     reason = "stopping"     // It would outlast the planned stop.
	reasonMemory       reason = "memory"       // Its body doesn't fit in the memory now.
	reasonLink         reason = "link"         // Its body can't arrive and be sent in time.
	reasonSilent       reason = "silent"       // Its target was full and won't respond.
	reasonUnread       reason = "unread"       // Unused: such requests get no response.
)

// retryNotExecuted is the reason of a retry after a target's statement that it didn't
// execute the request.
const retryNotExecuted reason = "notrun"

// response is what a caller receives: a target's response, or one of this entry's own.
type response struct {
	http *fasthttp.Response
	// reason is empty for a target's response that is forwarded.
	reason reason
	// closeConn is set if the caller's connection is closed after the response.
	closeConn bool
}

// status returns the status of this entry's own responses. A status that callers
// take as a promise that the request wasn't executed is used only if it wasn't and
// never will be.
func (r reason) status(mayHaveRun bool) int {
	switch r {
	case reasonRoute:
		return fasthttp.StatusNotFound
	case reasonKey:
		if mayHaveRun {
			return fasthttp.StatusBadGateway
		}
		return fasthttp.StatusUnauthorized
	case reasonInvalid:
		return fasthttp.StatusBadRequest
	case reasonHead:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case reasonLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case reasonSlow:
		return fasthttp.StatusRequestTimeout
	case reasonTimeout:
		if mayHaveRun {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusServiceUnavailable
	case reasonCrash:
		return fasthttp.StatusBadGateway
	}
	if mayHaveRun {
		return fasthttp.StatusBadGateway
	}
	if r == reasonQuota {
		return fasthttp.StatusTooManyRequests
	}
	return fasthttp.StatusServiceUnavailable
}

// refusal returns a response of this entry's own.
func (g *Gate) refusal(c *call, why reason, retryAfter time.Duration) *response {
	resp := fasthttp.AcquireResponse()
	resp.Header.SetNoDefaultContentType(true)
	mayHaveRun := c != nil && c.mayHaveRun
	resp.SetStatusCode(why.status(mayHaveRun))
	if c != nil && c.id != "" {
		resp.Header.Set(g.dialect.RequestID, c.id)
	}
	returns := resp.StatusCode() == fasthttp.StatusServiceUnavailable || resp.StatusCode() == fasthttp.StatusTooManyRequests
	if returns && retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	g.metrics.countRefusal(why)
	return &response{http: resp, reason: why}
}
