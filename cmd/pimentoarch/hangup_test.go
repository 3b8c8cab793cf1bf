package main

import (
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// hangupStarts is the number of processes that TestHangupAtStart starts.
const hangupStarts = 20

// A SIGHUP at the start of a process, as soon as the Go runtime runs, doesn't end it. The
// process prints its first package initialisation to standard error, and gets the signal
// then.
func TestHangupAtStart(t *testing.T) {
	is := is.New(t)
	p := newProcess(t, buildBinary(t), "gate")
	p.settings = "none" // The process ends by itself at once.
	ended := 0
	for range hangupStarts {
		r, w, err := os.Pipe()
		is.NoErr(err)
		p.startWith(nil, w, "GODEBUG=inittrace=1")
		_ = w.Close()
		_, err = r.Read(make([]byte, 1))
		is.NoErr(err)
		_ = p.cmd.Process.Signal(syscall.SIGHUP) // Fails if it has ended.
		_, err = io.Copy(io.Discard, r)
		is.NoErr(err)
		_ = r.Close()
		if p.awaitEnd().ExitCode() != exitSettings {
			ended++
		}
	}
	if ended > 0 {
		t.Errorf("SIGHUP ended %d of %d processes", ended, hangupStarts)
	}
}

// A running process goes on after a SIGHUP: a gate reads its settings, and an entry has
// none that can change.
func TestHangup(t *testing.T) {
	is := is.New(t)
	bin := buildBinary(t)
	for kind, line := range map[string]string{"gate": "settings reloaded", "entry": "process started"} {
		p := newProcess(t, bin, kind)
		p.start()
		p.awaitText("callers=" + p.addresses[0])
		p.signal(syscall.SIGHUP)
		p.awaitText(line)
		p.signal(syscall.SIGTERM)
		is.Equal(p.awaitEnd().ExitCode(), exitOK)
	}
}
