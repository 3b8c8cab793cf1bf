package pimentogate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// reply is what a pipeTarget does with one request or probe.
type reply uint8

const (
	replyOK          reply = iota // A complete response.
	replyLarge                    // A complete response that isn't buffered.
	replyLargeFailed              // The same with status 500.
	replyCut                      // Half a response, and the connection closes.
	replyFailed                   // Status 500.
	replyRefused                  // Not executed.
	replyNone                     // The connection closes without a response.
	replyNever                    // No response.
	replyKinds
)

// behaviour is what a pipeTarget does with one request, and when.
type behaviour struct {
	Reply  reply
	Millis int
}

// pipeTarget is a target on in-memory connections. It counts those that are open.
type pipeTarget struct {
	id       pimentoroute.TargetID
	probes   []behaviour
	requests []behaviour

	mu             sync.Mutex // Guards the fields below.
	open           map[net.Conn]bool
	probed, served int
}

// dial opens a connection to the target.
func (t *pipeTarget) dial() net.Conn {
	near, far := net.Pipe()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = make(map[net.Conn]bool)
	}
	t.open[far] = true
	go func() {
		t.serve(far)
		_ = far.Close()
		t.mu.Lock()
		delete(t.open, far)
		t.mu.Unlock()
	}()
	return near
}

// closeAll closes the open connections and returns their number.
func (t *pipeTarget) closeAll() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		_ = c.Close()
	}
	return len(t.open)
}

// next returns what the target does with its next request or probe.
func (t *pipeTarget) next(isProbe bool) behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	list, n := t.requests, &t.served
	if isProbe {
		list, n = t.probes, &t.probed
	}
	*n++
	return list[*n%len(list)]
}

// serve serves one connection until one side closes it.
func (t *pipeTarget) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		isProbe := string(req.Header.RequestURI()) == "/health"
		b := t.next(isProbe)
		if !t.wait(c, r, time.Duration(b.Millis)*time.Millisecond) || !t.respond(c, r, &req, isProbe, b.Reply) {
			return
		}
	}
}

// wait reports false if the other end closes the connection within d.
func (t *pipeTarget) wait(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	if d == 0 {
		return true
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := r.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

func (t *pipeTarget) respond(c net.Conn, r *bufio.Reader, req *fasthttp.Request, isProbe bool, what reply) bool {
	head := fmt.Sprintf("X-Id: %s\r\nX-Target: %s\r\n", req.Header.Peek("X-Id"), t.id)
	write := func(status string, size int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sX-Sign: s\r\nContent-Length: %d\r\n\r\n%s", status, head, size, strings.Repeat("x", size))
		return err == nil
	}
	switch what {
	case replyNever:
		_, _ = r.Peek(1)
		return false
	case replyNone:
		return false
	case replyCut:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Sign: s\r\nContent-Length: 10\r\n\r\nxxx", head)
		return false
	}
	if isProbe {
		return write("200 OK", 0)
	}
	switch what {
	case replyLarge:
		return write("200 OK", maxBufferedResponse+1)
	case replyLargeFailed:
		return write("500 Internal Server Error", maxBufferedResponse+1)
	case replyFailed:
		return write("500 Internal Server Error", 2)
	case replyRefused:
		head += "X-Refused: 1\r\n"
		return write("503 Service Unavailable", 0)
	}
	return write("200 OK", 2)
}

// pipeDialect is the dialect of pipeTargets.
func pipeDialect() Dialect {
	return Dialect{
		RequestID: "X-Id", Deadline: "X-Deadline", ExpectedTarget: "X-Expected", Signature: "X-Sign",
		NotExecuted: func(r *fasthttp.Response) bool { return len(r.Header.Peek("X-Refused")) > 0 },
		ParseReport: func(r *fasthttp.Response) LoadReport {
			return LoadReport{Target: pimentoroute.TargetID(r.Header.Peek("X-Target")), Healthy: true, Slots: 3, Slowdown: 100}
		},
		ParseNotice: func(*fasthttp.Response) Notice { return Notice{} },
	}
}

// pipeGate returns a gate that doesn't run and whose targets are pipeTargets.
func pipeGate(t interface{ Fatal(...any) }, targets []*pipeTarget) (*Gate, func()) {
	s := DefaultSettings()
	s.Name, s.Domain = "g", "d"
	s.Regions = map[pimentoregister.DomainName]pimentoregister.RegionName{"d": "r"}
	s.RetryBase = 1000
	records := map[string]pimentoroute.Record{configKey: fleetRecord(configKey, 1)}
	records[configKey].Config.Services["s"].Health = "/health"
	for _, r := range records[configKey].Config.Routes {
		r.Objective, r.Attempts = 200*time.Millisecond, 3
	}
	items := []pimentofeed.Item{{Key: configKey, Revision: 1}}
	byAddress := make(map[string]*pipeTarget)
	for i, tg := range targets {
		address := fmt.Sprintf("10.0.0.%d:7", i+1)
		byAddress[address] = tg
		records[string(tg.id)] = pimentoroute.Record{Target: &pimentoroute.Target{ID: tg.id, Service: "s", Address: address, Domain: "d", Slots: 3}}
		items = append(items, pimentofeed.Item{Key: string(tg.id), Revision: 2})
	}
	decode := func(key string, _ []byte) (pimentoroute.Record, error) { return records[key], nil }
	g, cleanup, err := New(s, PlatformAdapter{Dialect: pipeDialect(), Decode: decode}, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	g.clusterSize.Store(1)
	g.client.Dial = func(address string, _ time.Duration) (net.Conn, error) { return byAddress[address].dial(), nil }
	g.applyUpdate(pimentofeed.Update{Full: true, AsOf: 2, Items: items}, sourcePlatform)
	return g, cleanup
}

// drawnCall is one request of a history.
type drawnCall struct {
	StartMillis, AbandonMillis int // AbandonMillis is 0 if the caller stays.
	Unsafe                     bool
	Reads                      bool // The caller reads the body of the response.
}

// connHistory is a history of requests, and what the targets do.
type connHistory struct {
	Probes, Requests [][]behaviour // Of each target.
	Calls            []drawnCall
}

func drawConnHistory(t *rapid.T) connHistory {
	var h connHistory
	draw := func(label string, replies []reply, millis int) []behaviour {
		return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour{Reply: rapid.SampledFrom(replies).Draw(t, "reply"), Millis: rapid.IntRange(0, millis).Draw(t, "ms")}
		}), 1, 4).Draw(t, label)
	}
	probeReplies := []reply{replyOK, replyOK, replyOK, replyNone, replyNever, replyCut}
	var requestReplies []reply
	for r := range replyKinds {
		requestReplies = append(requestReplies, r, replyOK)
	}
	for range rapid.IntRange(1, 4).Draw(t, "targets") {
		h.Probes = append(h.Probes, draw("probes", probeReplies, 120))
		h.Requests = append(h.Requests, draw("requests", requestReplies, 900))
	}
	h.Calls = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) drawnCall {
		return drawnCall{
			StartMillis:   rapid.IntRange(0, 800).Draw(t, "start"),
			AbandonMillis: max(0, rapid.IntRange(-600, 600).Draw(t, "abandon")),
			Unsafe:        rapid.Bool().Draw(t, "unsafe"),
			Reads:         rapid.Bool().Draw(t, "reads"),
		}
	}), 1, 8).Draw(t, "calls")
	return h
}

// restTime is the time after which no request, probe or crash check of a history runs.
const restTime = 10 * time.Second

// leakedConns replays a history and returns the connections that are open when nothing
// runs and the idle ones are closed: those that the gate counts, and those that the targets
// see.
func leakedConns(t interface{ Fatal(...any) }, h connHistory) (counted, seen int) {
	targets := make([]*pipeTarget, len(h.Probes))
	for i := range targets {
		targets[i] = &pipeTarget{id: pimentoroute.TargetID(fmt.Sprint("i-", i)), probes: h.Probes[i], requests: h.Requests[i]}
	}
	g, cleanup := pipeGate(t, targets)
	defer cleanup()
	for i, d := range h.Calls {
		go runDrawnCall(g, i, d)
	}
	time.Sleep(restTime)
	synctest.Wait()
	g.client.CloseAllIdle()
	synctest.Wait()
	counted = g.client.OpenConns()
	for _, tg := range targets {
		seen += tg.closeAll()
	}
	return counted, seen
}

// runDrawnCall sends one request of a history.
func runDrawnCall(g *Gate, i int, d drawnCall) {
	time.Sleep(time.Duration(d.StartMillis) * time.Millisecond)
	var req fasthttp.Request
	req.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.Header.Set("X-Id", fmt.Sprint("r", i))
	c := newCall(&req, &g.dialect, "10.9.0.1", time.Now())
	c.table = g.table.Load()
	route := *c.table.Config.Routes[0]
	if d.Unsafe {
		route.Kind = pimentoroute.KindUnsafe
	}
	c.setRoute(&route)
	c.service = c.table.Config.Services["s"]
	if d.AbandonMillis > 0 {
		time.AfterFunc(time.Duration(d.AbandonMillis)*time.Millisecond, c.abandon)
	}
	resp := g.sendWithRetries(c)
	if d.Reads && resp.http.IsBodyStream() {
		_, _ = io.Copy(io.Discard, resp.http.BodyStream())
	}
	releaseResponse(resp)
}

// Connections that probes, sends and hedges acquire are closed or given back, however a
// request ends. The gate's own random choices aren't drawn, so that a history that fails may
// need several tries to fail again.
func TestConnectionsAreGivenBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawConnHistory(rt)
		counted, seen := 0, 0
		synctest.Test(t, func(t *testing.T) { counted, seen = leakedConns(t, h) })
		if counted != 0 || seen != 0 {
			rt.Fatalf("%d connections are counted as open and %d are, want none", counted, seen)
		}
	})
}
