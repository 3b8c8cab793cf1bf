package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
	"pimentoarch/platform/standin"
)

// soakSeeds are played in CI. A seed that ever failed stays, with the cause.
var soakSeeds = []uint64{
	1, // The first one.
}

const (
	soakTime   = 8 * time.Second // Of faults, in CI; SOAK_SECONDS goes before it.
	soakGates  = 4
	soakHealed = 12 * time.Second // In which all must be served again.
)

// TestSoak runs gates as processes, and harms them and all that they talk to
// from outside, while callers check what they are told. SOAK_SEEDS=N plays N
// fresh seeds.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "pimentoarch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := soakSeeds
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = nil
		for range n {
			seeds = append(seeds, rand.Uint64N(1e9))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, bin, seed).run() })
	}
}

// soak is one run.
type soak struct {
	t       *testing.T
	bin     string
	dir     string
	rng     *rand.Rand
	store   *standin.Store
	targets []*standin.Target
	// addresses are those of the targets, each of its proxy.
	addresses []string
	proxies   []*standin.Proxy // Of the targets, then of the store for each gate.
	gates     []*soakGate
	version   int

	mu       sync.Mutex // Guards outcomes.
	outcomes map[string]outcome
	next     atomic.Int64
	calmFrom time.Time // No faults from then on.
}

// outcome is what a caller was told about one request.
type outcome struct {
	unsafe bool
	status int // 0 if the connection ended.
	sent   time.Time
}

type soakGate struct {
	name, settings          string
	callers, ready, storeAt string
	log                     *os.File
	mu                      sync.Mutex // Guards cmd.
	cmd                     *exec.Cmd
}

func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{t: t, bin: bin, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 1)), store: new(standin.Store), outcomes: make(map[string]outcome)}
	storeAddr := s.listen(s.store.Serve)
	for i := range 6 {
		domain := []string{"a1", "a2", "b1"}[i%3]
		tg := &standin.Target{ID: fmt.Sprint("i-", i), Slots: 3, WorkTime: 20 * time.Millisecond, Fault: s.faultOf(uint64(i), seed)}
		s.targets = append(s.targets, tg)
		s.addresses = append(s.addresses, s.proxy(s.listen(tg.Serve)))
		s.publish(i, s.addresses[i], domain, "ready")
	}
	s.configure()
	for i := range soakGates {
		s.gates = append(s.gates, s.newGate(i, s.proxy(storeAddr)))
	}
	return s
}

// faultOf lets a target fail a few requests, by their ids.
func (s *soak) faultOf(target, seed uint64) func(string) standin.Fault {
	return func(id string) standin.Fault {
		h := target*31 + seed
		for _, b := range []byte(id) {
			h = h*1099511628211 + uint64(b)
		}
		if h>>7%20 == 0 {
			return standin.Fault(h >> 13 % uint64(standin.FaultPlain503+1))
		}
		return standin.FaultNone
	}
}

func (s *soak) listen(serve func(net.Listener)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = ln.Close() })
	go serve(ln)
	return ln.Addr().String()
}

func (s *soak) proxy(server string) string {
	p := &standin.Proxy{Server: server}
	s.proxies = append(s.proxies, p)
	return s.listen(p.Serve)
}

func (s *soak) publish(i int, address, domain, state string) {
	s.store.PutJSON(fmt.Sprint("servers/i-", i), map[string]any{"service": "seats", "address": address, "zone": domain, "slots": 3, "state": state, "warmupLeft": "0ms"})
}

func (s *soak) configure() {
	s.version++
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"host": "seats.example", "pathPrefix": prefix, "kind": kind, "timeout": "1500ms", "targetLatency": "300ms", "priority": 1, "service": "seats", "maxAttempts": 2}
	}
	s.store.PutJSON("op/config", map[string]any{
		"version":  fmt.Sprintf("%08x", s.version),
		"routes":   map[string]any{"read": route("/read/", "safe"), "book": route("/book/", "unsafe")},
		"services": map[string]any{"seats": map[string]any{"healthCheckPath": "/health", "maxConnections": 260, "warmup": "3s", "warmupPerS": 7.0}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 100000, "headerTimeout": "1s", "idleTimeout": "5s"},
	})
}

func (s *soak) newGate(i int, store string) *soakGate {
	g := &soakGate{name: fmt.Sprint("g", i), storeAt: store, settings: filepath.Join(s.dir, fmt.Sprint("g", i, ".json"))}
	ports := pimentofake.UniqueAddresses(4)
	g.callers, g.ready = ports[0], ports[1]
	var seeds []string
	if i > 0 {
		var first map[string]any
		data, err := os.ReadFile(s.gates[0].settings)
		if err == nil {
			err = json.Unmarshal(data, &first)
		}
		if err != nil {
			s.t.Fatal(err)
		}
		seeds = []string{first["peers"].(string)}
	}
	data, err := json.Marshal(map[string]any{
		"name": g.name, "domain": []string{"a1", "a1", "a2", "b1"}[i], "regions": map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		"callers": ports[0], "ready": ports[1], "peers": ports[2], "admin": ports[3],
		"seeds": seeds, "platform": []string{store}, "repeats": 64, "slack": 5, "overshoot": 1.5,
	})
	if err == nil {
		err = os.WriteFile(g.settings, data, 0o644)
	}
	if err == nil {
		g.log, err = os.Create(g.settings + ".log")
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return g
}

// start runs a gate until it ends.
func (s *soak) start(g *soakGate) {
	cmd := exec.Command(s.bin, "gate", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		s.t.Errorf("start %s: %v", g.name, err)
		return
	}
	g.mu.Lock()
	g.cmd = cmd
	g.mu.Unlock()
}

// signal sends a signal to a gate's process.
func (g *soakGate) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(sig) // It may have ended.
	}
}

// restart ends a gate by a signal and starts it again.
func (s *soak) restart(g *soakGate, sig syscall.Signal) {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	g.signal(sig)
	_ = cmd.Wait()
	s.start(g)
}

func (s *soak) run() {
	duration := soakTime
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
	s.awaitServed("at the start")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { s.call(rand.New(rand.NewPCG(uint64(i), 2)), stop) })
	}
	s.harm(time.Now().Add(duration))
	s.awaitServed("after the faults")
	s.plannedWork()
	close(stop)
	wg.Wait()
	s.check()
	if s.t.Failed() {
		s.keepLogs()
	}
}

// keepLogs prints the ends of the gates' logs.
func (s *soak) keepLogs() {
	for _, g := range s.gates {
		data, err := os.ReadFile(g.log.Name())
		if err != nil {
			s.t.Log(err)
			continue
		}
		s.t.Logf("%s:\n%s", g.name, data[max(0, len(data)-4000):])
	}
}

// harm injects faults, which overlap, until a time, and then heals everything.
func (s *soak) harm(until time.Time) {
	var wg sync.WaitGroup
	busy := make([]atomic.Bool, len(s.gates))
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+s.rng.IntN(350)) * time.Millisecond)
		i, p := s.rng.IntN(len(s.gates)), s.proxies[s.rng.IntN(len(s.proxies))]
		g, d := s.gates[i], time.Duration(200+s.rng.IntN(1500))*time.Millisecond
		restart := func(sig syscall.Signal) {
			if busy[i].CompareAndSwap(false, true) {
				wg.Go(func() {
					s.restart(g, sig)
					busy[i].Store(false)
				})
			}
		}
		later := func(undo func()) {
			wg.Go(func() {
				time.Sleep(d)
				undo()
			})
		}
		switch s.rng.IntN(9) {
		case 0:
			restart(syscall.SIGKILL)
		case 1:
			restart(syscall.SIGTERM)
		case 2:
			g.signal(syscall.SIGSTOP)
			later(func() { g.signal(syscall.SIGCONT) })
		case 3:
			g.signal(syscall.SIGHUP)
		case 4, 5:
			p.SetMode(standin.ProxyMode(1 + s.rng.IntN(4)))
			later(func() { p.SetMode(standin.ModeForward) })
		case 6:
			s.store.SetFault(standin.StoreFault(1+s.rng.IntN(4)), nil)
			later(func() { s.store.SetFault(standin.StoreFaultNone, nil) })
		case 7:
			s.configure()
		case 8:
			s.store.Compact()
		}
	}
	wg.Wait()
}

// call sends requests to gates that are ready, on kept connections where they
// stay open.
func (s *soak) call(rng *rand.Rand, stop chan struct{}) {
	conns := make(map[*soakGate]net.Conn)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
		g := s.gates[rng.IntN(len(s.gates))]
		if conns[g] == nil {
			c, err := net.DialTimeout("tcp", g.callers, time.Second)
			if err != nil {
				continue
			}
			conns[g] = c
		}
		if _, open := s.request(conns[g], rng.IntN(2) == 0); !open {
			_ = conns[g].Close()
			conns[g] = nil
		}
	}
}

// request sends one request and notes the outcome. It returns the request's id
// and whether the connection stays open.
func (s *soak) request(c net.Conn, unsafe bool) (id string, open bool) {
	id = fmt.Sprint("r", s.next.Add(1))
	line := "GET /read/x"
	if unsafe {
		line = "POST /book/" + id
	}
	o := outcome{unsafe: unsafe, sent: time.Now()}
	_ = c.SetDeadline(o.sent.Add(4 * time.Second))
	var resp fasthttp.Response
	_, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: seats.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", line, id)
	if err == nil {
		err = resp.Read(bufio.NewReader(c))
	}
	if err == nil {
		o.status = resp.StatusCode()
	}
	if want := "answer to " + id; o.status == 200 && (string(resp.Body()) != want || string(resp.Header.Peek("X-Response-Signature")) != standin.Sign(id, want)) {
		s.t.Errorf("request %s: the answer is %q, want %q", id, resp.Body(), want)
	}
	s.mu.Lock()
	s.outcomes[id] = o
	s.mu.Unlock()
	return id, err == nil && !resp.ConnectionClose()
}

// awaitServed waits until every gate serves ten requests in a row.
func (s *soak) awaitServed(when string) {
	deadline := time.Now().Add(soakHealed)
	for _, g := range s.gates {
		for good := 0; good < 10; {
			if time.Now().After(deadline) {
				s.t.Errorf("%s: gate %s doesn't serve ten reads in a row within %v", when, g.name, soakHealed)
				return
			}
			if s.servedBy(g) {
				good++
			} else {
				good = 0
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

func (s *soak) servedBy(g *soakGate) bool {
	c, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	id, _ := s.request(c, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.outcomes[id].status
	return status == fasthttp.StatusOK || status >= 500 && s.expectedToFail(id)
}

// expectedToFail reports whether most targets fail a request by its id.
func (s *soak) expectedToFail(id string) bool {
	n := 0
	for _, tg := range s.targets {
		if tg.Fault(id) != standin.FaultNone {
			n++
		}
	}
	return n > 0
}

// check compares what callers were told with what targets ran.
func (s *soak) check() {
	runs := make(map[string]int)
	for _, tg := range s.targets {
		for _, r := range tg.Runs() {
			runs[r.ID]++
		}
	}
	told := make(map[int]int)
	for id, o := range s.outcomes {
		told[o.status]++
		if o.unsafe && runs[id] > 1 {
			s.t.Errorf("request %s can't be repeated and ran %d times", id, runs[id])
		}
		if promises := o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421; o.unsafe && promises && runs[id] > 0 {
			s.t.Errorf("request %s was refused with %d and ran", id, o.status)
		}
	}
	for id := range runs {
		if _, sent := s.outcomes[id]; !sent {
			s.t.Errorf("request %s ran and no caller sent it", id)
		}
	}
	s.checkPlanned(runs)
	s.t.Logf("%d requests, by status: %v", len(s.outcomes), told)
}
