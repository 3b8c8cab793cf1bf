package pimentofake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentocaller"
)

// EntryBalancer stands in for the platform's balancer: it names the entries whose health
// is good, in turn.
type EntryBalancer struct {
	// CallerAddrs lists the entries' addresses for callers, and AdminAddrs those for
	// operators, in the same order.
	CallerAddrs, AdminAddrs []string

	healthy atomic.Pointer[[]string]
	counter atomic.Uint32
}

const (
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 150 * time.Millisecond
)

// Run asks for the entries' health until stop is closed.
func (g *EntryBalancer) Run(stop <-chan struct{}) {
	for {
		g.checkHealth()
		select {
		case <-stop:
			return
		case <-time.After(healthInterval):
		}
	}
}

func (g *EntryBalancer) checkHealth() {
	results := make([]bool, len(g.AdminAddrs))
	var wg sync.WaitGroup
	for i, address := range g.AdminAddrs {
		wg.Go(func() {
			code, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/health", healthTimeout)
			results[i] = err == nil && code == fasthttp.StatusOK
		})
	}
	wg.Wait()
	var good []string
	for i, ok := range results {
		if ok {
			good = append(good, g.CallerAddrs[i])
		}
	}
	if len(good) > 0 {
		g.healthy.Store(&good)
	}
}

// Next returns the address of an entry.
func (g *EntryBalancer) Next() string {
	good := g.healthy.Load()
	if good == nil {
		return g.CallerAddrs[int(g.counter.Add(1))%len(g.CallerAddrs)]
	}
	return (*good)[int(g.counter.Add(1))%len(*good)]
}

// Route is one kind of request in a load.
type Route struct {
	Service       string  `json:"service"`
	Method        string  `json:"method"`
	Path          string  `json:"path"`
	Org           string  `json:"org"`
	NonIdempotent bool    `json:"once"`
	Rate          float64 `json:"rate"` // Requests per second.
	Size          int     `json:"size"` // Bytes of the answer, 0 for a short one.
}

// Load is a bounded load of callers.
type Load struct {
	Routes []Route
	// Duration bounds the load.
	Duration time.Duration
	// NextEntry names the entry for each try.
	NextEntry func() string
	// Log gets a CallRecord for each non-idempotent request. It may be nil.
	Log io.Writer

	mu        sync.Mutex // Guards the fields below.
	summaries map[string]*RouteSummary
}

// CallRecord is one line of a caller's log: how one non-idempotent request ended.
type CallRecord struct {
	Reference string            `json:"reference"`
	Run       pimentocaller.Run `json:"run"`
	Reason    string            `json:"reason,omitempty"`
}

// RouteSummary is what callers saw on one route.
type RouteSummary struct {
	Sent, Succeeded, Invalid int
	Refused                  map[string]int
	latency                  *hdrhistogram.Histogram // Microseconds.
}

// Quantile returns a quantile, in percent, of the latency of answers.
func (s *RouteSummary) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// requestTimeout bounds one request.
const requestTimeout = 10 * time.Second

// Run sends the load and returns what the callers saw, by method and service.
func (l *Load) Run() map[string]*RouteSummary {
	l.summaries = make(map[string]*RouteSummary)
	clients := make(map[string]*pimentocaller.Client)
	for _, r := range l.Routes {
		if clients[r.Org] == nil {
			c, cleanup := pimentocaller.New(r.Org, l.NextEntry)
			defer cleanup()
			clients[r.Org] = c
		}
	}
	var wg sync.WaitGroup
	for i, r := range l.Routes {
		summary := l.summary(r)
		wg.Go(func() { l.sendRoute(i, r, clients[r.Org], summary) })
	}
	wg.Wait()
	return l.summaries
}

func (l *Load) summary(r Route) *RouteSummary {
	name := r.Method + " " + r.Service
	if l.summaries[name] == nil {
		l.summaries[name] = &RouteSummary{
			Refused: make(map[string]int),
			latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		}
	}
	return l.summaries[name]
}

// sendRoute sends the requests of one sendRoute at random times.
func (l *Load) sendRoute(number int, r Route, c *pimentocaller.Client, s *RouteSummary) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	next := start
	run := rand.Uint32()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / r.Rate * float64(time.Second)))
		if next.Sub(start) > l.Duration {
			return
		}
		time.Sleep(time.Until(next))
		reference := fmt.Sprintf("%08x-%d-%d", run, number, n)
		wg.Go(func() { l.send(r, c, s, reference) })
	}
}

func (l *Load) send(r Route, c *pimentocaller.Client, s *RouteSummary, reference string) {
	req := &pimentocaller.Request{
		Service: r.Service, Method: r.Method, Path: r.Path, Once: r.NonIdempotent, Timeout: requestTimeout,
		Header: []pimentocaller.Field{{Name: ReferenceHeader, Value: reference}},
	}
	if r.Size > 0 {
		req.Path += fmt.Sprintf("?size=%d", r.Size)
	}
	if r.Method == fasthttp.MethodPost {
		req.Body = []byte(reference)
	}
	start := time.Now()
	answer, err := c.Do(req)
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Sent++
	line := CallRecord{Reference: reference, Run: pimentocaller.RunYes}
	switch {
	case err != nil:
		line.Reason = errorReason(err)
		s.Refused[line.Reason]++
		line.Run = pimentocaller.RunUnknown
		if strings.HasPrefix(line.Reason, "unreachable") {
			line.Run = pimentocaller.RunNo
		}
	case answer.Refused():
		line.Run = answer.Run
		line.Reason = answer.Reason
		s.Refused[answer.Reason+" (run "+string(answer.Run)+")"]++
	case answer.Status != fasthttp.StatusOK || !isValid(answer, reference, r.Size):
		s.Invalid++
	default:
		s.Succeeded++
		_ = s.latency.RecordValue(took.Microseconds())
	}
	l.logCall(r, line)
}

func errorReason(err error) string {
	if e, ok := err.(*pimentocaller.Error); ok && e.Kind == pimentocaller.KindUnreachable {
		return "unreachable (run no)"
	}
	return "unanswered (run unknown)"
}

// isValid reports whether an answer belongs to the request and is whole.
func isValid(a *pimentocaller.Answer, reference string, size int) bool {
	return string(a.Header.Peek(ReferenceHeader)) == reference && bytes.Equal(a.Body, ResponseBody(reference, size))
}

// logCall is called with l.mu held.
func (l *Load) logCall(r Route, line CallRecord) {
	if l.Log == nil || !r.NonIdempotent {
		return
	}
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	_, _ = l.Log.Write(append(data, '\n'))
}
