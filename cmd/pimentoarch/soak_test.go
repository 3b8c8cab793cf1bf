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

// soakSeeds are the seeds that CI runs. A seed that has failed once stays in the list,
// with the cause.
var soakSeeds = []uint64{
	1, // The initial seed.
}

const (
	// soakFaultTime is the duration of the faults in CI. SOAK_SECONDS overrides it.
	soakFaultTime = 8 * time.Second
	soakGateCount = 4
	// soakRecoveryTime is the time after the faults within which all gates must serve
	// again.
	soakRecoveryTime = 12 * time.Second
)

// TestSoak runs gates as processes and injects faults into them, the store, the targets
// and the network between them, while callers check the responses. SOAK_SEEDS=N runs N
// new random seeds.
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

// soak is one run of the soak test.
type soak struct {
	t       *testing.T
	bin     string
	dir     string
	rng     *rand.Rand
	store   *standin.Store
	targets []*standin.Target
	// addresses are those of the proxies in front of the targets, in the order of
	// targets.
	addresses []string
	// proxies has one proxy for each target, then one to the store for each gate.
	proxies []*standin.Proxy
	gates   []*soakGate

	configMu sync.Mutex // Guards version, and writes of the configuration.
	version  int
	restores int // How often the store came back from a copy. Written by one goroutine at a time.

	mu               sync.Mutex // Guards outcomes.
	outcomes         map[string]outcome
	lastID           atomic.Int64
	maintenanceStart time.Time // Targets still inject faults by request id then.
}

// outcome is the outcome of one request as its caller observed it.
type outcome struct {
	unsafe bool
	status int // 0 if the connection failed before the end of the response.
	sent   time.Time
}

// soakGate is one gate process with its settings.
type soakGate struct {
	name, settingsFile                string
	callersAddr, readyAddr, storeAddr string
	adminAddr                         string
	log                               *os.File
	mu                                sync.Mutex // Guards cmd.
	cmd                               *exec.Cmd
}

// newSoak starts a store and targets behind proxies and creates the settings of the
// gates.
func newSoak(t *testing.T, bin string, seed uint64) *soak {
	s := &soak{t: t, bin: bin, dir: t.TempDir(), rng: rand.New(rand.NewPCG(seed, 1)), store: new(standin.Store), outcomes: make(map[string]outcome)}
	storeAddr := s.listen(s.store.Serve)
	for i := range 6 {
		domain := []string{"a1", "a2", "b1"}[i%3]
		tg := &standin.Target{ID: fmt.Sprint("i-", i), Slots: 3, WorkTime: 20 * time.Millisecond, Fault: s.faultFor(uint64(i), seed)}
		s.targets = append(s.targets, tg)
		s.addresses = append(s.addresses, s.startProxy(s.listen(tg.Serve)))
		s.publish(i, s.addresses[i], domain, "ready")
	}
	s.publishConfig()
	for i := range soakGateCount {
		s.gates = append(s.gates, s.newGate(i, s.startProxy(storeAddr)))
	}
	return s
}

// faultFor returns a function that selects a target's fault from a hash of the request
// id. About one id in 20 gets an arbitrary one, which may be FaultNone.
func (s *soak) faultFor(target, seed uint64) func(string) standin.Fault {
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

// listen calls serve with a new listener in a goroutine and returns its address. The
// listener is closed at the end of the test.
func (s *soak) listen(serve func(net.Listener)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = ln.Close() })
	go serve(ln)
	return ln.Addr().String()
}

// startProxy starts a proxy in front of a server and returns its address.
func (s *soak) startProxy(server string) string {
	p := &standin.Proxy{Server: server}
	s.proxies = append(s.proxies, p)
	return s.listen(p.Serve)
}

// publish stores the item of target i.
func (s *soak) publish(i int, address, domain, state string) {
	s.store.PutJSON(fmt.Sprint("servers/i-", i), map[string]any{"service": "seats", "address": address, "zone": domain, "slots": 3, "state": state, "warmupLeft": "0ms", "version": "v1", "sequence": 1})
}

// publishConfig stores the configuration under a new version.
func (s *soak) publishConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.version++
	s.writeConfig()
}

// writeConfig stores the configuration under its present version. It is called with configMu
// held.
func (s *soak) writeConfig() {
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

// newGate writes the settings of gate i, which reads the store at the given address.
// Gates other than the first have the first one as their seed.
func (s *soak) newGate(i int, store string) *soakGate {
	g := &soakGate{name: fmt.Sprint("g", i), storeAddr: store, settingsFile: filepath.Join(s.dir, fmt.Sprint("g", i, ".json"))}
	addrs := pimentofake.UniqueAddresses(4)
	g.callersAddr, g.readyAddr, g.adminAddr = addrs[0], addrs[1], addrs[3]
	var seeds []string
	if i > 0 {
		var first map[string]any
		data, err := os.ReadFile(s.gates[0].settingsFile)
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
		"callers": addrs[0], "ready": addrs[1], "peers": addrs[2], "admin": addrs[3],
		"seeds": seeds, "platform": []string{store}, "repeats": 64, "slack": 5, "overshoot": 1.5,
	})
	if err == nil {
		err = os.WriteFile(g.settingsFile, data, 0o644)
	}
	if err == nil {
		g.log, err = os.Create(g.settingsFile + ".log")
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return g
}

// start starts a gate's process.
func (s *soak) start(g *soakGate) {
	cmd := exec.Command(s.bin, "gate", "--settings", g.settingsFile)
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
		_ = g.cmd.Process.Signal(sig) // Fails if the process has exited.
	}
}

// restart sends a signal to a gate, waits until it has exited, and starts it again.
func (s *soak) restart(g *soakGate, sig syscall.Signal) {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	g.signal(sig)
	_ = cmd.Wait()
	s.start(g)
}

// run runs the whole test: faults, maintenance and the final checks.
func (s *soak) run() {
	duration := soakFaultTime
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
	s.awaitServing("at the start")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { s.runCaller(rand.New(rand.NewPCG(uint64(i), 2)), stop) })
	}
	s.injectFaults(time.Now().Add(duration))
	s.awaitServing("after the faults")
	s.awaitEra()
	s.runMaintenance()
	close(stop)
	wg.Wait()
	s.checkOpenConns()
	s.check()
	if s.t.Failed() {
		s.printLogs()
	}
}

// printLogs prints the last 4,000 bytes of each gate's log.
func (s *soak) printLogs() {
	for _, g := range s.gates {
		data, err := os.ReadFile(g.log.Name())
		if err != nil {
			s.t.Log(err)
			continue
		}
		s.t.Logf("%s:\n%s", g.name, data[max(0, len(data)-4000):])
	}
}

// injectFaults injects overlapping faults until a time, and returns after the last one
// has been undone.
func (s *soak) injectFaults(until time.Time) {
	var wg sync.WaitGroup
	restarting := make([]atomic.Bool, len(s.gates))
	var restoring atomic.Bool
	for time.Now().Before(until) {
		time.Sleep(time.Duration(50+s.rng.IntN(350)) * time.Millisecond)
		i, p := s.rng.IntN(len(s.gates)), s.proxies[s.rng.IntN(len(s.proxies))]
		g, d := s.gates[i], time.Duration(200+s.rng.IntN(1500))*time.Millisecond
		restart := func(sig syscall.Signal) {
			if restarting[i].CompareAndSwap(false, true) {
				wg.Go(func() {
					s.restart(g, sig)
					restarting[i].Store(false)
				})
			}
		}
		undoLater := func(undo func()) {
			wg.Go(func() {
				time.Sleep(d)
				undo()
			})
		}
		switch s.rng.IntN(10) {
		case 0:
			restart(syscall.SIGKILL)
		case 1:
			restart(syscall.SIGTERM)
		case 2:
			g.signal(syscall.SIGSTOP)
			undoLater(func() { g.signal(syscall.SIGCONT) })
		case 3:
			g.signal(syscall.SIGHUP)
		case 4, 5:
			p.SetMode(standin.ProxyMode(1 + s.rng.IntN(4)))
			undoLater(func() { p.SetMode(standin.ModeForward) })
		case 6:
			s.store.SetFault(standin.StoreFault(1+s.rng.IntN(4)), nil)
			undoLater(func() { s.store.SetFault(standin.StoreFaultNone, nil) })
		case 7:
			s.publishConfig()
		case 8:
			s.store.Compact()
		case 9:
			lost := time.Duration(s.rng.IntN(2000)) * time.Millisecond
			if restoring.CompareAndSwap(false, true) {
				wg.Go(func() {
					s.restoreStore(d, lost)
					restoring.Store(false)
				})
			}
		}
	}
	wg.Wait()
}

// runCaller sends requests to random gates until stop is closed. It reuses a connection
// for as long as it stays open.
func (s *soak) runCaller(rng *rand.Rand, stop chan struct{}) {
	conns := make(map[*soakGate]net.Conn)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
		g := s.gates[rng.IntN(len(s.gates))]
		if conns[g] == nil {
			c, err := net.DialTimeout("tcp", g.callersAddr, time.Second)
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

// request sends one request, checks the response, and records the outcome. It returns the
// request's id and whether the connection stays open.
func (s *soak) request(c net.Conn, unsafe bool) (id string, open bool) {
	id = fmt.Sprint("r", s.lastID.Add(1))
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
		s.t.Errorf("request %s: the response body is %q, want %q", id, resp.Body(), want)
	}
	s.mu.Lock()
	s.outcomes[id] = o
	s.mu.Unlock()
	return id, err == nil && !resp.ConnectionClose()
}

// awaitServing waits until every gate has served ten requests in a row.
func (s *soak) awaitServing(when string) {
	deadline := time.Now().Add(soakRecoveryTime)
	for _, g := range s.gates {
		for served := 0; served < 10; {
			if time.Now().After(deadline) {
				s.t.Errorf("%s: gate %s doesn't serve ten reads in a row within %v", when, g.name, soakRecoveryTime)
				return
			}
			if s.serves(g) {
				served++
			} else {
				served = 0
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// serves sends a read to a gate on a new connection. It reports whether the status is
// 200, or 5xx for an id for which a target injects a fault.
func (s *soak) serves(g *soakGate) bool {
	c, err := net.DialTimeout("tcp", g.callersAddr, time.Second)
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

// expectedToFail reports whether any target injects a fault for the request id.
func (s *soak) expectedToFail(id string) bool {
	n := 0
	for _, tg := range s.targets {
		if tg.Fault(id) != standin.FaultNone {
			n++
		}
	}
	return n > 0
}

// check compares the outcomes that callers observed with the requests that targets have
// executed.
func (s *soak) check() {
	runs := make(map[string]int)
	for _, tg := range s.targets {
		for _, r := range tg.Runs() {
			runs[r.ID]++
		}
	}
	byStatus := make(map[int]int)
	for id, o := range s.outcomes {
		byStatus[o.status]++
		if o.unsafe && runs[id] > 1 {
			s.t.Errorf("unsafe request %s was executed %d times", id, runs[id])
		}
		if notExecuted := o.status == 503 || o.status == 429 || o.status == 408 || o.status == 421; o.unsafe && notExecuted && runs[id] > 0 {
			s.t.Errorf("request %s was refused with status %d and was executed", id, o.status)
		}
	}
	for id := range runs {
		if _, sent := s.outcomes[id]; !sent {
			s.t.Errorf("request %s was executed and no caller sent it", id)
		}
	}
	s.checkMaintenance(runs)
	s.t.Logf("%d requests, by status: %v; the store came back from a copy %d times", len(s.outcomes), byStatus, s.restores)
}
