package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// stalledRequests is the number of requests in TestStalledOutput. The lines about
	// them exceed what a pipe holds.
	stalledRequests = 1500
	// stalledTimeout bounds the time of one of them.
	stalledTimeout = 5 * time.Second
	// stalledLineRate is the lines setting of the gate, so that each has a line.
	stalledLineRate = 10000
)

// A gate whose output nobody reads answers requests and ends at a planned stop.
func TestStalledOutput(t *testing.T) {
	is := is.New(t)
	p := newProcess(t, buildBinary(t), "gate")
	data, err := os.ReadFile(p.settings)
	is.NoErr(err)
	var settings map[string]any
	is.NoErr(json.Unmarshal(data, &settings))
	settings["lines"] = stalledLineRate
	data, err = json.Marshal(settings)
	is.NoErr(err)
	p.write(data)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = r.Close() }()
	cmd := p.command()
	cmd.Stdout, cmd.Stderr = w, w
	p.startCommand(cmd)
	_ = w.Close()
	awaitAnswer(is, p.addresses[0])
	for i := range stalledRequests {
		c, err := net.Dial("tcp", p.addresses[0])
		is.NoErr(err)
		_ = c.SetDeadline(time.Now().Add(stalledTimeout))
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		_ = c.Close()
	}
	start := time.Now()
	p.signal(syscall.SIGTERM)
	is.Equal(p.awaitEnd().ExitCode(), exitOK)
	is.True(time.Since(start) < stalledTimeout)
}
