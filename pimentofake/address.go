package pimentofake

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is below the ports that systems choose for outgoing connections.
const firstPort = 7001

var addressCalls atomic.Int64

// UniqueAddresses returns n addresses of one loopback IP that no other call of this
// process returns, and hardly one of another process. Ports that a listener on
// port 0 had a moment ago aren't free for sure: an outgoing connection may get
// them.
func UniqueAddresses(n int) []string {
	i := int(addressCalls.Add(1))
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, i/250%250, 1+i%250)
	list := make([]string, n)
	for j := range list {
		list[j] = fmt.Sprintf("%s:%d", ip, firstPort+j)
	}
	return list
}
