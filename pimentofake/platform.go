package pimentofake

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// VM is one VM of the published list.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
}

// watchTimeout is the time after which a watch without a change gets status 304.
const watchTimeout = 20 * time.Second

// Platform is a fake of the platform's service. The zero value is ready to use. It is
// safe for concurrent use.
type Platform struct {
	// Lag is the delay between SetVMs and the publication of the list.
	Lag time.Duration

	mu      sync.Mutex // Guards the fields below.
	values  map[string]publishedValue
	vmList  publishedValue
	seq     uint64        // Number of calls of SetVMs.
	listSeq uint64        // The value of seq for the published list.
	changed chan struct{} // Closed and replaced at each change.
	down    bool
	delay   time.Duration
	stale   map[string]publishedValue // Served instead of values if it isn't nil.

	calls atomic.Uint64
}

// publishedValue is a revision of a value.
type publishedValue struct {
	revision uint64
	data     []byte
}

// Calls returns the number of requests so far, without orders. A watch counts once,
// however long it waits.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

// Set publishes a value under its next revision and returns the revision.
func (p *Platform) Set(name string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[string]publishedValue)
	}
	rev := p.values[name].revision + 1
	p.values[name] = publishedValue{revision: rev, data: data}
	p.notifyWatches()
	return rev
}

// SetRevision publishes a value under a given revision, which may be lower than the last.
func (p *Platform) SetRevision(name string, rev uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = make(map[string]publishedValue)
	}
	p.values[name] = publishedValue{revision: rev, data: data}
	p.notifyWatches()
}

// SetVMs publishes a list of VMs after Lag.
func (p *Platform) SetVMs(vms []VM) {
	data, err := json.Marshal(vms)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	p.seq++
	seq := p.seq
	p.mu.Unlock()
	time.AfterFunc(p.Lag, func() { p.publishList(seq, data) })
}

// publishList publishes a list unless a later one is already published. Timers that
// expire at the same moment run in any order.
func (p *Platform) publishList(seq uint64, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seq < p.listSeq {
		return
	}
	p.listSeq = seq
	p.vmList = publishedValue{revision: p.vmList.revision + 1, data: data}
	p.notifyWatches()
}

// SetDown makes all requests fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetDelay delays all requests by d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetStale freezes the values that requests return, until it is called with false. The
// list of VMs isn't affected.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = nil
	if stale {
		p.stale = make(map[string]publishedValue)
		for name, v := range p.values {
			p.stale[name] = v
		}
	}
	p.notifyWatches()
}

// notifyWatches wakes waiting watches. It is called with p.mu held.
func (p *Platform) notifyWatches() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// Handler serves the platform's protocol and orders below /fake/. A request with the
// query argument after waits for a revision above it.
func (p *Platform) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/fake/") {
		p.handleOrder(ctx, strings.TrimPrefix(path, "/fake/"))
		return
	}
	p.calls.Add(1)
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	deadline := time.Now().Add(watchTimeout)
	for {
		v, ok, changed := p.read(path)
		switch {
		case !ok:
			ctx.Error("no such value", fasthttp.StatusServiceUnavailable)
			return
		case v.revision > after:
			ctx.Response.Header.Set("Revision", strconv.FormatUint(v.revision, 10))
			ctx.SetBody(v.data)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return
		}
	}
}

// read returns the present value of a path, whether there is one, and a channel that is
// closed at the next change.
func (p *Platform) read(path string) (publishedValue, bool, <-chan struct{}) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if p.down {
		return publishedValue{}, false, nil
	}
	if path == "/vms" {
		return p.vmList, p.vmList.revision > 0, p.changed
	}
	values := p.values
	if p.stale != nil {
		values = p.stale
	}
	v, ok := values[strings.TrimPrefix(path, "/values/")]
	return v, ok, p.changed
}

// handleOrder executes an order of a script.
func (p *Platform) handleOrder(ctx *fasthttp.RequestCtx, order string) {
	args := ctx.QueryArgs()
	switch order {
	case "set":
		rev := p.Set(string(args.Peek("name")), append([]byte(nil), ctx.PostBody()...))
		ctx.SetBodyString(strconv.FormatUint(rev, 10) + "\n")
	case "vms":
		var vms []VM
		if err := json.Unmarshal(ctx.PostBody(), &vms); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetVMs(vms)
	case "down":
		p.SetDown(args.GetBool("on"))
	case "stale":
		p.SetStale(args.GetBool("on"))
	case "slow":
		p.SetDelay(time.Duration(args.GetUintOrZero("ms")) * time.Millisecond)
	case "calls":
		ctx.SetBodyString(strconv.FormatUint(p.Calls(), 10) + "\n")
	default:
		ctx.Error("no such order", fasthttp.StatusNotFound)
	}
}
