package pimentogate

import (
	"math"
	"net"
	"syscall"

	"github.com/go-kit/log/level"
)

// callerShare is the part of this process's descriptors that callers' connections may
// take: one in callerShare. The others are for targets, peers, the platform, operators and
// readiness checks.
const callerShare = 2

// maxCallerConns returns the largest number of callers' connections that are served at a
// time, by the process's limit of descriptors.
func maxCallerConns() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur/callerShare, math.MaxInt))
}

// admitCaller serves a new connection, or closes it if there are too many. Its caller can
// use another entry at once.
func (g *Gate) admitCaller(nc net.Conn) {
	if g.conns.accept() {
		go g.serveConn(nc)
		return
	}
	_ = nc.Close()
	g.metrics.count("pimento_callers_turned_away_total")
	g.logLine(level.WarnValue(), "msg", "caller turned away", "from", nc.RemoteAddr(), "served", g.conns.size())
}
