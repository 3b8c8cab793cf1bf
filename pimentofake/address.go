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
// this process returns the same ones; a call of another process is unlikely to. The
// port of a listener on port 0 that has been closed isn't a substitute, since an
// outgoing connection may take it.
func UniqueAddresses(n int) []string {
	i := int(addressCalls.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, i/250%250, 1+i%250)
	list := make([]string, n)
	for j := range list {
		list[j] = fmt.Sprintf("%s:%d", ip, firstPort+j)
	}
	return list
}
