package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentoarch/pimentofake"
	"pimentoarch/platform/standin"
)

const (
	// memoryVM is the memory of the VM in MiB, and memoryPeak the most that the process
	// may hold of it at any time, in bytes.
	memoryVM   = 284
	memoryPeak = 184_000_000
	// memoryPeers is the number of large transfers of each kind at a time.
	memoryPeers = 50
	// memoryBlock bytes are transferred by a slow peer in each memoryInterval.
	memoryBlock    = 64 << 10
	memoryInterval = 10 * time.Millisecond
	// memoryTimeout is the time limit of each request.
	memoryTimeout = 20 * time.Second
	// smallGoal is the share of the small requests that must be served beside the others.
	smallGoal = 0.99
)

// memoryLoad is what is transferred by each of memoryPeers callers at a time. Sizes are in
// bytes; those of 0 aren't transferred.
type memoryLoad struct {
	download, upload int
	chunked          bool // The downloads have no Content-Length.
}

// A gate process with the memory of a small VM stays below memoryPeak while many large
// responses and uploads pass through it to and from slow peers, and serves small requests
// beside them.
func TestMemoryOfLargeTransfers(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "pimentoarch")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, run := range []struct {
		name string
		load memoryLoad
	}{
		{"calm", memoryLoad{}},
		{"large", memoryLoad{download: 40 << 20, upload: 17 << 20}},
		{"buffered", memoryLoad{download: 3_900 << 10}},
		{"chunked", memoryLoad{download: 3_900 << 10, chunked: true}},
	} {
		t.Run(run.name, func(t *testing.T) { newMemoryRun(t, bin, run.load).run() })
	}
}

// memoryRun is one run of TestMemoryOfLargeTransfers.
type memoryRun struct {
	t       *testing.T
	load    memoryLoad
	pid     int
	callers string // The gate's address.
	client  http.Client
	body    []byte // Of which requests send the start.

	mu      sync.Mutex // Guards the fields below.
	results map[string]int
	small   []time.Duration // How long the small requests took that were served.
}

// newMemoryRun starts a store, a target and a gate.
func newMemoryRun(t *testing.T, bin string, load memoryLoad) *memoryRun {
	m := &memoryRun{t: t, load: load, results: make(map[string]int), body: make([]byte, 1000+load.upload)}
	m.client.Transport = &http.Transport{MaxIdleConnsPerHost: -1, DisableCompression: true}
	store := new(standin.Store)
	storeAddr := m.listen(store.Serve)
	server := &http.Server{Handler: http.HandlerFunc(m.serveTarget)}
	target := m.listen(func(ln net.Listener) { _ = server.Serve(ln) })
	store.PutJSON("servers/i-1", map[string]any{"service": "seats", "address": target, "zone": "a1", "slots": 400, "state": "ready", "warmupLeft": "0ms", "version": "v1", "sequence": 1})
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"host": "seats.example", "pathPrefix": prefix, "kind": kind, "timeout": memoryTimeout.String(), "targetLatency": "5s", "priority": 1, "service": "seats", "maxAttempts": 1}
	}
	store.PutJSON("op/config", map[string]any{
		"version":  "00000001",
		"routes":   map[string]any{"small": route("/small/", "safe"), "down": route("/down/", "download"), "up": route("/up/", "unsafe")},
		"services": map[string]any{"seats": map[string]any{"healthCheckPath": "/health", "maxConnections": 1000, "warmup": "1s", "warmupPerS": 100.0}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 20 << 20, "headerTimeout": "1s", "idleTimeout": "5s"},
	})
	m.startGate(bin, storeAddr)
	return m
}

// listen calls serve with a new listener in a goroutine and returns its address.
func (m *memoryRun) listen(serve func(net.Listener)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = ln.Close() })
	go serve(ln)
	return ln.Addr().String()
}

// startGate starts the gate and waits until it is ready.
func (m *memoryRun) startGate(bin, storeAddr string) {
	addrs := pimentofake.UniqueAddresses(4)
	m.callers = addrs[0]
	data, err := json.Marshal(map[string]any{
		"name": "g0", "domain": "a1", "regions": map[string]string{"a1": "a"}, "memory": memoryVM, "log": "error",
		"callers": addrs[0], "ready": addrs[1], "peers": addrs[2], "admin": addrs[3], "platform": []string{storeAddr},
	})
	if err != nil {
		m.t.Fatal(err)
	}
	file := filepath.Join(m.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		m.t.Fatal(err)
	}
	cmd := exec.Command(bin, "gate", "--settings", file)
	if err := cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	m.pid = cmd.Process.Pid
	m.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := m.client.Get("http://" + addrs[1] + "/api/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			m.t.Fatal("the gate isn't ready after 10 s")
		}
	}
}

// serveTarget is the target. It reads uploads slowly.
func (m *memoryRun) serveTarget(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", "i-1")
		w.Header().Set("X-Backend-Load", "0,0,400,100")
		return
	}
	if strings.HasPrefix(r.URL.Path, "/up/") {
		if copySlowly(io.Discard, r.Body) != int64(m.load.upload) {
			return
		}
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "s")
	size := 100
	if strings.HasPrefix(r.URL.Path, "/down/") {
		size = m.load.download
	}
	if !m.load.chunked {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	block := make([]byte, memoryBlock)
	for size > 0 {
		n, err := w.Write(block[:min(size, len(block))])
		if err != nil {
			return
		}
		size -= n
	}
}

// copySlowly copies memoryBlock bytes in each memoryInterval and returns their number.
func copySlowly(w io.Writer, r io.Reader) int64 {
	total := int64(0)
	for {
		n, err := io.CopyN(w, r, memoryBlock)
		total += n
		if err != nil {
			return total
		}
		time.Sleep(memoryInterval)
	}
}

// run sends the load and small requests, and checks the peak of the gate's memory.
func (m *memoryRun) run() {
	stop := make(chan struct{})
	var large, small sync.WaitGroup
	small.Go(func() { m.sendSmall(stop) })
	for i := range memoryPeers {
		if m.load.upload > 0 {
			large.Go(func() { m.sendLarge("up", i, m.load.upload) })
		}
		if m.load.download > 0 {
			large.Go(func() { m.sendLarge("down", i, 0) })
		}
	}
	large.Wait()
	time.Sleep(time.Second)
	close(stop)
	small.Wait()
	peak := m.peak()
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.Sort(m.small)
	if len(m.small) == 0 {
		m.t.Fatalf("no small request was served: %v", m.results)
	}
	m.t.Logf("peak %d bytes, results %v, small: median %v, 99%% %v", peak, m.results, m.small[len(m.small)/2], m.small[len(m.small)*99/100])
	if peak > memoryPeak {
		m.t.Errorf("the peak of the memory was %d bytes, the limit is %d", peak, memoryPeak)
	}
	total := 0
	for result, n := range m.results {
		if strings.HasPrefix(result, "small") {
			total += n
		}
	}
	if served := m.results["small 200"]; float64(served) < smallGoal*float64(total) {
		m.t.Errorf("%d of %d small requests were served", served, total)
	}
	for result, n := range m.results {
		if result == "up 502" || result == "up 504" || result == "down incomplete" {
			m.t.Errorf("%s: %d times", result, n)
		}
	}
}

// sendSmall sends small requests, some of them with a body, until stop is closed.
func (m *memoryRun) sendSmall(stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		began := time.Now()
		if m.send("small", i, bytes.NewReader(m.body[:100*(i%10)])) {
			m.mu.Lock()
			m.small = append(m.small, time.Since(began))
			m.mu.Unlock()
		}
	}
}

// sendLarge sends a large request, with a body of size bytes. It sends it again while it is
// refused.
func (m *memoryRun) sendLarge(path string, i, size int) {
	for try := 0; try < 20 && !m.send(path, 1000*try+i, bytes.NewReader(m.body[:size])); try++ {
		time.Sleep(500 * time.Millisecond)
	}
}

// send sends a request, reads the response slowly and counts the result. It reports whether
// the request was served.
func (m *memoryRun) send(path string, id int, body *bytes.Reader) bool {
	result, err := m.exchange(path, id, body)
	if err != nil {
		result = "failed"
		if errors.Is(err, io.ErrUnexpectedEOF) {
			result = "incomplete"
		}
	}
	m.mu.Lock()
	m.results[path+" "+result]++
	m.mu.Unlock()
	return result == "200"
}

func (m *memoryRun) exchange(path string, id int, body *bytes.Reader) (string, error) {
	method := http.MethodPost
	if body.Len() == 0 {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s/%s/%d", m.callers, path, id), body)
	if err != nil {
		return "", err
	}
	req.Host = "seats.example"
	req.Header.Set("X-Request-Id", fmt.Sprint(path, id))
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(memoryTimeout.Milliseconds(), 10))
	resp, err := m.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := &readerError{Reader: resp.Body}
	copySlowly(io.Discard, reader)
	if !errors.Is(reader.err, io.EOF) {
		return "", reader.err
	}
	return strconv.Itoa(resp.StatusCode), nil
}

// readerError keeps the last error of a reader.
type readerError struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *readerError) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// peak returns the highest resident memory of the gate so far, in bytes.
func (m *memoryRun) peak() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		m.t.Fatalf("the gate has ended: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		var kib int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kib); err == nil {
			return kib << 10
		}
	}
	m.t.Fatal("no VmHWM")
	return 0
}
