package main

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldTime is the time for which tests hold a port, or an incomplete settings file.
const heldTime = 700 * time.Millisecond

// forKinds runs a test with a gate and with an entry, at a time.
func forKinds(t *testing.T, test func(is *is.I, p *process)) {
	t.Helper()
	bin := buildBinary(t)
	t.Run("kinds", func(t *testing.T) {
		for _, kind := range []string{"gate", "entry"} {
			p := newProcess(t, bin, kind)
			t.Run(kind, func(t *testing.T) {
				t.Parallel()
				p.t = t
				test(is.New(t), p)
			})
		}
	})
}

// A port that is taken for a moment delays the start and doesn't end the process.
func TestPortTakenForAMoment(t *testing.T) {
	forKinds(t, func(is *is.I, p *process) {
		for _, i := range []int{0, 2} {
			ln, err := net.Listen("tcp", p.addresses[i])
			is.NoErr(err)
			time.AfterFunc(heldTime, func() { _ = ln.Close() })
		}
		p.start()
		p.awaitText("callers=" + p.addresses[0])
		p.awaitText("listening failed")
		p.signal(syscall.SIGTERM)
		is.Equal(p.awaitEnd().ExitCode(), exitOK)
	})
}

// A planned stop ends the wait for a port.
func TestStopWhilePortTaken(t *testing.T) {
	forKinds(t, func(is *is.I, p *process) {
		ln, err := net.Listen("tcp", p.addresses[0])
		is.NoErr(err)
		defer func() { _ = ln.Close() }()
		p.start()
		p.awaitText("listening failed")
		p.signal(syscall.SIGTERM)
		is.Equal(p.awaitEnd().ExitCode(), exitOK)
	})
}

// A process whose port for operators is taken serves callers, and operators once the port
// is free.
func TestOperatorsPortTaken(t *testing.T) {
	forKinds(t, func(is *is.I, p *process) {
		ln, err := net.Listen("tcp", p.addresses[3])
		is.NoErr(err)
		p.start()
		p.awaitText("callers=" + p.addresses[0])
		c, err := net.Dial("tcp", p.addresses[0])
		is.NoErr(err)
		_ = c.Close()
		_ = ln.Close()
		for end := time.Now().Add(processTimeout); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + p.addresses[3] + "/metrics")
			if err == nil {
				_ = resp.Body.Close()
				is.Equal(resp.StatusCode, http.StatusOK)
				return
			}
			if time.Now().After(end) {
				is.NoErr(err)
			}
		}
	})
}
