package pimentogate

import (
	"math"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/go-kit/log/level"
)

// callerShare is the part of this process's descriptors that callers' connections may
// take: one in callerShare. The others are for targets, peers, the platform, operators and
// readiness checks.
const callerShare = 2

// maxCallerConns returns the largest number of callers' connections that are served at a
// time, by the process's limit of descriptors.
func maxCallerConns() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt64
	}
	return int64(min(limit.Cur/callerShare, math.MaxInt64))
}

// callerLimit bounds the callers' connections that are served at a time.
type callerLimit struct {
	most   int64
	served atomic.Int64
}

// admitCaller serves a new connection, or closes it if there are too many. Its caller can
// use another entry at once.
func (g *Gate) admitCaller(nc net.Conn) {
	if served := g.callers.served.Add(1); served > g.callers.most {
		g.callers.served.Add(-1)
		_ = nc.Close()
		g.metrics.count("pimento_callers_turned_away_total")
		g.logLine(level.WarnValue(), "msg", "caller turned away", "from", nc.RemoteAddr(), "served", served-1)
		return
	}
	go func() {
		defer g.callers.served.Add(-1)
		g.serveConn(nc)
	}()
}
