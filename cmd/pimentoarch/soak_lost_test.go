package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/platform/standin"
)

// lostSoakSeeds are the seeds that CI runs. A seed that has failed once stays in the list,
// with the cause.
var lostSoakSeeds = []uint64{
	1, // The initial seed.
}

const (
	// lostSoakTime is the duration of the planned work in CI. SOAK_SECONDS overrides it.
	lostSoakTime = 9 * time.Second
	// lostSoakCallers is the number of callers. One in stubbornShare of them connects to
	// entries that aren't ready too.
	lostSoakCallers = 36
	stubbornShare   = 3
	// unreadSlack is the time after its last byte within which a request that no target
	// received may end without a response.
	unreadSlack = 200 * time.Millisecond
	// soakGrace is the time after a SIGTERM at which a process is killed.
	soakGrace = 6 * time.Second
)

// TestLostSoak stops, restarts and reconfigures gates in overlapping series, without any
// fault, while callers use their connections until they are closed. Each request that was
// sent must get a complete response, or its connection must be closed at once and the
// request not be executed. SOAK_SEEDS=N runs N new random seeds.
func TestLostSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "pimentoarch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := lostSoakSeeds
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64N(1e9))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newLostSoak(t, bin, seed).run() })
	}
}

// lostSoak is one run of the test.
type lostSoak struct {
	*soak
	seed     uint64
	balancer soakBalancer
	mu       sync.Mutex // Guards sent.
	sent     []sentRequest
}

// sentRequest is a request that a caller has written completely, as the caller saw it end.
type sentRequest struct {
	id, gate string
	number   int  // Of the request on its connection.
	behind   bool // It was sent behind another one without a response.
	written  time.Time
	status   int // 0 if the connection ended before the end of the response.
	ended    time.Time
	err      error
}

// newLostSoak starts a store and targets without faults and creates the settings of the
// gates.
func newLostSoak(t *testing.T, bin string, seed uint64) *lostSoak {
	s := &lostSoak{seed: seed, soak: &soak{t: t, bin: bin, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 1)), store: new(standin.Store)}}
	storeAddr := s.listen(s.store.Serve)
	for i := range 6 {
		tg := &standin.Target{ID: fmt.Sprint("i-", i), Slots: 12, WorkTime: []time.Duration{15, 60, 250}[i%3] * time.Millisecond}
		s.targets = append(s.targets, tg)
		s.addresses = append(s.addresses, s.listen(tg.Serve))
		s.publish(i, s.addresses[i], []string{"a1", "a2", "b1"}[i%3], "ready")
	}
	s.publishConfig()
	for i := range soakGateCount {
		s.gates = append(s.gates, s.newGate(i, storeAddr))
	}
	return s
}

func (s *lostSoak) run() {
	duration := lostSoakTime
	if n, err := strconv.Atoi(os.Getenv("SOAK_SECONDS")); err == nil {
		duration = time.Duration(n) * time.Second
	}
	for _, g := range s.gates {
		s.start(g)
	}
	defer func() {
		for _, g := range s.gates {
			g.signal(syscall.SIGKILL)
			_ = g.cmd.Wait()
		}
	}()
	s.awaitReady()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { s.balancer.run(s.gates, stop) })
	for i := range lostSoakCallers {
		c := &lostCaller{soak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(2+i))), name: fmt.Sprint("c", i, "-"), stubborn: i%stubbornShare == 0}
		wg.Go(func() { c.run(stop) })
	}
	s.doPlannedWork(time.Now().Add(duration))
	close(stop)
	wg.Wait()
	s.checkLost()
	if s.t.Failed() {
		s.printUnanswered()
	}
}

// awaitReady waits until all gates are ready.
func (s *lostSoak) awaitReady() {
	deadline := time.Now().Add(soakRecoveryTime)
	for _, g := range s.gates {
		for !g.isReady() {
			if time.Now().After(deadline) {
				s.t.Fatalf("gate %s isn't ready within %v", g.name, soakRecoveryTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// isReady performs one readiness check.
func (g *soakGate) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+g.readyAddr+"/api/ready", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// doPlannedWork stops, restarts and reconfigures gates until a time, and returns after the
// last one has been started again.
func (s *lostSoak) doPlannedWork(until time.Time) {
	var wg sync.WaitGroup
	restarting := make([]atomic.Bool, len(s.gates))
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+s.rng.IntN(600)) * time.Millisecond)
		i := s.rng.IntN(len(s.gates))
		g := s.gates[i]
		switch s.rng.IntN(8) {
		case 0, 1, 2, 3:
			if restarting[i].CompareAndSwap(false, true) {
				wg.Go(func() {
					s.restartWithinGrace(g)
					restarting[i].Store(false)
				})
			}
		case 4:
			if restarting[i].Load() { // A second SIGTERM changes nothing.
				g.signal(syscall.SIGTERM)
			}
		case 5, 6:
			if restarting[i].Load() || s.rng.IntN(2) == 0 {
				g.signal(syscall.SIGHUP)
			}
		case 7:
			s.publishConfig()
		}
	}
	wg.Wait()
}

// restartWithinGrace restarts a gate, which must exit by itself within the grace period.
func (s *lostSoak) restartWithinGrace(g *soakGate) {
	kill := time.AfterFunc(soakGrace, func() {
		s.t.Errorf("gate %s didn't exit within %v of SIGTERM", g.name, soakGrace)
		g.signal(syscall.SIGKILL)
	})
	defer kill.Stop()
	s.restart(g, syscall.SIGTERM)
}

// checkLost checks the requests that got no response.
func (s *lostSoak) checkLost() {
	runs := make(map[string]int)
	for _, tg := range s.targets {
		for _, r := range tg.Runs() {
			runs[r.ID]++
		}
	}
	byStatus := make(map[int]int)
	for _, r := range s.sent {
		byStatus[r.status]++
		after := r.ended.Sub(r.written)
		switch {
		case r.status != 0:
		case runs[r.id] > 0:
			s.t.Errorf("request %s (number %d, behind another: %v) to %s was executed and its connection ended %v after its last byte, at %s: %v",
				r.id, r.number, r.behind, r.gate, after, r.ended.UTC().Format(time.RFC3339Nano), r.err)
		case !r.behind && after > unreadSlack:
			s.t.Errorf("request %s (number %d) to %s ended without a response %v after its last byte, at %s: %v",
				r.id, r.number, r.gate, after, r.ended.UTC().Format(time.RFC3339Nano), r.err)
		}
	}
	s.t.Logf("%d requests, by status: %v", len(s.sent), byStatus)
}

// printUnanswered prints the lines of the gates' logs on connections that were closed with
// a request that wasn't answered, and on stops.
func (s *lostSoak) printUnanswered() {
	for _, g := range s.gates {
		data, err := os.ReadFile(g.log.Name())
		if err != nil {
			s.t.Log(err)
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "connection closed") || strings.Contains(line, "stopp") || strings.Contains(line, "msg=started") {
				s.t.Log(g.name, strings.TrimSpace(line))
			}
		}
	}
}

// soakBalancer checks which gates are ready, as the platform's balancer does.
type soakBalancer struct {
	mu  sync.Mutex // Guards out.
	out map[*soakGate]bool
}

const (
	// readyCheckInterval is the time between two readiness checks of a gate. It is out
	// of rotation after maxReadyMisses failed ones.
	readyCheckInterval = time.Second
	maxReadyMisses     = 2
)

func (b *soakBalancer) run(gates []*soakGate, stop chan struct{}) {
	misses := make(map[*soakGate]int)
	b.mu.Lock()
	b.out = make(map[*soakGate]bool)
	b.mu.Unlock()
	for {
		for _, g := range gates {
			misses[g]++
			if g.isReady() {
				misses[g] = 0
			}
			b.mu.Lock()
			b.out[g] = misses[g] >= maxReadyMisses
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(readyCheckInterval):
		}
	}
}

// next returns the gate for a new connection. It is one of all gates if fewer than half
// are in rotation, or all is set.
func (b *soakBalancer) next(rng *rand.Rand, gates []*soakGate, all bool) *soakGate {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*soakGate
	for _, g := range gates {
		if !b.out[g] {
			in = append(in, g)
		}
	}
	if all || 2*len(in) < len(gates) {
		in = gates
	}
	return in[rng.IntN(len(in))]
}

// lostCaller sends requests, and uses each connection until it is closed.
type lostCaller struct {
	soak     *lostSoak
	rng      *rand.Rand
	name     string // Begins the ids of its requests.
	stubborn bool   // It connects to any gate.
	requests int
}

const (
	// callerPatience is the time for which a caller waits for responses.
	callerPatience = 5 * time.Second
	// maxBatch is the most requests that a caller sends without a response.
	maxBatch = 6
	// maxSoakBody is the largest body of a request in bytes.
	maxSoakBody = 40 << 10
)

func (c *lostCaller) run(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.IntN(8)) * time.Millisecond):
		}
		g := c.soak.balancer.next(c.rng, c.soak.gates, c.stubborn)
		conn, err := net.DialTimeout("tcp", g.callersAddr, time.Second)
		if err != nil {
			continue
		}
		c.use(g, conn, stop)
		_ = conn.Close()
	}
}

// use sends requests on a connection until it is closed or stop is closed. A stubborn caller
// sends one batch.
func (c *lostCaller) use(g *soakGate, conn net.Conn, stop chan struct{}) {
	r := bufio.NewReader(conn)
	for number, open := 0, true; open; {
		batch := 1
		if c.rng.IntN(4) == 0 {
			batch += c.rng.IntN(maxBatch)
		}
		_ = conn.SetDeadline(time.Now().Add(callerPatience))
		list := c.send(conn, g, batch, &number)
		open = c.receive(r, list) && len(list) == batch
		if c.stubborn {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.IntN(80)) * time.Millisecond):
		}
	}
}

// send sends a batch of requests and returns those that were written completely. Several
// are idempotent ones.
func (c *lostCaller) send(conn net.Conn, g *soakGate, batch int, number *int) []sentRequest {
	var list []sentRequest
	for i := range batch {
		c.requests++
		*number++
		id := fmt.Sprint(c.name, c.requests)
		line, body := "GET /read/x", ""
		if batch == 1 && c.rng.IntN(2) == 0 {
			line, body = "POST /book/"+id, strings.Repeat("b", c.rng.IntN(maxSoakBody))
		}
		if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: seats.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", line, id, len(body), body); err != nil {
			break
		}
		list = append(list, sentRequest{id: id, gate: g.name, number: *number, behind: i > 0, written: time.Now()})
	}
	return list
}

// receive reads the responses to a list of requests and records how each one ended. It
// reports whether the connection stays open.
func (c *lostCaller) receive(r *bufio.Reader, list []sentRequest) bool {
	open := true
	for i := range list {
		q := &list[i]
		if open {
			resp := new(fasthttp.Response)
			if q.err = resp.Read(r); q.err == nil {
				q.status = resp.StatusCode()
				c.check(q, resp)
			}
			open = q.err == nil && !resp.ConnectionClose()
		}
		q.ended = time.Now()
	}
	c.soak.mu.Lock()
	c.soak.sent = append(c.soak.sent, list...)
	c.soak.mu.Unlock()
	return open
}

// check checks that a response is that to the request.
func (c *lostCaller) check(q *sentRequest, resp *fasthttp.Response) {
	if want := "answer to " + q.id; q.status == fasthttp.StatusOK && string(resp.Body()) != want {
		c.soak.t.Errorf("request %s: the response body is %q, want %q", q.id, resp.Body(), want)
	}
}
