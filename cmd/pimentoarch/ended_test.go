package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// The first line of a process says which process it is, and the last one how it ended.
func TestFirstAndLastLine(t *testing.T) {
	bin := buildBinary(t)
	for _, kind := range []string{"gate", "entry"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			p := newProcess(t, bin, kind)
			p.start()
			p.awaitText("callers=" + p.addresses[0])
			p.signal(syscall.SIGTERM)
			is.Equal(p.awaitEnd().ExitCode(), exitOK)
			checkEnds(t, p, fmt.Sprintf("status=%d", exitOK))
		})
	}
}

// A process that can't start says why in its last line.
func TestLastLineOfFailedStart(t *testing.T) {
	bin := buildBinary(t)
	for _, kind := range []string{"gate", "entry"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			p := newProcess(t, bin, kind)
			ln, err := net.Listen("tcp", p.addresses[0])
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			p.start()
			is.Equal(p.awaitEnd().ExitCode(), exitFailed)
			checkEnds(t, p, fmt.Sprintf("status=%d", exitFailed))
			is.True(strings.Contains(p.text(), "address already in use"))
		})
	}
}

// checkEnds checks the first and the last line of a process that has ended.
func checkEnds(t *testing.T, p *process, want string) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(p.text()), "\n")
	first, last := lines[0], lines[len(lines)-1]
	for _, field := range []string{`msg="process started"`, fmt.Sprintf("pid=%d", p.cmd.Process.Pid), "kind=" + p.kind, "version=", "name=e1"} {
		if !strings.Contains(first, field) {
			t.Errorf("no %s in the first line: %s", field, first)
		}
	}
	for _, field := range []string{`msg="process ended"`, "reason=", "ran=", "peak_kib=", want} {
		if !strings.Contains(last, field) {
			t.Errorf("no %s in the last line: %s", field, last)
		}
	}
}
