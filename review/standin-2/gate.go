package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment has what the gates' settings have in common.
type deployment struct {
	dir   string // Of the settings and logs.
	run   string // The deploy file's command line.
	root  string // Of the repository.
	zones map[string]string
	store *store
	rec   *record
	seeds []string

	mu    sync.Mutex // Guards gates.
	gates []*gate    // That were started.
}

// gate is one process of the system.
type gate struct {
	name                         string
	callers, ready, peers, admin string
	settings                     string
	cmd                          *exec.Cmd
	done                         chan struct{} // Closed when the process has ended.
	endedAt                      time.Time
}

// freeAddress returns a free loopback address.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// newGate chooses the addresses of a gate.
func newGate(name string) *gate {
	return &gate{name: name, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), admin: freeAddress()}
}

// runLine returns the command line of the role in the deploy file.
func runLine(root string) (string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(value, `"`), nil
		}
	}
	return "", fmt.Errorf("the deploy file has no run line")
}

// start starts a gate, with settings as deploy/settings.json renders them.
func (d *deployment) start(g *gate, zone string, first bool) error {
	g.settings = filepath.Join(d.dir, g.name+".json")
	value := map[string]any{
		"name": g.name, "domain": zone, "regions": d.zones,
		"callers": g.callers, "ready": g.ready, "peers": g.peers, "admin": g.admin,
		"seeds": d.seeds, "platform": []string{d.store.address}, "first": first,
		"grace": "6s", "drain": "2500ms", "ratio": 0.2, "repeats": 60, "window": "10s",
		"overshoot": 1.5, "slack": 5, "questions": 60, "revoke": "0s", "link": 1000.0, "memory": 284,
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.settings, data, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	words := strings.Fields(d.run)
	g.cmd = exec.Command(filepath.Join(d.root, words[0]), words[1:]...)
	g.cmd.Dir = d.root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "PIMENTOARCH_CONFIG=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func() {
		err := g.cmd.Wait()
		_ = log.Close()
		g.endedAt = time.Now()
		d.rec.printf("%s has ended: %v", g.name, err)
		close(g.done)
	}()
	d.mu.Lock()
	d.gates = append(d.gates, g)
	d.mu.Unlock()
	d.rec.printf("%s started", g.name)
	return nil
}

// stopAll ends all gates.
func (d *deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, g := range d.gates {
		g.stop()
	}
}

// startPair starts two gates in one zone, and waits until they are ready and have met.
func (d *deployment) startPair(zone string) (a, b *gate, err error) {
	a, b = newGate("gate-a"), newGate("gate-b")
	d.seeds = []string{a.peers, b.peers}
	for _, g := range []*gate{a, b} {
		if err := d.start(g, zone, true); err != nil {
			return nil, nil, err
		}
	}
	for _, g := range []*gate{a, b} {
		if err := g.awaitReady(); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(calmTime)
	return a, b, nil
}

// calmTime is how long the gates run before the disruption: longer than contact, 4 s.
const calmTime = 5 * time.Second

// signal sends a signal to the gate's process.
func (d *deployment) signal(g *gate, s syscall.Signal) {
	d.rec.printf("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// stop ends the gate's process.
func (g *gate) stop() {
	_ = g.cmd.Process.Kill()
	<-g.done
}

// isReady asks the gate as the balancer does.
func (g *gate) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gate is ready.
func (g *gate) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", g.name)
}
