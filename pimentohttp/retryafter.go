package pimentohttp

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRetryAfter bounds the time that RetryAfter returns, so that it fits a duration.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the time in the Retry-After header of a target's refusal, which is in
// seconds, fractions included. It is 0 in responses with another status than 503 and 429,
// and without the header. invalid is the text of a header that has no such time.
func RetryAfter(resp *fasthttp.Response) (d time.Duration, invalid string) {
	status := resp.StatusCode()
	text := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
	if text == "" || (status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusTooManyRequests) {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, text
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), ""
}
