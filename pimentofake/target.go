package pimentofake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// RunRecord is one line of a target's log: one run of a request.
type RunRecord struct {
	Target    string `json:"target"`
	Domain    string `json:"domain"`
	Region    string `json:"region"`
	Key       string `json:"key,omitempty"`
	Reference string `json:"reference,omitempty"`
	Org       string `json:"org,omitempty"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Millis    int64  `json:"millis"` // Unix time.
}

// Target stands in for one target. Its exported fields are set before Serve.
type Target struct {
	Name, Domain, Region string
	// Slots is the number of requests that run at a time; others wait.
	Slots int
	// QueueLimit is the number of waiting requests beyond which it sheds load.
	QueueLimit int
	// ColdLimit is the number of outstanding requests that it bears while cold.
	// With more it falls over: all its connections break, and it is cold anew.
	ColdLimit int
	// Warmup is the time under load after which it is warm.
	Warmup time.Duration
	// WorkTime is the mean time of a request, exponentially distributed.
	WorkTime time.Duration
	// Log gets a RunRecord for each run. It may be nil.
	Log io.Writer
	// OnCrash is called when a marked request crashes the target. If it is nil,
	// the target falls over.
	OnCrash func()

	mu            sync.Mutex // Guards the fields below.
	outstanding   int
	bootID        string
	warmAt        time.Time // Zero until the first request after a start.
	slowdown      float64
	shedding      bool
	misreport     bool
	stalledBefore time.Time // Connections older than this are silent.
	conns         map[net.Conn]time.Time

	slots         chan struct{}
	coldPeak      atomic.Int64
	coldOverloads atomic.Int64
	crashes       atomic.Int64
	runs          atomic.Int64
	cancelled     atomic.Int64
	watch         pimentohttp.ConnWatcher
}

// BootHeader is the answer header whose value changes at each start.
const BootHeader = "X-Boot"

// CrashHeader marks a request that crashes the target that runs it.
const CrashHeader = "X-Crash"

// ReferenceHeader is the caller's own reference.
const ReferenceHeader = "X-Reference"

// Serve serves until the listener is closed.
func (t *Target) Serve(ln net.Listener) error {
	t.mu.Lock()
	t.slots = make(chan struct{}, t.Slots)
	t.conns = make(map[net.Conn]time.Time)
	if t.slowdown == 0 {
		t.slowdown = 1
	}
	t.bootID = strconv.FormatUint(rand.Uint64(), 36)
	t.mu.Unlock()
	stop := make(chan struct{})
	defer close(stop)
	go t.watch.Run(stop)
	server := &fasthttp.Server{
		Handler:               t.handle,
		NoDefaultServerHeader: true,
		ConnState:             t.track,
		IdleTimeout:           5 * time.Minute,
		Logger:                discardLogger{},
	}
	return server.Serve(ln)
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (t *Target) track(c net.Conn, state fasthttp.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		t.conns[c] = time.Now()
	case fasthttp.StateClosed:
		delete(t.conns, c)
	}
}

// ColdOverloads returns the number of times that the target fell over while cold.
func (t *Target) ColdOverloads() int64 { return t.coldOverloads.Load() }

// Crashes returns the number of marked requests that crashed the target.
func (t *Target) Crashes() int64 { return t.crashes.Load() }

// Runs returns the number of runs.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Cancelled returns the number of runs that were cancelled.
func (t *Target) Cancelled() int64 { return t.cancelled.Load() }

// ColdPeak returns the most requests that it had outstanding while cold.
func (t *Target) ColdPeak() int64 { return t.coldPeak.Load() }

// SetSlowdown multiplies the time of requests.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// SetShedding lets the target refuse all requests.
func (t *Target) SetShedding(shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedding = shed
}

// StallConnections lets all open connections go silent for good.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalledBefore = time.Now()
}

// Restart turns the target cold without warning and breaks its connections.
func (t *Target) Restart() {
	t.mu.Lock()
	t.bootID = strconv.FormatUint(rand.Uint64(), 36)
	t.warmAt = time.Time{}
	conns := make([]net.Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/fake/") {
		t.handleOrder(ctx, strings.TrimPrefix(path, "/fake/"))
		return
	}
	if t.isStalled(ctx.Conn()) {
		time.Sleep(time.Hour)
		return
	}
	ctx.Response.Header.Set(BootHeader, t.currentBootID())
	if path == "/load" {
		t.serveLoad(ctx)
		return
	}
	if !t.admit() {
		ctx.Error("busy", fasthttp.StatusServiceUnavailable)
		return
	}
	defer t.release()
	t.execute(ctx)
}

func (t *Target) currentBootID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bootID
}

func (t *Target) isStalled(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stalledBefore.IsZero() && t.conns[c].Before(t.stalledBefore)
}

// serveLoad is the serveLoad endpoint. It lags, because it tells of slots in use only,
// and misleads on order.
func (t *Target) serveLoad(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	n, mislead := t.outstanding, t.misreport
	t.mu.Unlock()
	if mislead {
		n = 0
	}
	ctx.SetBodyString(fmt.Sprintf(`{"outstanding":%d}`, n))
}

// admit counts a request, and reports false if the target sheds it.
func (t *Target) admit() bool {
	t.mu.Lock()
	if t.shedding || t.outstanding >= t.Slots+t.QueueLimit {
		t.mu.Unlock()
		return false
	}
	t.outstanding++
	now := time.Now()
	if t.warmAt.IsZero() {
		t.warmAt = now.Add(t.Warmup)
	}
	cold := now.Before(t.warmAt)
	n := t.outstanding
	t.mu.Unlock()
	if cold && int64(n) > t.coldPeak.Load() {
		t.coldPeak.Store(int64(n))
	}
	if cold && n > t.ColdLimit {
		t.coldOverloads.Add(1)
		t.Restart()
	}
	return true
}

func (t *Target) release() {
	t.mu.Lock()
	t.outstanding--
	t.mu.Unlock()
}

func (t *Target) execute(ctx *fasthttp.RequestCtx) {
	gone := make(chan struct{})
	w := t.watch.Add(ctx.Conn(), func() { close(gone) })
	defer t.watch.Remove(w)
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-gone:
		t.cancelled.Add(1)
		return
	}
	t.logRun(ctx)
	if len(ctx.Request.Header.Peek(CrashHeader)) > 0 {
		t.crash()
		return
	}
	select {
	case <-time.After(t.sampleWorkTime()):
	case <-gone:
		t.cancelled.Add(1)
		return
	}
	t.respond(ctx)
}

func (t *Target) crash() {
	t.crashes.Add(1)
	if t.OnCrash != nil {
		t.OnCrash()
	}
	t.Restart()
}

func (t *Target) sampleWorkTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(rand.ExpFloat64() * t.slowdown * float64(t.WorkTime))
}

// logRun logs a run.
func (t *Target) logRun(ctx *fasthttp.RequestCtx) {
	t.runs.Add(1)
	if t.Log == nil {
		return
	}
	line, err := json.Marshal(RunRecord{
		Target: t.Name, Domain: t.Domain, Region: t.Region,
		Key:       string(ctx.Request.Header.Peek("Idempotency-Key")),
		Reference: string(ctx.Request.Header.Peek(ReferenceHeader)),
		Org:       string(ctx.Request.Header.Peek("Pimento-Org")),
		Method:    string(ctx.Method()),
		Path:      string(ctx.RequestURI()),
		Millis:    time.Now().UnixMilli(),
	})
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.Log.Write(append(line, '\n'))
}

// respond writes an respond that the caller can check: its reference, and as
// many bytes as the query "size" asks for.
func (t *Target) respond(ctx *fasthttp.RequestCtx) {
	reference := string(ctx.Request.Header.Peek(ReferenceHeader))
	ctx.Response.Header.Set(ReferenceHeader, reference)
	ctx.Response.Header.Set("X-Target", t.Name)
	size := ctx.QueryArgs().GetUintOrZero("size")
	if size == 0 {
		ctx.SetBody(ResponseBody(reference, 0))
		return
	}
	ctx.SetBodyStream(io.LimitReader(&repeatReader{unit: ResponseBody(reference, 0)}, int64(size)), size)
}

// ResponseBody returns the body of the answer to a reference. Size 0 means one unit.
func ResponseBody(reference string, size int) []byte {
	unit := []byte("answer to " + reference + "\n")
	if size == 0 {
		return unit
	}
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// repeatReader repeats its unit for ever.
type repeatReader struct {
	unit   []byte
	offset int
}

// Read implements io.Reader.
func (p *repeatReader) Read(dst []byte) (int, error) {
	n := 0
	for n < len(dst) {
		c := copy(dst[n:], p.unit[p.offset:])
		n += c
		p.offset = (p.offset + c) % len(p.unit)
	}
	return n, nil
}

// handleOrder carries out an handleOrder of a script.
func (t *Target) handleOrder(ctx *fasthttp.RequestCtx, what string) {
	args := ctx.QueryArgs()
	switch what {
	case "slow":
		t.SetSlowdown(args.GetUfloatOrZero("factor"))
	case "shed":
		t.SetShedding(args.GetBool("on"))
	case "silence":
		t.StallConnections()
	case "restart":
		go t.Restart()
	case "mislead":
		t.mu.Lock()
		t.misreport = args.GetBool("on")
		t.mu.Unlock()
	case "state":
		ctx.SetBodyString(fmt.Sprintf(`{"runs":%d,"falls":%d,"cancelled":%d,"coldpeak":%d,"crashes":%d}`+"\n",
			t.Runs(), t.ColdOverloads(), t.Cancelled(), t.ColdPeak(), t.Crashes()))
	default:
		ctx.Error("no such order", fasthttp.StatusNotFound)
	}
}
