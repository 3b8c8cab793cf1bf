package main

import (
	"net"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// lowDescriptors is the limit of descriptors of the process in
	// TestServingAfterDescriptorsRanOut.
	lowDescriptors = "40"
	// manyCallers is the number of connections to each port. They exhaust it.
	manyCallers = 60
)

// A process that has run out of descriptors answers on all ports again when it has some.
func TestServingAfterDescriptorsRanOut(t *testing.T) {
	forKinds(t, func(is *is.I, p *process) {
		limited := exec.Command("sh", "-c", `ulimit -n `+lowDescriptors+`; exec "$0" "$@"`, p.bin, p.kind, "--settings", p.settings)
		p.startCommand(limited)
		p.awaitText("callers=" + p.addresses[0])
		ports := []string{p.addresses[0], p.addresses[3]}
		if p.kind == "gate" {
			ports = append(ports, p.addresses[1])
		}
		for _, a := range ports {
			awaitAnswer(is, a)
		}
		var conns []net.Conn
		for range manyCallers {
			for _, a := range ports {
				c, err := net.Dial("tcp", a)
				is.NoErr(err)
				conns = append(conns, c)
			}
		}
		p.awaitText("too many open files")
		time.Sleep(heldTime)
		for _, c := range conns {
			_ = c.Close()
		}
		for _, a := range ports {
			awaitAnswer(is, a)
		}
	})
}

// awaitAnswer waits until an HTTP request to an address gets an answer.
func awaitAnswer(is *is.I, address string) {
	is.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(processTimeout / 2); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + address + "/")
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		if time.Now().After(end) {
			is.NoErr(err)
		}
	}
}
