package pimentoentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
	"pimentoarch/pimentoregister"
)

// warm sends reads for path, /{service}/x, until each entry reports as warm all targets
// of the service of which it has a share.
func (f *cluster) warm(path string) {
	f.t.Helper()
	for _, m := range f.entries {
		f.await("targets warm", func() bool {
			for _, sender := range f.entries {
				f.request(sender, "GET", path, "any", "")
			}
			for _, s := range m.Status().Services {
				if "/"+string(s.Name)+"/x" != path {
					continue
				}
				for _, tg := range s.Targets {
					if tg.State != "warm" && tg.Share > 0 {
						return false
					}
				}
			}
			return true
		})
	}
}

// A request that crashes every target it runs on must crash at most two targets, even
// if it is sent a hundred times through different entries. Guards the quarantine and
// the exchange of crashes between entries.
func TestCrashingRequest(t *testing.T) {
	f := newCluster(t, 12)
	for _, d := range []pimentoregister.DomainName{"west-a", "west-b", "west-a", "west-b"} {
		f.start(d)
	}
	f.awaitReady()
	f.warm("/charts/x")
	for n := range 100 {
		m := f.entries[n%len(f.entries)]
		resp := f.request(m, "GET", "/charts/poison", "any", "", pimentofake.CrashHeader, "1", headerTimeout, "1000")
		if resp.StatusCode() == 200 {
			t.Fatal("a request that crashes its targets got status 200")
		}
	}
	if n := f.sumTargets((*pimentofake.Target).Crashes); n > 2 {
		t.Errorf("the request crashed %d targets, want at most 2", n)
	}
	f.is.Equal(f.request(f.entries[0], "GET", "/charts/x", "any", "").StatusCode(), 200)
}

// While half of the targets refuse every request, retries must stay within their
// budget. When the targets accept requests again, all reads must succeed.
func TestNoRetryStorm(t *testing.T) {
	f := newCluster(t, 8)
	m := f.start("west-a")
	f.awaitReady()
	f.warm("/charts/x")
	shed := func(on bool) {
		for i, tg := range f.targets {
			if i%2 == 0 {
				tg.SetShedding(on)
			}
		}
	}
	shed(true)
	before := f.sumTargets((*pimentofake.Target).Runs)
	const calls = 1000
	for range calls {
		f.request(m, "GET", "/charts/x", "any", "")
	}
	retries := uint64(0)
	for _, c := range m.counters.retries {
		retries += c.Get()
	}
	if retries > calls/10+40 {
		t.Errorf("%d retries for %d calls", retries, calls)
	}
	if runs := f.sumTargets((*pimentofake.Target).Runs) - before; runs > calls+calls/10+40 {
		t.Errorf("%d runs for %d calls", runs, calls)
	}
	shed(false)
	time.Sleep(2 * time.Second)
	for range 100 {
		f.is.Equal(f.request(m, "GET", "/charts/x", "any", "").StatusCode(), 200)
	}
}

// All pooled connections become silent at once: they stay open, but no response
// arrives. No response may be wrong, no booking may run twice, and reads must succeed
// again within one timeout.
func TestSilentConnections(t *testing.T) {
	f := newCluster(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	f.warm("/charts/x")
	for range 30 {
		f.request(m, "GET", "/charts/x", "any", "")
	}
	key := f.freshKey(m, "any")
	f.is.Equal(f.book(m, key, "desk").StatusCode(), 200)
	for _, tg := range f.targets {
		tg.StallConnections()
	}
	start := time.Now()
	f.await("successful read", func() bool {
		resp := f.request(m, "GET", "/charts/x", "any", "", headerTimeout, "1000", pimentofake.ReferenceHeader, "r")
		if resp.StatusCode() == 200 && string(resp.Body()) != string(pimentofake.ResponseBody("r", 0)) {
			t.Fatalf("body %q", resp.Body())
		}
		return resp.StatusCode() == 200
	})
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("reads succeeded again after %s", took)
	}
	f.is.Equal(f.book(m, key, "desk").StatusCode(), 200)
	f.is.Equal(f.book(m, f.freshKey(m, "any"), "desk 2").StatusCode(), 200)
	for key, lines := range f.runs() {
		if len(lines) != 1 {
			t.Errorf("key %s ran %d times", key, len(lines))
		}
	}
}

// revisionEverywhere returns a function that reports whether the revision is active at
// all entries.
func (f *cluster) revisionEverywhere(rev uint64) func() bool {
	return func() bool {
		for _, m := range f.entries {
			if uint64(m.store.View().Revision) != rev {
				return false
			}
		}
		return true
	}
}

// Accepted revisions must reach every entry, and none may be replaced by an older one,
// while the platform publishes an invalid revision, goes back to an old one, or is
// down. The invalid revision must change nothing and be reported in the status.
func TestConfigurationUnderFaults(t *testing.T) {
	f := newCluster(t, 4)
	f.start("west-a")
	f.start("east-a")
	f.awaitReady()
	f.await("revision 1", f.revisionEverywhere(1))

	f.platform.Set("config", []byte(`{"regions":[]}`))
	f.await("refused revision in the status", func() bool {
		st := f.entries[0].Status()
		return st.RefusedRevision == 2 && st.RefusedReason != ""
	})
	f.is.True(f.revisionEverywhere(1)())

	f.doc.Rules.OutOfService = []pimentoregister.DomainName{"west-b"}
	f.publish()
	f.await("revision 3", f.revisionEverywhere(3))

	// The platform returns to an older revision, with other content.
	data, err := json.Marshal(f.doc)
	f.is.NoErr(err)
	f.platform.SetRevision("config", 2, data)
	// Receives the old revision from the platform, and the newer one from a peer.
	f.start("west-b")
	f.await("revision 3 at the new entry", f.revisionEverywhere(3))

	// The platform is down: one entry gets a revision, and the others fetch it from it.
	f.platform.SetDown(true)
	f.doc.Rules.OutOfService = nil
	data, err = json.Marshal(f.doc)
	f.is.NoErr(err)
	f.is.NoErr(f.entries[1].offerConfig(9, data))
	start := time.Now()
	f.await("revision 9", f.revisionEverywhere(9))
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("the revision was active at all entries after %s", took)
	}
}

// When a failure domain is set out of service, every entry must stop sending new
// requests there within seconds, and the health check of the entry there must fail.
func TestDomainOut(t *testing.T) {
	f := newCluster(t, 8)
	f.start("west-a")
	f.start("west-b")
	f.awaitReady()
	f.warm("/charts/x")
	f.doc.Rules.OutOfService = []pimentoregister.DomainName{"west-b"}
	f.publish()
	f.await("domain out of service at all entries", f.revisionEverywhere(2))
	f.is.Equal(httpStatus(f.entries[1].settings.Admin, "/health"), 503)
	before := f.runsIn("west-b")
	for n := range 200 {
		f.is.Equal(f.request(f.entries[n%2], "GET", "/charts/x", "any", "").StatusCode(), 200)
	}
	f.is.Equal(f.runsIn("west-b"), before)
}

// httpStatus returns the status of a GET request, or 0 if it failed.
func httpStatus(address, path string) int {
	code, _, err := fasthttp.Get(nil, "http://"+address+path)
	if err != nil {
		return 0
	}
	return code
}

// runsIn returns the number of requests that the targets in a domain have run.
func (f *cluster) runsIn(domain string) int64 {
	var n int64
	for _, tg := range f.targets {
		if tg.Domain == domain {
			n += tg.Runs()
		}
	}
	return n
}

// slowReader reads a body of size bytes in steps that take the time d or longer.
func slowReader(r io.Reader, size int, d time.Duration) ([]byte, error) {
	const steps = 40
	var all bytes.Buffer
	for range steps {
		if _, err := io.CopyN(&all, r, int64(size/steps)); err != nil {
			return all.Bytes(), err
		}
		time.Sleep(d / steps)
	}
	_, err := io.Copy(&all, r)
	return all.Bytes(), err
}

// download begins a large download that takes at least two seconds. The returned
// function waits for its end and checks that the body is complete.
func (f *cluster) download(m *member, org string) (wait func()) {
	const size = 40 << 20
	req, err := http.NewRequest("GET", fmt.Sprintf("http://%s/charts/pack?size=%d", m.settings.Callers, size), nil)
	f.is.NoErr(err)
	req.Header.Set(headerOrg, org)
	req.Header.Set(pimentofake.ReferenceHeader, "pack")
	resp, err := http.DefaultClient.Do(req)
	f.is.NoErr(err)
	var wg sync.WaitGroup
	var body []byte
	wg.Go(func() { body, err = slowReader(resp.Body, size, 2*time.Second) })
	return func() {
		wg.Wait()
		f.is.NoErr(err)
		f.is.True(bytes.Equal(body, pimentofake.ResponseBody("pack", size)))
	}
}

// A planned stop must cut no download, refuse no request, and hand over its keys:
// requests under unused keys run at the successor, which also returns the stored
// responses of used ones.
func TestPlannedStopHandover(t *testing.T) {
	f := newCluster(t, 8)
	stopped, other := f.start("west-a"), f.start("west-b")
	f.awaitReady()
	f.warm("/charts/x")
	used, unused := f.freshKey(stopped, "any"), f.freshKey(stopped, "any")
	f.is.Equal(f.book(stopped, used, "used").StatusCode(), 200)

	wait := f.download(stopped, "any")
	close(stopped.stop)
	f.await("health check fails", func() bool { return httpStatus(stopped.settings.Admin, "/health") == 503 })
	f.await("keys adopted", func() bool { return len(other.keys.adoptedRangeIssuers()) == 1 })
	// The stopping entry still accepts requests during its grace time.
	f.is.Equal(f.book(stopped, unused, "unused").StatusCode(), 200)
	wait()
	f.is.NoErr(<-stopped.done)

	for key, text := range map[string]string{used: "used", unused: "unused"} {
		resp := f.book(other, key, text)
		f.is.Equal(resp.StatusCode(), 200)
		f.is.Equal(string(resp.Body()), string(pimentofake.ResponseBody(text, 0)))
		f.is.Equal(len(f.runs()[key]), 1)
	}
}

// The holder of a key ends without a handover. The outcome of a request under the key
// must be unknown, and no other entry may run the request.
func TestKeyHolderCrash(t *testing.T) {
	f := newCluster(t, 4)
	gone, other := f.start("west-a"), f.start("west-b")
	f.awaitReady()
	key := f.freshKey(gone, "any")
	gone.cancel() // Ends at once, without a handover.
	<-gone.done
	resp := f.request(other, "POST", "/bookings/book", "any", "a", headerKey, key, headerTimeout, "1000")
	f.is.Equal(string(resp.Header.Peek(headerRun)), "unknown")
	f.is.Equal(len(f.runs()), 0)
}

// A target that restarts unannounced must become cold at all entries.
func TestColdAgain(t *testing.T) {
	f := newCluster(t, 2)
	f.start("west-a")
	f.start("west-b")
	f.awaitReady()
	f.warm("/charts/x")
	var tg *pimentofake.Target
	for _, c := range f.targets {
		if c.Name == "charts-0" {
			tg = c
		}
	}
	epoch := func(m *member) uint64 {
		s := m.service("charts")
		s.mu.Lock()
		defer s.mu.Unlock()
		return uint64(s.table.Target("charts-0").Phase.Epoch)
	}
	before := epoch(f.entries[0])
	tg.Restart()
	for _, m := range f.entries {
		f.await("cold at all entries", func() bool { return epoch(m) > before })
	}
	f.warm("/charts/x")
}

// An organisation's home regions change while its request waits for a target. The
// request must run in a new home region or not at all.
func TestHomeChangesWhileWaiting(t *testing.T) {
	f := newCluster(t, 2) // One target of each service in each region.
	m := f.start("west-a")
	f.awaitReady()
	f.warm("/charts/x")
	for _, tg := range f.targets {
		tg.SetSlowdown(1e6)
	}
	var wg sync.WaitGroup
	for range 3 { // Occupy all slots of the only target in region west.
		wg.Go(func() {
			f.request(m, "GET", "/charts/x", "westerly", "", headerTimeout, "2000")
		})
	}
	f.await("slots in use", func() bool {
		s := m.service("charts")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.Outstanding() == 3
	})
	wg.Go(func() {
		resp := f.request(m, "GET", "/charts/late", "westerly", "", headerTimeout, "4000", pimentofake.ReferenceHeader, "late")
		if resp.StatusCode() == 200 {
			t.Error("the request got status 200 from region west")
		}
	})
	f.await("request waits", func() bool { return m.service("charts").waiting.Load() > 0 })
	f.doc.Organisations[1].HomeRegions = []pimentoregister.RegionName{"east"}
	f.publish()
	f.await("revision 2", f.revisionEverywhere(2))
	wg.Wait()
	for _, log := range f.logs {
		for _, line := range runRecords(t, log) {
			if line.Reference == "late" && line.Region == "west" {
				t.Error("the request ran in a region that is no longer its home")
			}
		}
	}
}

// A planned stop must not cut a download that the entry serves for a peer.
func TestPlannedStopServesPeers(t *testing.T) {
	f := newCluster(t, 8)
	west, east := f.start("west-a"), f.start("east-a")
	f.awaitReady()
	f.warm("/charts/x")
	wait := f.download(east, "westerly")
	close(west.stop)
	wait()
	f.is.NoErr(<-west.done)
}
