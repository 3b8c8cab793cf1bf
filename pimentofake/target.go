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

// RunRecord is one line of a target's log: one execution of a request.
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

// Target is a fake of one target. Its exported fields are set before Serve.
type Target struct {
	Name, Domain, Region string
	// Slots is the number of requests that are executed at a time. Others wait.
	Slots int
	// QueueLimit is the number of waiting requests above which it sheds load.
	QueueLimit int
	// ColdLimit is the maximum number of outstanding requests while it is cold. More of
	// them overload it, which makes it restart: it closes all its connections and is cold
	// again.
	ColdLimit int
	// Warmup is the time from the first request after a start until it is warm.
	Warmup time.Duration
	// WorkTime is the mean execution time of a request. It is exponentially distributed.
	WorkTime time.Duration
	// Log receives a RunRecord for each execution. It may be nil.
	Log io.Writer
	// OnCrash is called when a request with CrashHeader crashes the target. Unless it
	// ends the process, the target restarts as after an overload. It may be nil.
	OnCrash func()

	mu            sync.Mutex // Guards the fields below.
	outstanding   int
	bootID        string
	warmAt        time.Time // Zero before the first request after a start.
	slowdown      float64
	shedding      bool
	retryAfter    string // Of refusals.
	misreport     bool
	stalledBefore time.Time // Connections older than this get no responses.
	conns         map[net.Conn]time.Time

	slots         chan struct{}
	coldPeak      atomic.Int64
	coldOverloads atomic.Int64
	crashes       atomic.Int64
	runs          atomic.Int64
	sheds         atomic.Int64
	cancelled     atomic.Int64
	watcher       pimentohttp.ConnWatcher
}

// BootHeader is the response header whose value changes at each start.
const BootHeader = "X-Boot"

// CrashHeader is the request header that crashes the target executing the request.
const CrashHeader = "X-Crash"

// ReferenceHeader has the caller's reference of a request. It is repeated in the
// response.
const ReferenceHeader = "X-Reference"

// Serve serves requests until the listener is closed.
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
	go t.watcher.Run(stop)
	server := &fasthttp.Server{
		Handler:               t.handle,
		NoDefaultServerHeader: true,
		ConnState:             t.track,
		IdleTimeout:           5 * time.Minute,
		Logger:                discardLogger{},
	}
	return server.Serve(ln)
}

// discardLogger is a fasthttp.Logger without output.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// track records when connections were opened.
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

// ColdOverloads returns the number of requests above ColdLimit, each of which made the
// target restart.
func (t *Target) ColdOverloads() int64 { return t.coldOverloads.Load() }

// Crashes returns the number of requests that crashed the target.
func (t *Target) Crashes() int64 { return t.crashes.Load() }

// Runs returns the number of executions, cancelled ones included.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Sheds returns the number of requests that the target has refused.
func (t *Target) Sheds() int64 { return t.sheds.Load() }

// Cancelled returns the number of requests that were cancelled because the client closed
// the connection, before or during their execution.
func (t *Target) Cancelled() int64 { return t.cancelled.Load() }

// ColdPeak returns the maximum number of requests outstanding while the target was cold.
func (t *Target) ColdPeak() int64 { return t.coldPeak.Load() }

// SetSlowdown multiplies the execution time of requests by factor.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// SetShedding makes the target refuse all requests with status 503 while shedding is
// true.
func (t *Target) SetShedding(shedding bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shedding = shedding
}

// SetPause sets the Retry-After header of refusals, "" for none.
func (t *Target) SetPause(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = text
}

// pause returns the Retry-After header of refusals.
func (t *Target) pause() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryAfter
}

// StallConnections stops responses on all connections that are open now, permanently. The
// connections stay open.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stalledBefore = time.Now()
}

// Restart simulates an unplanned restart: the target is cold, has a new boot id, and
// resets its connections.
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

// handle serves one request.
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
		t.sheds.Add(1)
		ctx.Response.Header.Set(BootHeader, t.currentBootID())
		if text := t.pause(); text != "" {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, text)
		}
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

// isStalled reports whether StallConnections was called after c was opened.
func (t *Target) isStalled(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stalledBefore.IsZero() && t.conns[c].Before(t.stalledBefore)
}

// serveLoad serves the number of outstanding requests, waiting ones included, or 0 after
// the order mislead.
func (t *Target) serveLoad(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	n, misreport := t.outstanding, t.misreport
	t.mu.Unlock()
	if misreport {
		n = 0
	}
	ctx.SetBodyString(fmt.Sprintf(`{"outstanding":%d}`, n))
}

// admit counts a request as outstanding. It returns false if the target sheds it instead.
// A request above the limit of a cold target makes the target restart.
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

// release ends a request that admit has counted.
func (t *Target) release() {
	t.mu.Lock()
	t.outstanding--
	t.mu.Unlock()
}

// execute waits for a slot, executes the request and responds. It stops when the client
// closes the connection.
func (t *Target) execute(ctx *fasthttp.RequestCtx) {
	disconnected := make(chan struct{})
	w := t.watcher.Add(ctx.Conn(), func() { close(disconnected) })
	defer t.watcher.Remove(w)
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-disconnected:
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
	case <-disconnected:
		t.cancelled.Add(1)
		return
	}
	t.respond(ctx)
}

// crash simulates a crash.
func (t *Target) crash() {
	t.crashes.Add(1)
	if t.OnCrash != nil {
		t.OnCrash()
	}
	t.Restart()
}

// sampleWorkTime returns a random execution time.
func (t *Target) sampleWorkTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(rand.ExpFloat64() * t.slowdown * float64(t.WorkTime))
}

// logRun counts an execution and writes it to the log.
func (t *Target) logRun(ctx *fasthttp.RequestCtx) {
	t.runs.Add(1)
	if t.Log == nil {
		return
	}
	data, err := json.Marshal(RunRecord{
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
	_, _ = t.Log.Write(append(data, '\n'))
}

// respond writes a response that the caller can verify. It has the caller's reference and
// as many bytes as the query argument size requests.
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

// ResponseBody returns the response body for a reference: size bytes of a repeated unit
// that contains the reference. Size 0 means one unit.
func ResponseBody(reference string, size int) []byte {
	unit := []byte("answer to " + reference + "\n")
	if size == 0 {
		return unit
	}
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
}

// repeatReader is a reader of an endlessly repeated unit.
type repeatReader struct {
	unit   []byte
	offset int
}

// Read fills dst. It returns no errors.
func (p *repeatReader) Read(dst []byte) (int, error) {
	n := 0
	for n < len(dst) {
		c := copy(dst[n:], p.unit[p.offset:])
		n += c
		p.offset = (p.offset + c) % len(p.unit)
	}
	return n, nil
}

// handleOrder executes an order of a script.
func (t *Target) handleOrder(ctx *fasthttp.RequestCtx, order string) {
	args := ctx.QueryArgs()
	switch order {
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
