package main

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

type measureCmd struct {
	Direct  string  `arg:"--direct,required" placeholder:"IP:PORT" help:"a target"`
	Entry   string  `arg:"--entry,required" placeholder:"IP:PORT" help:"an entry's address for callers"`
	Admin   string  `arg:"--admin,required" placeholder:"IP:PORT" help:"an entry's address for operators"`
	Path    string  `arg:"--path" default:"/charts/x"`
	Org     string  `arg:"--org" default:"oviedo"`
	Seconds float64 `arg:"--seconds" default:"3" help:"duration of each measurement"`
}

// measurement holds the results of one measurement.
type measurement struct {
	rate     float64
	p50, p99 time.Duration
	cpu      time.Duration // CPU time of the entry per call.
	failed   int
}

// runMeasure compares calls through an entry with direct calls to a target, alternately,
// and prints the results.
func runMeasure(cmd *measureCmd) error {
	fmt.Println("closed loop: callers send the next call when they have the answer")
	fmt.Printf("%8s %28s %28s %20s %12s\n", "callers", "direct calls/s p50 p99", "entry calls/s p50 p99", "added p50 p99", "entry CPU")
	for _, callers := range []int{1, 16, 256} {
		if err := cmd.compare(callers, 0); err != nil {
			return err
		}
	}
	perCall, err := cmd.measureCPU()
	if err != nil {
		return err
	}
	halfRate := float64(time.Second) / float64(perCall) / 2
	fmt.Printf("open loop at half of what one core can carry, %.0f calls/s\n", halfRate)
	for _, callers := range []int{16, 256} {
		if err := cmd.compare(callers, halfRate); err != nil {
			return err
		}
	}
	return cmd.measureMemory()
}

// compare measures direct calls and calls through the entry and prints both.
func (cmd *measureCmd) compare(callers int, rate float64) error {
	direct, err := cmd.load(cmd.Direct, callers, rate)
	if err != nil {
		return err
	}
	entry, err := cmd.load(cmd.Entry, callers, rate)
	if err != nil {
		return err
	}
	fmt.Printf("%8d %9.0f %8s %8s %10.0f %8s %8s %10s %8s %9s  failed %d\n", callers,
		direct.rate, formatMicros(direct.p50), formatMicros(direct.p99), entry.rate, formatMicros(entry.p50), formatMicros(entry.p99),
		formatMicros(entry.p50-direct.p50), formatMicros(entry.p99-direct.p99), formatMicros(entry.cpu), direct.failed+entry.failed)
	return nil
}

// formatMicros formats a duration in microseconds.
func formatMicros(d time.Duration) string { return fmt.Sprintf("%dus", d.Microseconds()) }

// measureCPU returns the CPU time that an entry spends per call under load.
func (cmd *measureCmd) measureCPU() (time.Duration, error) {
	f, err := cmd.load(cmd.Entry, 16, 0)
	return f.cpu, err
}

// load sends calls from a number of concurrent callers at rate calls per second in total
// and returns their measurement. Rate 0 means a closed loop.
func (cmd *measureCmd) load(address string, callers int, rate float64) (measurement, error) {
	client := &fasthttp.HostClient{Addr: address, MaxConns: callers, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	before, err := readMetric(cmd.Admin, "process_cpu_seconds_total")
	if err != nil {
		return measurement{}, err
	}
	var mu sync.Mutex
	all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	failed := 0
	start := time.Now()
	end := start.Add(time.Duration(cmd.Seconds * float64(time.Second)))
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			h, failures := cmd.callLoop(client, address, end, newPacer(i, callers, rate))
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
			failed += failures
		})
	}
	wg.Wait()
	took := time.Since(start)
	after, err := readMetric(cmd.Admin, "process_cpu_seconds_total")
	if err != nil {
		return measurement{}, err
	}
	n := max(all.TotalCount(), 1)
	return measurement{
		rate: float64(n) / took.Seconds(), failed: failed,
		p50: time.Duration(all.ValueAtQuantile(50)) * time.Microsecond,
		p99: time.Duration(all.ValueAtQuantile(99)) * time.Microsecond,
		cpu: time.Duration((after - before) * float64(time.Second) / float64(n)),
	}, nil
}

// newPacer returns a function that waits until the scheduled time of the next call of
// caller i. It doesn't wait in a closed loop (rate 0).
func newPacer(i, callers int, rate float64) func() {
	if rate == 0 {
		return func() {}
	}
	gap := time.Duration(float64(callers) / rate * float64(time.Second))
	next := time.Now().Add(gap * time.Duration(i) / time.Duration(callers))
	return func() {
		time.Sleep(time.Until(next))
		next = next.Add(gap)
		if now := time.Now(); next.Before(now) {
			next = now
		}
	}
}

// callLoop sends calls until end. It returns the latencies in microseconds of the
// successful ones and the number of failed ones.
func (cmd *measureCmd) callLoop(client *fasthttp.HostClient, address string, end time.Time, wait func()) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + cmd.Path)
	req.Header.Set("Pimento-Org", cmd.Org)
	failed := 0
	for {
		wait()
		start := time.Now()
		if start.After(end) {
			return h, failed
		}
		if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
			failed++
			continue
		}
		_ = h.RecordValue(max(time.Since(start).Microseconds(), 1))
	}
}

// idleConnections is the number of connections opened to measure the memory per
// connection.
const idleConnections = 2000

// measureMemory prints the entry's resident memory per open, idle connection of a caller.
func (cmd *measureCmd) measureMemory() error {
	before, err := readMetric(cmd.Admin, "process_resident_memory_bytes")
	if err != nil {
		return err
	}
	for range idleConnections {
		conn, err := net.Dial("tcp", cmd.Entry)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		req := "GET " + cmd.Path + " HTTP/1.1\r\nHost: x\r\nPimento-Org: " + cmd.Org + "\r\n\r\n"
		if _, err := conn.Write([]byte(req)); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	after, err := readMetric(cmd.Admin, "process_resident_memory_bytes")
	if err != nil {
		return err
	}
	fmt.Printf("memory for each open connection: %.1f KB (from %.1f MB to %.1f MB with %d)\n",
		(after-before)/idleConnections/1024, before/(1<<20), after/(1<<20), idleConnections)
	return nil
}

// readMetric returns the value of a metric of an entry. The metric must have no labels.
func readMetric(admin, name string) (float64, error) {
	_, body, err := fasthttp.Get(nil, "http://"+admin+"/metrics")
	if err != nil {
		return 0, err
	}
	m := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindSubmatch(body)
	if m == nil {
		return 0, fmt.Errorf("%s/metrics has no metric %s", admin, name)
	}
	return strconv.ParseFloat(string(m[1]), 64)
}
