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
	// probeFanout is the number of targets that are asked together.
	probeFanout = 3
	// maxProbeRounds bounds the rounds of questions for one send.
	maxProbeRounds = 4
	// sameRegionWait bounds the answer of a target in the same region, and farWait
	// of one in another region.
	sameRegionWait  = 60 * time.Millisecond
	otherRegionWait = 140 * time.Millisecond
	// usualFactor is how many times the usual work still counts as good.
	usualFactor = 1.15
	// goodProbeGrace is how much longer the others are waited for when a target
	// has answered that is as good as can be expected.
	goodProbeGrace = 2 * time.Millisecond
)

// candidate is a target that has just said how busy it is, and the connection on
// which it did.
type candidate struct {
	target     *pimentoroute.Target
	conn       *pimentohttp.Conn
	report     LoadReport
	reportedAt time.Time // When the report came.
	cold       bool
	queued     bool // All its slots are taken.
	// expected is the time that an answer takes, and byteCost stands for the price
	// of its bytes.
	expected, byteCost time.Duration
	err                error
}

// score is what picks are compared by.
func (p *candidate) score() time.Duration { return p.expected + p.byteCost }

// release gives the connection of a pick that isn't used back.
func (p *candidate) release() {
	if p.conn == nil {
		return
	}
	if p.conn.Open() {
		p.conn.Release()
	} else {
		p.conn.Discard()
	}
	p.conn = nil
}

// probeRound is one question to several targets.
type probeRound struct {
	mu      sync.Mutex // Guards over.
	closed  bool
	results chan *candidate
}

// deliver hands in an answer. One that comes too late gives its connection back.
func (r *probeRound) deliver(p *candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.release()
		return
	}
	r.results <- p
}

func (r *probeRound) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for {
		select {
		case p := <-r.results:
			p.release()
		default:
			return
		}
	}
}

// probeTargets asks targets how busy they are, and returns those that answered in time.
func (g *Gate) probeTargets(c *call, targets []*pimentoroute.Target) []*candidate {
	r := &probeRound{results: make(chan *candidate, len(targets))}
	defer r.close()
	wait := sameRegionWait
	for _, tg := range targets {
		if tg.Region != g.region {
			wait = otherRegionWait
		}
		if err := g.workers.Submit(func() { r.deliver(g.probeTarget(c, tg)) }); err != nil {
			r.deliver(&candidate{target: tg, err: err})
		}
	}
	good := g.usualWork(c) + g.roundTrip(targets[0])
	timer := time.NewTimer(min(wait, max(0, time.Until(c.deadline))))
	defer timer.Stop()
	var answers []*candidate
	for range targets {
		select {
		case p := <-r.results:
			if p.err != nil {
				continue
			}
			answers = append(answers, p)
			if p.expected <= good {
				timer.Reset(goodProbeGrace)
			}
		case <-timer.C:
			return answers
		case <-c.callerLeft:
			return answers
		}
	}
	return answers
}

const (
	// probeTimeout bounds one question. Those that outlast the wait still keep their
	// connection.
	probeTimeout = 400 * time.Millisecond
	// freshReportAge is the age up to which a report serves other requests too.
	freshReportAge = 8 * time.Millisecond
	// usableReportAge is the age up to which a report serves where no question is
	// left.
	usableReportAge = 400 * time.Millisecond
)

// pendingProbe is one pendingProbe to one target. Other requests that want to know the
// same at that moment wait for its answer.
type pendingProbe struct {
	done chan struct{} // Closed when the answer is there.
	err  error
}

// probeTarget finds out how busy one target is.
func (g *Gate) probeTarget(c *call, tg *pimentoroute.Target) *candidate {
	p := &candidate{target: tg}
	if p.err = g.fetchReport(c, p); p.err == nil {
		g.estimate(c, p)
	}
	return p
}

// fetchReport puts the target's report into a pick: a recent one, the answer to
// a question that is under way, or the answer to one of its own.
func (g *Gate) fetchReport(c *call, p *candidate) error {
	f := &g.traffic
	f.mu.Lock()
	s := f.target(p.target.ID)
	if g.reuseReport(p, s, freshReportAge) {
		f.mu.Unlock()
		return nil
	}
	if q := s.probing; q != nil {
		f.mu.Unlock()
		<-q.done
		if q.err != nil {
			return q.err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		p.report, p.reportedAt = s.report, g.startedAt.Add(s.reportedAt)
		return nil
	}
	if !g.spendProbe() {
		recent := g.reuseReport(p, s, usableReportAge)
		f.mu.Unlock()
		g.metrics.count("pimento_questions_spared_total")
		if !recent {
			return errNoProbeBudget
		}
		return nil
	}
	q := &pendingProbe{done: make(chan struct{})}
	s.probing = q
	f.mu.Unlock()
	g.sendProbe(c, p, false)
	f.mu.Lock()
	s.probing = nil
	if q.err = p.err; q.err == nil {
		s.report, s.reportedAt, s.hasReport, s.sentSinceReport = p.report, g.now(), true, 0
		p.reportedAt = g.startedAt.Add(s.reportedAt)
	}
	f.mu.Unlock()
	close(q.done)
	return q.err
}

// reuseReport puts a target's last report into a pick if it isn't older than
// limit. It is called with flow.mu held.
func (g *Gate) reuseReport(p *candidate, s *targetState, limit time.Duration) bool {
	if !s.hasReport || g.now()-s.reportedAt >= limit {
		return false
	}
	p.report, p.reportedAt = s.report, g.startedAt.Add(s.reportedAt)
	return true
}

// errNoProbeBudget is the error of a pick whose target wasn't asked.
var errNoProbeBudget = errors.New("this entry's share of the questions is used up")

const (
	// probeBudgetShare is the part of the limit on questions that is used.
	probeBudgetShare = 0.8
	// probeWindow is the time for which unused questions are saved.
	probeWindow = 6 * time.Second
	// assumedEntries is the number of entries assumed before others are known.
	assumedEntries = 32
)

// spendProbe takes one question from this entry's share. It is called with flow.mu
// held.
func (g *Gate) spendProbe() bool {
	if g.settings.ProbeRate == 0 {
		return true
	}
	targets := g.table.Load().Size()
	n := int(g.clusterSize.Load())
	if n == 0 {
		n = assumedEntries
	}
	a := &g.traffic.probes
	a.Window = probeWindow
	// Half of the fixed number flows in during a window.
	a.Fixed = 2 * probeBudgetShare * g.settings.ProbeRate * probeWindow.Seconds() * float64(targets) / float64(n)
	return a.Spend(g.now())
}

// sendProbe asks a target on a connection that the pick keeps, a new one where
// fresh is set.
func (g *Gate) sendProbe(c *call, p *candidate, fresh bool) {
	tg := p.target
	deadline := time.Now().Add(probeTimeout)
	p.conn, p.err = g.client.Take(tg.Address, fresh, deadline)
	if p.err != nil {
		g.backOff(tg, failureBackoff)
		return
	}
	used := p.conn.Used()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(tg.Address)
	req.Header.SetRequestURI(c.service.Health)
	req.Header.SetNoDefaultContentType(true)
	x := &pimentohttp.Exchange{Address: tg.Address, Req: req, Resp: resp, On: p.conn, Deadline: deadline, MaxWhole: maxReportBytes, Echo: g.dialect.RequestID}
	g.metrics.count("pimento_questions_total")
	p.err = g.client.Do(x)
	if p.err != nil {
		p.conn = nil
		if used {
			// The connection may have gone silent, and others with it.
			g.client.ForgetIdle(tg.Address)
		}
		g.backOff(tg, failureBackoff)
		return
	}
	p.report = g.dialect.ParseReport(resp)
	if p.report.Target != "" && p.report.Target != tg.ID {
		p.err = errOtherTarget
		p.release()
		g.backOff(tg, failureBackoff)
	}
}

// ensureConn gives a pick a connection if it has none that is open.
func (g *Gate) ensureConn(c *call, p *candidate) error {
	if p.conn != nil && p.conn.Open() {
		return nil
	}
	var err error
	p.conn, err = g.client.Take(p.target.Address, !c.retryable(), c.deadline)
	return err
}

// maxReportBytes bounds the body in bytes of a target's report.
const maxReportBytes = 64 << 10

// backOff lets a target be asked last for a while.
func (g *Gate) backOff(tg *pimentoroute.Target, d time.Duration) {
	f := &g.traffic
	f.mu.Lock()
	f.target(tg.ID).backoffUntil = g.now() + d
	f.mu.Unlock()
}
