package main

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// sparseDescriptors is the limit of descriptors of the gate in TestManyCallers.
	sparseDescriptors = 120
	// idleCallers is the number of connections without requests, and busyCallers that
	// of connections with one request at a time each.
	idleCallers = 200
	busyCallers = 15
	// busyRequests is the number of requests on each busy connection.
	busyRequests = 10
)

// Connections that only stay open don't take the descriptors that requests need.
func TestManyCallers(t *testing.T) {
	is := is.New(t)
	s := newSoak(t, buildBinary(t), 1)
	for _, tg := range s.targets {
		tg.Fault = nil
	}
	g := s.gates[0]
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, sparseDescriptors), s.bin, "gate", "--settings", g.settingsFile)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	is.NoErr(cmd.Start())
	g.cmd = cmd
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", g.callersAddr)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	awaitAnswer(is, g.callersAddr)
	for end := time.Now().Add(processTimeout); ; time.Sleep(50 * time.Millisecond) {
		if s.outcomeOf(dial()) == 200 {
			break
		}
		is.True(time.Now().Before(end))
	}
	var busy []net.Conn
	for range busyCallers {
		busy = append(busy, dial())
	}
	for range idleCallers {
		dial()
	}
	time.Sleep(heldTime)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for _, c := range busy {
		wg.Go(func() {
			for range busyRequests {
				if s.outcomeOf(c) != 200 {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d requests failed", n, busyCallers*busyRequests)
	}
	if t.Failed() {
		s.printLogs()
	}
}

// outcomeOf sends a read on a connection and returns its status, 0 without a response.
func (s *soak) outcomeOf(c net.Conn) int {
	id, _ := s.request(c, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outcomes[id].status
}
