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
	// askAtOnce is the number of targets that are asked together.
	askAtOnce = 3
	// maxRounds bounds the rounds of questions for one send.
	maxRounds = 4
	// nearWait bounds the answer of a target in the same region, and farWait
	// of one in another region.
	nearWait = 60 * time.Millisecond
	farWait  = 140 * time.Millisecond
	// usualFactor is how many times the usual work still counts as good.
	usualFactor = 1.15
	// graceAfterGood is how much longer the others are waited for when a target
	// has answered that is as good as can be expected.
	graceAfterGood = 2 * time.Millisecond
)

// pick is a target that has just said how busy it is, and the connection on
// which it did.
type pick struct {
	target *pimentoroute.Target
	conn   *pimentohttp.Conn
	report LoadReport
	at     time.Time // When the report came.
	cold   bool
	queued bool // All its slots are taken.
	// expected is the time that an answer takes, and cost stands for the price
	// of its bytes.
	expected, cost time.Duration
	err            error
}

// price is what picks are compared by.
func (p *pick) price() time.Duration { return p.expected + p.cost }

// release gives the connection of a pick that isn't used back.
func (p *pick) release() {
	if p.conn == nil {
		return
	}
	if p.conn.Reusable() {
		p.conn.Release()
	} else {
		p.conn.Discard()
	}
	p.conn = nil
}

// round is one question to several targets.
type round struct {
	mu   sync.Mutex // Guards over.
	over bool
	got  chan *pick
}

// deliver hands in an answer. One that comes too late gives its connection back.
func (r *round) deliver(p *pick) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		p.release()
		return
	}
	r.got <- p
}

func (r *round) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for {
		select {
		case p := <-r.got:
			p.release()
		default:
			return
		}
	}
}

// ask asks targets how busy they are, and returns those that answered in time.
func (g *Gate) ask(c *call, targets []*pimentoroute.Target) []*pick {
	r := &round{got: make(chan *pick, len(targets))}
	defer r.end()
	wait := nearWait
	for _, tg := range targets {
		if tg.Region != g.region {
			wait = farWait
		}
		if err := g.workers.Submit(func() { r.deliver(g.askOne(c, tg)) }); err != nil {
			r.deliver(&pick{target: tg, err: err})
		}
	}
	good := g.usual(c) + g.distance(targets[0])
	timer := time.NewTimer(min(wait, max(0, time.Until(c.until))))
	defer timer.Stop()
	var answers []*pick
	for range targets {
		select {
		case p := <-r.got:
			if p.err != nil {
				continue
			}
			answers = append(answers, p)
			if p.expected <= good {
				timer.Reset(graceAfterGood)
			}
		case <-timer.C:
			return answers
		case <-c.left:
			return answers
		}
	}
	return answers
}

const (
	// askTime bounds one question. Those that outlast the wait still keep their
	// connection.
	askTime = 400 * time.Millisecond
	// reportFresh is the age up to which a report serves other requests too.
	reportFresh = 8 * time.Millisecond
	// reportStale is the age up to which a report serves where no question is
	// left.
	reportStale = 400 * time.Millisecond
)

// question is one question to one target. Other requests that want to know the
// same at that moment wait for its answer.
type question struct {
	done chan struct{} // Closed when the answer is there.
	err  error
}

// askOne finds out how busy one target is.
func (g *Gate) askOne(c *call, tg *pimentoroute.Target) *pick {
	p := &pick{target: tg}
	if p.err = g.findReport(c, p); p.err == nil {
		g.assess(c, p)
	}
	return p
}

// findReport puts the target's report into a pick: a recent one, the answer to
// a question that is under way, or the answer to one of its own.
func (g *Gate) findReport(c *call, p *pick) error {
	f := &g.flow
	f.mu.Lock()
	s := f.target(p.target.ID)
	if g.takeReport(p, s, reportFresh) {
		f.mu.Unlock()
		return nil
	}
	if q := s.asking; q != nil {
		f.mu.Unlock()
		<-q.done
		if q.err != nil {
			return q.err
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		p.report, p.at = s.report, g.origin.Add(s.reportAt)
		return nil
	}
	if !g.mayAsk() {
		recent := g.takeReport(p, s, reportStale)
		f.mu.Unlock()
		g.metrics.count("pimento_questions_spared_total")
		if !recent {
			return errNoQuestions
		}
		return nil
	}
	q := &question{done: make(chan struct{})}
	s.asking = q
	f.mu.Unlock()
	g.question(c, p, false)
	f.mu.Lock()
	s.asking = nil
	if q.err = p.err; q.err == nil {
		s.report, s.reportAt, s.reported, s.sentSince = p.report, g.now(), true, 0
		p.at = g.origin.Add(s.reportAt)
	}
	f.mu.Unlock()
	close(q.done)
	return q.err
}

// takeReport puts a target's last report into a pick if it isn't older than
// limit. It is called with flow.mu held.
func (g *Gate) takeReport(p *pick, s *targetState, limit time.Duration) bool {
	if !s.reported || g.now()-s.reportAt >= limit {
		return false
	}
	p.report, p.at = s.report, g.origin.Add(s.reportAt)
	return true
}

// errNoQuestions is the error of a pick whose target wasn't asked.
var errNoQuestions = errors.New("this entry's share of the questions is used up")

const (
	// questionShare is the part of the limit on questions that is used.
	questionShare = 0.8
	// questionWindow is the time for which unused questions are saved.
	questionWindow = 6 * time.Second
	// guessedFleet is the number of entries assumed before others are known.
	guessedFleet = 32
)

// mayAsk takes one question from this entry's share. It is called with flow.mu
// held.
func (g *Gate) mayAsk() bool {
	if g.settings.ProbeRate == 0 {
		return true
	}
	targets := g.table.Load().TargetCount()
	n := int(g.fleetSize.Load())
	if n == 0 {
		n = guessedFleet
	}
	a := &g.flow.questions
	a.Window = questionWindow
	// Half of the fixed number flows in during a window.
	a.Fixed = 2 * questionShare * g.settings.ProbeRate * questionWindow.Seconds() * float64(targets) / float64(n)
	return a.Spend(g.now())
}

// question asks a target on a connection that the pick keeps, a new one where
// fresh is set.
func (g *Gate) question(c *call, p *pick, fresh bool) {
	tg := p.target
	deadline := time.Now().Add(askTime)
	p.conn, p.err = g.client.Acquire(tg.Address, fresh, deadline)
	if p.err != nil {
		g.rest(tg, failRest)
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
	x := &pimentohttp.Exchange{Address: tg.Address, Req: req, Resp: resp, UseConn: p.conn, Deadline: deadline, MaxBuffered: maxReport, EchoHeader: g.dialect.RequestID}
	g.metrics.count("pimento_questions_total")
	p.err = g.client.Do(x)
	if p.err != nil {
		p.conn = nil
		if used {
			// The connection may have gone silent, and others with it.
			g.client.CloseIdleTo(tg.Address)
		}
		g.rest(tg, failRest)
		return
	}
	p.report = g.dialect.ParseReport(resp)
	if p.report.Target != "" && p.report.Target != tg.ID {
		p.err = errOtherTarget
		p.release()
		g.rest(tg, failRest)
	}
}

// connect gives a pick a connection if it has none that is open.
func (g *Gate) connect(c *call, p *pick) error {
	if p.conn != nil && p.conn.Reusable() {
		return nil
	}
	var err error
	p.conn, err = g.client.Acquire(p.target.Address, !c.repeatable(), c.until)
	return err
}

// maxReport bounds the body in bytes of a target's report.
const maxReport = 64 << 10

// rest lets a target be asked last for a while.
func (g *Gate) rest(tg *pimentoroute.Target, d time.Duration) {
	f := &g.flow
	f.mu.Lock()
	f.target(tg.ID).restUntil = g.now() + d
	f.mu.Unlock()
}
