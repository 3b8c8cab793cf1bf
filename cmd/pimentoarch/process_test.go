package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pimentoarch/pimentofake"
)

// processTimeout bounds the time for which a test waits for a process.
const processTimeout = 20 * time.Second

// process is an entry or a gate that a test runs as a process, with its output in a file.
type process struct {
	t                *testing.T
	bin, kind        string
	settings, output string
	// addresses are those for callers, readiness, peers and operators.
	addresses []string
	cmd       *exec.Cmd
}

// buildBinary builds this command and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "pimentoarch")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// newProcess writes the settings of a process of a kind: entry or gate.
func newProcess(t *testing.T, bin, kind string) *process {
	t.Helper()
	dir := t.TempDir()
	p := &process{t: t, bin: bin, kind: kind, settings: filepath.Join(dir, "settings.json"), output: filepath.Join(dir, "output")}
	p.addresses = pimentofake.UniqueAddresses(4)
	s := map[string]any{"name": "e1", "domain": "a1", "callers": p.addresses[0], "peers": p.addresses[2], "admin": p.addresses[3], "platform": []string{"127.0.0.1:1"}}
	if kind == "gate" {
		s["regions"], s["ready"] = map[string]string{"a1": "a"}, p.addresses[1]
		s["repeats"], s["slack"], s["overshoot"] = 64, 5, 1.5
		s["grace"] = "1s"
	} else {
		s["region"], s["grace"] = "a", 1000
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	p.write(data)
	return p
}

// write replaces the settings file.
func (p *process) write(data []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.settings, data, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts the process. It is killed at the end of the test if it still runs.
func (p *process) start(env ...string) {
	p.t.Helper()
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	p.startWith(out, out, env...)
}

// startWith starts the process with files as its standard output and standard error.
func (p *process) startWith(stdout, stderr *os.File, env ...string) {
	p.t.Helper()
	cmd := exec.Command(p.bin, p.kind, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = stdout, stderr
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmd = cmd
	p.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
}

// text returns what the process has written so far.
func (p *process) text() string {
	data, _ := os.ReadFile(p.output)
	return string(data)
}

// awaitText waits until the process has written a text.
func (p *process) awaitText(want string) {
	p.t.Helper()
	for end := time.Now().Add(processTimeout); !strings.Contains(p.text(), want); {
		if time.Now().After(end) {
			p.t.Fatalf("no %q within %v in:\n%s", want, processTimeout, p.text())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// awaitEnd waits until the process has ended and returns its state.
func (p *process) awaitEnd() *os.ProcessState {
	p.t.Helper()
	timer := time.AfterFunc(processTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	_ = p.cmd.Wait()
	return p.cmd.ProcessState
}
