package pimentoentry

import (
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
)

// All targets of a service refuse with Retry-After. They get nothing from the entry until
// that time has passed, also from other callers, who are refused at once and told when to
// come again.
func TestPausedTargets(t *testing.T) {
	const pause = 1500 * time.Millisecond
	f := newCluster(t, 2)
	m := f.start("west-a")
	f.awaitReady()
	f.warm("/charts/x")
	for _, tg := range f.targets {
		tg.SetShedding(true)
		tg.SetPause(strconv.FormatFloat(pause.Seconds(), 'f', 1, 64))
	}
	// The target in the other region is cold, and no entry there warms it up.
	f.is.Equal(f.request(m, "GET", "/charts/x", "any", "").StatusCode(), fasthttp.StatusServiceUnavailable)
	paused, sheds := time.Now(), f.sumTargets((*pimentofake.Target).Sheds)
	for time.Since(paused) < pause-200*time.Millisecond {
		began := time.Now()
		resp := f.request(m, "GET", "/charts/x", "any", "")
		f.is.Equal(resp.StatusCode(), fasthttp.StatusServiceUnavailable)
		f.is.Equal(string(resp.Header.Peek(headerReason)), string(ReasonPaused))
		f.is.Equal(string(resp.Header.Peek(headerRun)), string(RunNo))
		after, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
		f.is.NoErr(err)
		left := pause.Seconds() - time.Since(paused).Seconds()
		f.is.True(after > left-0.2 && after < left+0.5)
		f.is.True(time.Since(began) < 500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	f.is.Equal(f.sumTargets((*pimentofake.Target).Sheds), sheds)
	for _, tg := range f.targets {
		tg.SetShedding(false)
	}
	f.await("targets are back", func() bool { return f.request(m, "GET", "/charts/x", "any", "").StatusCode() == fasthttp.StatusOK })
	f.is.True(time.Since(paused) >= pause-200*time.Millisecond)
}
