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

// EntryBalancer is a fake of the platform's balancer. It selects healthy entries in
// round-robin order.
type EntryBalancer struct {
	// CallerAddrs has the entries' addresses for callers, AdminAddrs those for operators,
	// in the same order.
	CallerAddrs, AdminAddrs []string

	healthy atomic.Pointer[[]string] // Addresses for callers. Nil until a check finds one.
	counter atomic.Uint32
}

const (
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 150 * time.Millisecond
)

// Run checks the entries' health periodically until stop is closed.
func (b *EntryBalancer) Run(stop <-chan struct{}) {
	for {
		b.checkHealth()
		select {
		case <-stop:
			return
		case <-time.After(healthInterval):
		}
	}
}

// checkHealth checks the health of all entries. If none is healthy, the previous result
// stays.
func (b *EntryBalancer) checkHealth() {
	results := make([]bool, len(b.AdminAddrs))
	var wg sync.WaitGroup
	for i, address := range b.AdminAddrs {
		wg.Go(func() {
			code, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/health", healthTimeout)
			results[i] = err == nil && code == fasthttp.StatusOK
		})
	}
	wg.Wait()
	var healthy []string
	for i, ok := range results {
		if ok {
			healthy = append(healthy, b.CallerAddrs[i])
		}
	}
	if len(healthy) > 0 {
		b.healthy.Store(&healthy)
	}
}

// Next returns the address for callers of the next healthy entry. Until a check finds a
// healthy entry, all entries count as healthy.
func (b *EntryBalancer) Next() string {
	healthy := b.healthy.Load()
	if healthy == nil {
		return b.CallerAddrs[int(b.counter.Add(1))%len(b.CallerAddrs)]
	}
	return (*healthy)[int(b.counter.Add(1))%len(*healthy)]
}

// Route describes one kind of request of a load.
type Route struct {
	Service       string  `json:"service"`
	Method        string  `json:"method"`
	Path          string  `json:"path"`
	Org           string  `json:"org"`
	NonIdempotent bool    `json:"once"`
	Rate          float64 `json:"rate"` // Requests per second.
	Size          int     `json:"size"` // Bytes of the response body. 0: a short one.
}

// Load generates requests of callers for a limited time.
type Load struct {
	Routes []Route
	// Duration is the time during which requests are started.
	Duration time.Duration
	// NextEntry returns the address of the entry for each attempt.
	NextEntry func() string
	// Log receives a CallRecord for each non-idempotent request. It may be nil.
	Log io.Writer

	mu        sync.Mutex // Guards the fields below.
	summaries map[string]*RouteSummary
}

// CallRecord is one line of a caller's log: the outcome of one non-idempotent request.
type CallRecord struct {
	Reference string            `json:"reference"`
	Run       pimentocaller.Run `json:"run"`
	Reason    string            `json:"reason,omitempty"`
}

// RouteSummary holds the counts and latencies that callers observed on one route.
type RouteSummary struct {
	// Invalid counts responses with a wrong status, reference or body.
	Sent, Succeeded, Invalid int
	Refused                  map[string]int          // By reason.
	latency                  *hdrhistogram.Histogram // Microseconds.
}

// Quantile returns the latency of successful requests at quantile q, in percent.
func (s *RouteSummary) Quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// requestTimeout bounds one request.
const requestTimeout = 10 * time.Second

// Run sends the load, waits for all outcomes, and returns the summaries. Their keys have
// the form "METHOD service".
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

// summary returns the summary of a route's method and service and creates it if it is
// missing.
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

// sendRoute sends the requests of one route as a Poisson process. number is the route's
// index in Routes.
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

// send sends one request and records its outcome.
func (l *Load) send(r Route, c *pimentocaller.Client, s *RouteSummary, reference string) {
	req := &pimentocaller.Request{
		Service: r.Service, Method: r.Method, Path: r.Path, NonIdempotent: r.NonIdempotent, Timeout: requestTimeout,
		Header: []pimentocaller.HeaderField{{Name: ReferenceHeader, Value: reference}},
	}
	if r.Size > 0 {
		req.Path += fmt.Sprintf("?size=%d", r.Size)
	}
	if r.Method == fasthttp.MethodPost {
		req.Body = []byte(reference)
	}
	start := time.Now()
	resp, err := c.Do(req)
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Sent++
	record := CallRecord{Reference: reference, Run: pimentocaller.RunYes}
	switch {
	case err != nil:
		record.Reason = errorReason(err)
		s.Refused[record.Reason]++
		record.Run = pimentocaller.RunUnknown
		if strings.HasPrefix(record.Reason, "unreachable") {
			record.Run = pimentocaller.RunNo
		}
	case resp.Refused():
		record.Run = resp.Run
		record.Reason = resp.Reason
		s.Refused[resp.Reason+" (run "+string(resp.Run)+")"]++
	case resp.Status != fasthttp.StatusOK || !isValid(resp, reference, r.Size):
		s.Invalid++
	default:
		s.Succeeded++
		_ = s.latency.RecordValue(took.Microseconds())
	}
	l.logCall(r, record)
}

// errorReason returns the text under which a failed call is counted.
func errorReason(err error) string {
	if e, ok := err.(*pimentocaller.Error); ok && e.Kind == pimentocaller.KindUnreachable {
		return "unreachable (run no)"
	}
	return "unanswered (run unknown)"
}

// isValid reports whether a response belongs to the request and is complete.
func isValid(resp *pimentocaller.Response, reference string, size int) bool {
	return string(resp.Header.Peek(ReferenceHeader)) == reference && bytes.Equal(resp.Body, ResponseBody(reference, size))
}

// logCall writes a record to the log if the route isn't idempotent. It is called with
// l.mu held.
func (l *Load) logCall(r Route, record CallRecord) {
	if l.Log == nil || !r.NonIdempotent {
		return
	}
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = l.Log.Write(append(data, '\n'))
}
