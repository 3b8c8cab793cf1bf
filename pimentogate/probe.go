package pimentogate

import (
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
)

const (
	// probeFanout is the maximum number of targets that are probed at a time.
	probeFanout = 3
	// maxProbeRounds bounds the probe rounds before one send.
	maxProbeRounds = 4
	// sameRegionWait bounds the wait for the reply of a target in the same region,
	// and otherRegionWait of one in another region.
	sameRegionWait  = 60 * time.Millisecond
	otherRegionWait = 140 * time.Millisecond
	// usualFactor times the usual work time is the time up to which work still
	// counts as usual.
	usualFactor = 1.15
	// goodProbeGrace is how much longer a round waits for other replies once a
	// target has replied that is as good as can be expected.
	goodProbeGrace = 2 * time.Millisecond
)

// candidate is a target with a recent load report.
type candidate struct {
	target *pimentoroute.Target
	homes  homes // That allow it for the request for which it was chosen.
	// conn is the connection of the probe. It is nil if the report was reused,
	// until ensureConn sets it.
	conn       *pimentohttp.Conn
	connFrom   connSource
	report     LoadReport
	reportedAt time.Time // When the report arrived.
	// askedAt is when the probe began that the report replies to, which it is no older than.
	askedAt time.Time
	cold    bool
	queued  bool // All its slots are taken.
	idle    bool // It runs nothing.
	full    bool // It may not respond at all, see Gate.isFull.
	room    int  // See pimentoload.Offer.
	// expected is the time until the response, byteCost the transfer cost of the
	// response, expressed as a time, and crowdCost the delay of the requests that run at a
	// crowded target.
	expected, byteCost, crowdCost time.Duration
	err                           error
}

// score is what candidates are compared by; lower is better.
func (cand *candidate) score() time.Duration { return cand.expected + cand.byteCost + cand.crowdCost }

// release gives the connection of an unused candidate back to the pool, or discards it
// if it isn't reusable.
func (cand *candidate) release() {
	if cand.conn == nil {
		return
	}
	if cand.conn.Reusable() {
		cand.conn.Release()
	} else {
		cand.conn.Discard()
	}
	cand.conn = nil
}

// probeRound collects the replies of several targets that are probed at a time.
type probeRound struct {
	mu      sync.Mutex // Guards closed.
	closed  bool
	results chan *candidate
}

// deliver adds a result. Results after the end of the round are released.
func (r *probeRound) deliver(cand *candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		cand.release()
		return
	}
	r.results <- cand
}

// finish ends the round and releases the results that weren't received.
func (r *probeRound) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for {
		select {
		case cand := <-r.results:
			cand.release()
		default:
			return
		}
	}
}

// probeTargets probes targets for their load, and returns those that replied in
// time.
func (g *Gate) probeTargets(c *call, targets []*pimentoroute.Target) []*candidate {
	r := &probeRound{results: make(chan *candidate, len(targets))}
	defer r.finish()
	wait := sameRegionWait
	for _, tg := range targets {
		if tg.Region != g.region {
			wait = otherRegionWait
		}
		if err := g.workers.Submit(func() { r.deliver(g.probeForSend(c, tg)) }); err != nil {
			r.deliver(&candidate{target: tg, err: err})
		}
	}
	good := g.usualWork(c) + g.roundTrip(targets[0])
	timer := time.NewTimer(min(wait, max(0, time.Until(c.deadline))))
	defer timer.Stop()
	var found []*candidate
	for range targets {
		select {
		case cand := <-r.results:
			if cand.err != nil {
				continue
			}
			found = append(found, cand)
			if cand.expected <= good {
				timer.Reset(goodProbeGrace)
			}
		case <-timer.C:
			return found
		case <-c.done:
			return found
		}
	}
	return found
}

const (
	// probeTimeout bounds one probe. A probe that outlasts its round still returns
	// its connection to the pool.
	probeTimeout = 400 * time.Millisecond
	// freshReportAge is the age up to which a report is shared with other requests.
	freshReportAge = 8 * time.Millisecond
	// usableReportAge is the age up to which a report is used when the probe budget
	// is spent.
	usableReportAge = 400 * time.Millisecond
)

// pendingProbe is a probe of one target in progress. Other requests that need the
// target's report meanwhile wait for it.
type pendingProbe struct {
	done chan struct{} // Closed when the probe has ended.
	err  error
}

// probeTarget gets the load report of one target and estimates its response time.
func (g *Gate) probeTarget(c *call, tg *pimentoroute.Target) *candidate {
	cand := &candidate{target: tg}
	if cand.err = g.fetchReport(c, cand); cand.err == nil {
		g.estimate(c, cand)
	}
	return cand
}

// probeForSend does what probeTarget does for a target that may get the request. One that may be
// leaving doesn't.
func (g *Gate) probeForSend(c *call, tg *pimentoroute.Target) *candidate {
	cand := g.probeTarget(c, tg)
	if cand.err != nil || cand.report.Healthy || !g.mayLeave(tg) {
		return cand
	}
	cand.release()
	cand.err = errMayLeave
	g.metrics.count(`pimento_targets_passed_over_total{reason="ill"}`)
	return cand
}

// errMayLeave is the error of a candidate that reports itself unhealthy, and may be leaving.
var errMayLeave = errors.New("the target is unhealthy, and the items don't show yet that it stays")

// fetchReport sets the candidate's report: the target's last one if it is fresh, the
// result of a probe in progress, or that of a new probe. If the probe budget is spent,
// it uses the last report up to usableReportAge.
func (g *Gate) fetchReport(c *call, cand *candidate) error {
	ts := &g.traffic
	ts.mu.Lock()
	s := ts.target(cand.target.ID)
	if g.reuseReport(cand, s, freshReportAge) {
		ts.mu.Unlock()
		return nil
	}
	if pending := s.probing; pending != nil {
		ts.mu.Unlock()
		<-pending.done
		if pending.err != nil {
			return pending.err
		}
		ts.mu.Lock()
		defer ts.mu.Unlock()
		g.useReport(cand, s)
		return nil
	}
	if !g.spendProbe() {
		reused := g.reuseReport(cand, s, usableReportAge)
		ts.mu.Unlock()
		g.metrics.count("pimento_questions_spared_total")
		if !reused {
			return errNoProbeBudget
		}
		return nil
	}
	pending, asked := &pendingProbe{done: make(chan struct{})}, g.now()
	s.probing = pending
	ts.mu.Unlock()
	g.sendProbe(c.service, cand, false)
	ts.mu.Lock()
	s.probing = nil
	if pending.err = cand.err; pending.err == nil {
		g.keepReport(s, &cand.report, asked, 0)
		g.useReport(cand, s)
	}
	ts.mu.Unlock()
	close(pending.done)
	return pending.err
}

// keepReport sets a target's last report, for which the target was asked at a time. sent is
// the number of requests on their way that the report can't have counted. It is called with
// trafficStats.mu held.
func (g *Gate) keepReport(s *targetState, r *LoadReport, asked time.Duration, sent int) {
	s.report, s.reportedAt, s.askedAt, s.hasReport, s.sentSinceReport = *r, g.now(), asked, true, sent
	switch {
	case r.Healthy:
		s.illSince = 0
	case s.illSince == 0:
		s.illSince = bootTime()
	}
}

// reuseReport sets the candidate's report to the target's last one if that is
// younger than limit. It is called with trafficStats.mu held.
func (g *Gate) reuseReport(cand *candidate, s *targetState, limit time.Duration) bool {
	if !s.hasReport || g.now()-s.reportedAt >= limit {
		return false
	}
	g.useReport(cand, s)
	return true
}

// useReport sets the candidate's report to the target's last one. It is called with
// trafficStats.mu held.
func (g *Gate) useReport(cand *candidate, s *targetState) {
	cand.report, cand.reportedAt, cand.askedAt = s.report, g.startedAt.Add(s.reportedAt), g.startedAt.Add(s.askedAt)
}

// errNoProbeBudget is the error of a candidate whose target wasn't probed.
var errNoProbeBudget = errors.New("no probe left in this entry's share of the budget")

const (
	// probeLimitFraction is the fraction of the probe budget that is used.
	probeLimitFraction = 0.8
	// probeWindow is the time for which unused probes are saved up.
	probeWindow = 6 * time.Second
	// assumedEntries is the number of entries assumed before others are known.
	assumedEntries = 32
)

// spendProbe takes one probe from this entry's share. It is called with
// trafficStats.mu held.
func (g *Gate) spendProbe() bool {
	if g.settings.ProbeRate == 0 {
		return true
	}
	targets := g.table.Load().TargetCount()
	n := int(g.clusterSize.Load())
	if n == 0 {
		n = assumedEntries
	}
	a := &g.traffic.probes
	a.Window = probeWindow
	// An allowance refills half of its fixed number in each window. That refill is
	// the average rate, so the fixed number is twice the budget of a window.
	a.Fixed = 2 * probeLimitFraction * g.settings.ProbeRate * probeWindow.Seconds() * float64(targets) / float64(n)
	return g.payProbeDebt() && a.Spend(g.now())
}

// sendProbe probes a target of a service on a pooled connection, or on a new one if newConn is
// set. The candidate keeps the connection.
func (g *Gate) sendProbe(s *pimentoroute.Service, cand *candidate, newConn bool) {
	tg := cand.target
	if !g.admitsProbes(tg) {
		cand.err = errWithdrawn
		return
	}
	deadline := time.Now().Add(probeTimeout)
	cand.conn, cand.err = g.client.Acquire(tg.Address, newConn, deadline)
	if cand.err != nil {
		g.recordUnreachable(tg, cand.err)
		return
	}
	g.probeConn(s, cand, deadline)
}

// probeConn probes a target on the candidate's connection, which stays the candidate's if
// the target replies and names itself.
func (g *Gate) probeConn(s *pimentoroute.Service, cand *candidate, deadline time.Time) {
	tg := cand.target
	used := cand.conn.Used()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(tg.Address)
	req.Header.SetRequestURI(s.Health)
	req.Header.SetNoDefaultContentType(true)
	memory, releaseMemory := g.memory.NewGrant()
	defer releaseMemory()
	x := &pimentohttp.Exchange{Address: tg.Address, Req: req, Resp: resp, UseConn: cand.conn, Deadline: deadline, MaxBuffered: maxReportBytes, Memory: memory, EchoHeader: g.dialect.RequestID}
	g.metrics.count("pimento_questions_total")
	cand.err = g.client.Do(x)
	if cand.err != nil {
		cand.conn = nil
		if used {
			// The target may have dropped the connection without closing it, and
			// the other idle ones as well.
			g.client.CloseIdleTo(tg.Address)
		}
		g.recordUnreachable(tg, cand.err)
		return
	}
	cand.report = g.dialect.ParseReport(resp)
	cand.conn.Peer = string(cand.report.Target)
	if cand.report.Target != tg.ID {
		g.metrics.count("pimento_probes_unidentified_total")
		cand.err = errOtherTarget
		if cand.report.Target == "" {
			cand.err = errUnidentified
			g.recordBareRefusal(cand, resp)
		}
		cand.release()
		g.backOff(tg, failureBackoff)
		return
	}
	g.recordProbeNotice(cand, resp)
}

// recordProbeNotice records what the reply to a probe says about new requests. The
// connection to a leaving target is only kept for the request that may follow.
func (g *Gate) recordProbeNotice(cand *candidate, resp *fasthttp.Response) {
	g.recordNotice(cand.target, "", resp, g.dialect.ParseNotice(resp))
	if !g.admitsProbes(cand.target) {
		cand.err = errWithdrawn
		cand.release()
	}
}

// recordBareRefusal records the pause that a target asks for in a reply that doesn't name
// it, as a rejected probe may get.
func (g *Gate) recordBareRefusal(cand *candidate, resp *fasthttp.Response) {
	n := g.dialect.ParseNotice(resp).pauseOnly()
	g.recordNotice(cand.target, "", resp, n)
	if n.Pause > 0 {
		cand.err = errWithdrawn
	}
}

// recordUnreachable records that a probe of a target failed.
func (g *Gate) recordUnreachable(tg *pimentoroute.Target, err error) {
	g.backOff(tg, failureBackoff)
	if isConnLimit(err) {
		return
	}
	ts := &g.traffic
	ts.mu.Lock()
	ts.target(tg.ID).unreachableAt = g.now()
	ts.mu.Unlock()
}

// maxReportBytes bounds the body of a probe's reply.
const maxReportBytes = 64 << 10

// backOff puts a target behind all others for a while.
func (g *Gate) backOff(tg *pimentoroute.Target, d time.Duration) {
	ts := &g.traffic
	ts.mu.Lock()
	ts.target(tg.ID).backoffUntil = g.now() + d
	ts.mu.Unlock()
}
