package pimentoentry

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkCall measures small reads through an entry, with the caller, the entry and
// the targets in one process.
func BenchmarkCall(b *testing.B) {
	f := newCluster(b, 8)
	for _, tg := range f.targets {
		tg.WorkTime = 0
	}
	m := f.start("west-a")
	f.awaitReady()
	client := &fasthttp.HostClient{Addr: m.settings.Callers, MaxIdemponentCallAttempts: 1, MaxConns: 1024}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://x/charts/x")
		req.Header.Set(headerOrg, "any")
		for pb.Next() {
			if err := client.DoTimeout(req, resp, 5*time.Second); err != nil || resp.StatusCode() != 200 {
				b.Fatal(err, resp.String())
			}
		}
	})
}
