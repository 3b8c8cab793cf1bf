package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Gate is one process of the system, started with the command of the deploy file.
type Gate struct {
	Name, Zone                   string
	Callers, Ready, Peers, Admin string
	MemoryMB                     int
	RetrySlack                   float64
	Regions                      map[string]string
	Seeds                        []string
	StoreAddr                    string
	// Collected makes a Collector read the standard output.
	Collected bool
	Collector *Collector
	dir       string
	cmd       *exec.Cmd
	done      chan struct{}
}

// NewGate returns a gate with free ports.
func NewGate(name, zone, dir, store string) *Gate {
	return &Gate{
		Name: name, Zone: zone, dir: dir, StoreAddr: store, MemoryMB: 284, RetrySlack: 64,
		Callers: freeAddr(), Ready: freeAddr(), Peers: freeAddr(), Admin: freeAddr(),
	}
}

// Start starts the process with the settings that the template of the deploy file gives.
func (g *Gate) Start(first bool) {
	settings := map[string]any{
		"name": g.Name, "domain": g.Zone, "regions": g.Regions,
		"callers": g.Callers, "ready": g.Ready, "peers": g.Peers, "admin": g.Admin,
		"seeds": g.Seeds, "platform": []string{g.StoreAddr}, "first": first,
		"grace": "6s", "drain": "2500ms", "ratio": 0.2, "repeats": g.RetrySlack, "window": "10s",
		"overshoot": 1.5, "slack": 5, "questions": 60, "memory": g.MemoryMB,
	}
	data, err := json.Marshal(settings)
	check(err)
	file := filepath.Join(g.dir, g.Name+".json")
	check(os.WriteFile(file, data, 0o644))
	log, err := os.OpenFile(filepath.Join(g.dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	g.cmd = exec.Command(filepath.Join(root(), "target/pimentoarch"), "gate")
	g.cmd.Dir = root()
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PIMENTOARCH_CONFIG=" + file}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if g.Collected {
		g.Collector = NewCollector(log)
		g.cmd.Stdout = g.Collector.w
	}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.cmd.Start())
	if g.Collector != nil {
		_ = g.Collector.w.Close()
	}
	g.done = make(chan struct{})
	go func() {
		_ = g.cmd.Wait()
		_ = log.Close()
		close(g.done)
	}()
}

// Signal sends a signal to the process.
func (g *Gate) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Kill ends the process.
func (g *Gate) Kill() {
	if g.cmd == nil {
		return
	}
	g.Signal(syscall.SIGKILL)
	<-g.done
}

// IsReady asks the process whether it is ready, as the balancer does.
func (g *Gate) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.Ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready.
func (g *Gate) AwaitReady() {
	for range 200 {
		if g.IsReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	log, _ := os.ReadFile(filepath.Join(g.dir, g.Name+".log"))
	fatal(fmt.Errorf("%s isn't ready; its log ends with %q", g.Name, log[max(0, len(log)-300):]))
}

// Metric returns a metric of the process, -1 without it.
func (g *Gate) Metric(name string) float64 {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.Admin + "/metrics")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(rest), 64)
			return v
		}
	}
	return -1
}

// root returns the root of the repository.
func root() string {
	dir, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), "../.."))
	check(err)
	return dir
}

// startGates starts gates in a zone and waits until they are ready and know each other.
func (c *Case) startGates(store *Store, n int, zone string, regions map[string]string, retrySlack float64) {
	const acquaintance = 3 * time.Second
	for i := range n {
		g := NewGate(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone, c.Dir, store.Addr)
		g.Regions, g.RetrySlack, g.Collected = regions, retrySlack, c.collected
		c.Gates = append(c.Gates, g)
	}
	for _, g := range c.Gates {
		g.Seeds = []string{c.Gates[0].Peers}
		g.Start(true)
	}
	for _, g := range c.Gates {
		g.AwaitReady()
	}
	time.Sleep(acquaintance)
}
