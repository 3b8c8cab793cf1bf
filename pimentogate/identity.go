package pimentogate

import (
	"errors"
	"time"

	"pimentoarch/pimentoroute"
)

// ensureConn gives a candidate a connection if it has no open one: a pooled one, or a
// new one if the request isn't retryable, because the target may have closed a pooled
// one. If home regions bind the request, the target has named itself on the connection:
// another one may be at its address by now, in another region.
func (g *Gate) ensureConn(c *call, cand *candidate) error {
	if cand.conn != nil && cand.conn.Reusable() {
		cand.connFrom = connProbed
		return nil
	}
	h := g.newestHomes(c)
	// A probe shows that a pooled connection is open.
	newConn := !c.retryable() && !h.bind()
	var err error
	cand.conn, err = g.client.Acquire(cand.target.Address, newConn, c.deadline)
	if err != nil {
		return err
	}
	cand.connFrom = connNew
	if cand.conn.Used() {
		cand.connFrom = connPooled
	}
	h = g.newestHomes(c) // A connection may have taken a while.
	switch {
	case !h.allows(cand.target.Region):
		cand.release()
		return errHomeMoved
	case h.bind() && !(c.retryable() && cand.namedOnConn()):
		return g.nameOnConn(c, cand)
	}
	return nil
}

// namedOnConn reports whether the target has named itself on the candidate's connection.
func (cand *candidate) namedOnConn() bool { return cand.conn.Peer == string(cand.target.ID) }

// nameOnConn makes a target name itself on the candidate's connection, whatever is left of the
// probe budget. Its load report spares others a probe. A target that closes the connection after
// that gets another one, since it was at its address just now. After an error, the candidate has no
// connection.
func (g *Gate) nameOnConn(c *call, cand *candidate) error {
	probe := &candidate{target: cand.target, conn: cand.conn}
	cand.conn = nil
	if !g.admitsProbes(probe.target) {
		probe.release()
		return errWithdrawn
	}
	g.chargeProbe()
	asked := g.now()
	g.probeConn(c.service, probe, time.Now().Add(probeTimeout))
	if probe.err != nil {
		return probe.err
	}
	ts := &g.traffic
	ts.mu.Lock()
	g.keepReport(ts.target(probe.target.ID), &probe.report, asked, 1)
	ts.mu.Unlock()
	if probe.conn.Reusable() {
		cand.conn, cand.connFrom = probe.conn, connProbed
		return nil
	}
	var err error
	cand.conn, err = g.client.Acquire(probe.target.Address, true, c.deadline)
	cand.connFrom = connNew
	return err
}

// errTargetMoved is the error of a send that wasn't made because its target isn't published any more
// as it was chosen.
var errTargetMoved = errors.New("the target is out of service, or published at another place")

// staysInPlace reports whether a target that was chosen for a request is in service, and may get it
// where the target is published now.
func (g *Gate) staysInPlace(c *call, tg *pimentoroute.Target) bool {
	now := g.table.Load().Newest(tg)
	if now == nil || now.Address != tg.Address {
		return false
	}
	return g.allows(c, now.Region)
}
