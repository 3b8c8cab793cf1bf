package pimentofake

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the range of ephemeral ports of common systems.
const firstPort = 7001

// addressCalls counts the calls of UniqueAddresses.
var addressCalls atomic.Int64

// UniqueAddresses returns n addresses (IP:port) of one loopback IP. No other call of
// this process returns the same ones, and no call of another process does unless their IDs
// differ by a multiple of processes. The port of a listener on port 0 that has been closed
// isn't a substitute, since an outgoing connection may take it.
func UniqueAddresses(n int) []string {
	return addresses(os.Getpid(), int(addressCalls.Add(1)), n)
}

const (
	// processes is the number of processes whose addresses differ.
	processes = 200 * 250
	// callsPerIP is the number of calls of a process that get IPs of their own, and
	// portsPerCall how far apart the ports of later ones are.
	callsPerIP   = 250
	portsPerCall = 16
)

// addresses returns n addresses for one call of a process.
func addresses(pid, call, n int) []string {
	id := pid % processes
	ip := fmt.Sprintf("127.%d.%d.%d", 10+id/250, id%250, 1+call%callsPerIP)
	list := make([]string, n)
	for j := range list {
		list[j] = fmt.Sprintf("%s:%d", ip, firstPort+call/callsPerIP*portsPerCall+j)
	}
	return list
}
