package pimentohttp

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Retry-After counts in refusals, in seconds with fractions, up to a limit.
func TestRetryAfter(t *testing.T) {
	for _, tc := range []struct {
		status  int
		text    string
		want    time.Duration
		invalid string
	}{
		{503, "", 0, ""}, {503, "1.5", 1500 * time.Millisecond, ""}, {429, "2", 2 * time.Second, ""}, {200, "2", 0, ""}, {500, "x", 0, ""},
		{503, "0", 0, ""}, {503, "-1", 0, "-1"}, {503, "soon", 0, "soon"}, {503, "NaN", 0, "NaN"}, {503, "1e300", maxRetryAfter, ""},
	} {
		resp := new(fasthttp.Response)
		resp.SetStatusCode(tc.status)
		if tc.text != "" {
			resp.Header.Set(fasthttp.HeaderRetryAfter, tc.text)
		}
		if d, invalid := RetryAfter(resp); d != tc.want || invalid != tc.invalid {
			t.Errorf("%d %q: %v, invalid %q, want %v, %q", tc.status, tc.text, d, invalid, tc.want, tc.invalid)
		}
	}
}
