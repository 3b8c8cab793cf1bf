package pimentogate

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
)

var errOtherTarget = errors.New("another target has the address")

// send is one request on its way to one target.
type send struct {
	pick    *pick
	x       *pimentohttp.Exchange
	started time.Time
	outcome outcome
	err     error
}

// maxWhole is the length in bytes up to which an answer is held until it is
// whole, so that a broken one can be replaced.
const maxWhole = 4 << 20

// attempts sends a request until there is an answer or nothing more to try.
func (g *Gate) attempts(c *call) *answer {
	var failed *send
	for {
		repeated := c.sends > 0
		if repeated && !g.repeat(c) {
			return g.giveUp(c, failed, reasonBudget)
		}
		p, why := g.choose(c, c.tried)
		if why = g.lastLook(c, p, why); why != reasonNone {
			p.drop()
			if repeated {
				g.unrepeat(c)
			}
			return g.giveUp(c, failed, why)
		}
		s := g.race(c, p)
		a, again := g.settle(c, s, &failed)
		if !again {
			return a
		}
		if c.sends >= c.route.Attempts {
			return g.giveUp(c, failed, reasonAttempts)
		}
		g.metrics.repeated(c.lastWhy)
	}
}

// lastLook returns why a request isn't sent to the target that was chosen.
func (g *Gate) lastLook(c *call, p *pick, why reason) reason {
	switch {
	case c.hasLeft():
		return reasonLeft
	case time.Until(c.until) <= 0:
		return reasonTimeout
	case p == nil:
		return why
	}
	return reasonNone
}

// drop releases a pick, which may be nil.
func (p *pick) drop() {
	if p != nil {
		p.release()
	}
}

// settle decides what follows from the outcome of a send. It returns the final
// answer, or that another target is to be tried.
func (g *Gate) settle(c *call, s *send, failed **send) (*answer, bool) {
	switch s.outcome {
	case outAnswer:
		return g.passOn(c, s), false
	case outFailed:
		c.lastWhy = "failed"
		if !c.repeatable() {
			return g.passOn(c, s), false
		}
		*failed = s
		return nil, true
	case outNotRun:
		c.lastWhy = "notrun"
		return nil, true
	case outUnsent:
		c.lastWhy = "unsent"
		return nil, true
	case outLeft:
		return g.refusal(c, reasonLeft, 0), false
	case outTimeout:
		return g.giveUp(c, *failed, reasonTimeout), false
	}
	c.lastWhy = reasonBroken
	if !c.repeatable() {
		return g.refusal(c, reasonBroken, 0), false
	}
	return nil, true
}

// giveUp returns the final answer of a request that isn't tried again: a
// target's own failure where there is one.
func (g *Gate) giveUp(c *call, failed *send, why reason) *answer {
	if failed != nil && why != reasonLeft {
		return g.passOn(c, failed)
	}
	comeBack := comeBackSoon
	if g.flow.overloaded(c.part()) {
		comeBack = comeBackLater
	}
	return g.refusal(c, why, comeBack/2+spreadOf(comeBack))
}

// passOn returns a target's answer.
func (g *Gate) passOn(c *call, s *send) *answer {
	h := &s.x.Resp.Header
	for _, name := range g.dialect.InternalHeaders {
		h.Del(name)
	}
	removeHopHeaders(h)
	return &answer{resp: s.x.Resp}
}

// race sends a request to a target, and to a second one if the first takes
// longer than is worth waiting for. It returns the send that decides.
func (g *Gate) race(c *call, first *pick) *send {
	ended := make(chan *send, 2)
	picks := make(chan *pick, 1)
	running := 0
	launch := func(p *pick) {
		running++
		c.sends++
		c.tried = append(c.tried, p.target.ID)
		c.last, c.lastAt = p, time.Now()
		s := g.newSend(c, p)
		go func() {
			g.do(c, s)
			ended <- s
		}()
	}
	started := time.Now()
	launch(first)
	look := time.NewTimer(time.Duration(firstLook * float64(first.expected)))
	defer look.Stop()
	deadline := time.NewTimer(time.Until(c.until))
	defer deadline.Stop()
	asking := false
	for {
		select {
		case s := <-ended:
			running--
			g.learn(c, s)
			if s.outcome == outAnswer || (running == 0 && !asking) {
				g.cancelOthers(c, s, running, ended)
				return s
			}
			if running == 0 && asking {
				// The second target is about to be known: let the outer loop choose.
				go func() { (<-picks).drop() }()
				return s
			}
			discardSend(s)
		case <-look.C:
			if !g.mayHedge(c) {
				continue
			}
			asking = true
			tried := append([]pimentoroute.TargetID(nil), c.tried...)
			go func() { picks <- g.second(c, first, time.Since(started), tried) }()
		case p := <-picks:
			asking = false
			if g.hedge(c, first, p, time.Since(started)) {
				launch(p)
				continue
			}
			p.drop()
			look.Reset(lookAgain)
		case <-deadline.C:
			return g.cutShort(c, first, outTimeout, running, asking, ended, picks)
		case <-c.left:
			return g.cutShort(c, first, outLeft, running, asking, ended, picks)
		}
	}
}

// cutShort ends all sends of a request.
func (g *Gate) cutShort(c *call, first *pick, o outcome, running int, asking bool, ended chan *send, picks chan *pick) *send {
	if asking {
		go func() { (<-picks).drop() }()
	}
	if running > 0 {
		c.mayRan = true
	}
	s := &send{pick: first, outcome: o}
	g.cancelOthers(c, s, running, ended)
	return s
}

// cancelOthers ends the sends that lost and waits for them in the background.
func (g *Gate) cancelOthers(c *call, winner *send, running int, ended chan *send) {
	if running == 0 {
		return
	}
	c.mu.Lock()
	for _, x := range c.active {
		if x != winner.x {
			x.Cancel()
		}
	}
	c.mu.Unlock()
	go func() {
		for range running {
			s := <-ended
			g.ended(s.pick.target)
			discardSend(s)
		}
	}()
}

func discardSend(s *send) {
	if s.x != nil && s.x.Resp != nil {
		_ = s.x.Resp.CloseBodyStream()
	}
}

// newSend prepares a request for one target.
func (g *Gate) newSend(c *call, p *pick) *send {
	req := new(fasthttp.Request)
	c.req.Header.CopyTo(&req.Header)
	removeHopRequestHeaders(&req.Header)
	req.SetBodyRaw(c.req.Body())
	left := max(time.Millisecond, time.Until(c.until))
	req.Header.Set(g.dialect.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	req.Header.Set(g.dialect.ExpectedTarget, string(p.target.ID))
	return &send{
		pick:    p,
		started: time.Now(),
		x: &pimentohttp.Exchange{
			Address:      p.target.Address,
			Req:          req,
			Resp:         new(fasthttp.Response),
			Deadline:     c.until.Add(answerSlack),
			BodyDeadline: c.until.Add(answerSlack),
			MaxBuffered:  maxWhole,
			EchoHeader:   g.dialect.RequestID,
		},
	}
}

// answerSlack is how long after the request's end its target's answer is read.
const answerSlack = 50 * time.Millisecond

// do sends the request and reads the answer.
func (g *Gate) do(c *call, s *send) {
	f := &g.flow
	f.mu.Lock()
	t := f.target(s.pick.target.ID)
	t.sending++
	t.sentSince++
	f.mu.Unlock()
	if s.err = g.connect(c, s.pick); s.err != nil {
		s.outcome = outUnsent
		return
	}
	s.x.UseConn = s.pick.conn
	if !c.begin(s.x) {
		s.outcome = outLeft
		s.pick.release()
		return
	}
	s.err = g.client.Do(s.x)
	if s.err == nil && s.pick.conn.Reusable() && !s.x.Resp.IsBodyStream() {
		s.pick.conn.Release()
	}
	s.outcome = g.judge(c, s)
}

// ended notes that a send to a target is over.
func (g *Gate) ended(tg *pimentoroute.Target) {
	f := &g.flow
	f.mu.Lock()
	f.target(tg.ID).sending--
	f.mu.Unlock()
}
