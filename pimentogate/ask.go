package pimentogate

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

const (
	// askAtOnce is the number of targets that are asked together.
	askAtOnce = 4
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

// Distances of targets, as what a request and its answer take on the way.
const (
	sameDomain  = 500 * time.Microsecond
	sameRegion  = 2 * time.Millisecond
	otherRegion = 61 * time.Millisecond
	// domainCost and regionCost are added for each byte of an answer from
	// another domain or region, whose bytes are paid for.
	domainCost = 12 * time.Microsecond
	regionCost = 30 * time.Microsecond
	// illPenalty is added for targets that call themselves unwell.
	illPenalty = 2 * time.Second
	// fullPenalty is added for a target whose queue is as long as those that
	// refused.
	fullPenalty = time.Second
	// failPenalty is added for a target that fails all sends.
	failPenalty = 1500 * time.Millisecond
)

// pick is a target that has just said how busy it is, and the connection on
// which it did.
type pick struct {
	target *pimentoroute.Target
	conn   *pimentohttp.Conn
	report Report
	at     time.Time // When the report came.
	cold   bool
	full   bool // Its queue is as long as those that refused.
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
	if p.conn.Open() {
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

// choose asks targets until one is good enough for the time that the request
// has, and returns it, or nil and the reason. While all are busy or slow it waits,
// because how busy they are changes within parts of a second, and a slow target
// would lose the time of many others.
func (g *Gate) choose(c *call, tried []pimentoroute.TargetID) (*pick, reason) {
	for wait := firstWait; ; wait = min(2*wait, maxWait) {
		best, why := g.nearest(c, tried)
		if best == nil {
			return nil, why
		}
		switch g.decide(c, best) {
		case verdictSend:
			return best, reasonNone
		case verdictRefuse:
			best.release()
			return nil, reasonBusy
		}
		best.release()
		select {
		case <-c.left:
			return nil, reasonLeft
		case <-time.After(wait):
		}
	}
}

const (
	// firstWait is the time until targets are asked again when none is good
	// enough. It doubles up to maxWait.
	firstWait = 25 * time.Millisecond
	maxWait   = 100 * time.Millisecond
	// refuseShare is the part of the objective after which a request is refused
	// while all queues are full, so that its caller soon knows.
	refuseShare = 0.125
	// hopeShare is the part of the objective for which a request waits for a
	// target that answers in time, and patienceShare for one that isn't slow.
	hopeShare     = 0.5
	patienceShare = 0.7
	// slowFactor is how many times the usual work makes a target slow.
	slowFactor = 3
)

// verdict says what to do with the best target at the moment.
type verdict uint8

const (
	verdictSend verdict = iota
	verdictWait
	verdictRefuse
)

func (g *Gate) decide(c *call, p *pick) verdict {
	elapsed := time.Since(c.received)
	within := func(share float64) bool { return elapsed < time.Duration(share*float64(c.route.Objective)) }
	switch {
	case elapsed+p.expected <= c.route.Objective:
		return verdictSend
	case p.full && !within(refuseShare):
		return verdictRefuse
	case within(hopeShare):
		return verdictWait
	case p.expected > slowFactor*g.usual(c) && within(patienceShare):
		return verdictWait
	}
	return verdictSend
}

// nearest asks targets in rounds, the near ones first, and returns the best
// one, or nil and the reason. It ends when another round could hardly find a
// better one in time.
func (g *Gate) nearest(c *call, tried []pimentoroute.TargetID) (*pick, reason) {
	candidates := g.candidates(c, tried)
	if len(candidates) == 0 {
		return nil, reasonTargets
	}
	var best *pick
	for range maxRounds {
		group := g.nextGroup(candidates)
		if len(group) == 0 || time.Until(c.until) < 0 || c.hasLeft() {
			break
		}
		if best != nil && best.price() <= g.potential(c, group[0]) {
			break
		}
		answers := g.ask(c, group)
		candidates = candidates[len(group):]
		best = g.better(c, best, answers)
	}
	if best == nil {
		return nil, reasonBusy
	}
	return best, reasonNone
}

// nextGroup returns the first candidates, as many as are asked at once, and all
// of them near or all of them far.
func (g *Gate) nextGroup(candidates []*pimentoroute.Target) []*pimentoroute.Target {
	n := 0
	for n < len(candidates) && n < askAtOnce && (candidates[n].Region == g.region) == (candidates[0].Region == g.region) {
		n++
	}
	return candidates[:n]
}

// potential is the time that an answer takes where a target is asked now and
// turns out to be idle.
func (g *Gate) potential(c *call, tg *pimentoroute.Target) time.Duration {
	return g.usual(c) + 2*g.distance(c, tg) + g.cost(c, tg)
}

// usual is a little more than the usual work on a request.
func (g *Gate) usual(c *call) time.Duration {
	g.flow.mu.Lock()
	defer g.flow.mu.Unlock()
	return time.Duration(usualFactor * float64(g.flow.work(c.route).alone))
}

// better returns the best of a pick and new ones, and releases the others.
func (g *Gate) better(c *call, best *pick, answers []*pick) *pick {
	slices.SortFunc(answers, func(a, b *pick) int { return cmp.Compare(a.price(), b.price()) })
	for _, p := range answers {
		switch {
		case best != nil && p.price() >= best.price():
			p.release()
		case p.cold && !g.takeCold(c, p):
			p.release()
		default:
			if best != nil {
				best.release()
			}
			best = p
		}
	}
	return best
}

// takeCold takes one request of this entry's share of a cold target.
func (g *Gate) takeCold(c *call, p *pick) bool {
	share := g.coldShare(c.service)
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.target(p.target.ID).cold.Take(g.now(), share)
}

// coldMargin is the part of a cold target's limit that is used, since two
// lists of members may differ and requests bunch up on the way.
const coldMargin = 0.8

func (g *Gate) coldShare(s *pimentoroute.Service) int {
	entries, rank := int(g.domainSize.Load()), int(g.domainRank.Load())
	if entries == 0 {
		return 0
	}
	limit := (s.ColdRate*g.settings.Overshoot + g.settings.Slack) * coldMargin
	return pimentotarget.ColdShare(limit, entries, rank)
}

// candidates returns the targets that a request may go to, the near ones first
// and at random among equals.
func (g *Gate) candidates(c *call, tried []pimentoroute.TargetID) []*pimentoroute.Target {
	now := g.now()
	var list []*pimentoroute.Target
	rank := make(map[pimentoroute.TargetID]int)
	f := &g.flow
	f.mu.Lock()
	for _, tg := range g.targetsOf(c) {
		if slices.Contains(tried, tg.ID) || !c.route.Allows(tg.Region) {
			continue
		}
		s := f.target(tg.ID)
		if s.coldUntil > now && tg.Domain != g.settings.Domain {
			continue
		}
		n := 0
		switch {
		case tg.Domain == g.settings.Domain:
		case tg.Region == g.region:
			n = 1
		default:
			n = 2
		}
		if s.restUntil > now {
			n += 3
		}
		rank[tg.ID] = n
		list = append(list, tg)
	}
	f.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *pimentoroute.Target) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	return list
}

// targetsOf returns the targets of a request's service that are known now.
func (g *Gate) targetsOf(c *call) []*pimentoroute.Target {
	return g.table.Load().Targets[c.part()]
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
	good := g.usual(c) + g.distance(c, targets[0])
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
	f := &g.flow
	f.mu.Lock()
	s := f.target(tg.ID)
	if s.reported && g.now()-s.reportAt < reportFresh {
		p.report, p.at = s.report, g.origin.Add(s.reportAt)
		f.mu.Unlock()
		g.assess(c, p)
		return p
	}
	if q := s.asking; q != nil {
		f.mu.Unlock()
		<-q.done
		if p.err = q.err; p.err == nil {
			f.mu.Lock()
			p.report, p.at = s.report, g.origin.Add(s.reportAt)
			f.mu.Unlock()
			g.assess(c, p)
		}
		return p
	}
	if !g.mayAsk() {
		recent := s.reported && g.now()-s.reportAt < reportStale
		p.report, p.at = s.report, g.origin.Add(s.reportAt)
		f.mu.Unlock()
		g.metrics.count("pimento_questions_spared_total")
		if !recent {
			p.err = errNoQuestions
			return p
		}
		g.assess(c, p)
		return p
	}
	q := &question{done: make(chan struct{})}
	s.asking = q
	f.mu.Unlock()
	g.question(c, p, false)
	f.mu.Lock()
	s.asking = nil
	if q.err = p.err; p.err == nil {
		s.report, s.reportAt, s.reported, s.sentSince = p.report, g.now(), true, 0
		p.at = g.origin.Add(s.reportAt)
	}
	f.mu.Unlock()
	close(q.done)
	if p.err == nil {
		g.assess(c, p)
	}
	return p
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
	if g.settings.Questions == 0 {
		return true
	}
	targets := 0
	for _, list := range g.table.Load().Targets {
		targets += len(list)
	}
	n := int(g.fleetSize.Load())
	if n == 0 {
		n = guessedFleet
	}
	a := &g.flow.questions
	a.Window = questionWindow
	// Half of the fixed number flows in during a window.
	a.Fixed = 2 * questionShare * g.settings.Questions * questionWindow.Seconds() * float64(targets) / float64(n)
	return a.Spend(g.now())
}

// question asks a target on a connection that the pick keeps, a new one where
// fresh is set.
func (g *Gate) question(c *call, p *pick, fresh bool) {
	tg := p.target
	deadline := time.Now().Add(askTime)
	p.conn, p.err = g.client.Take(tg.Address, fresh, deadline)
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
	x := &pimentohttp.Exchange{Address: tg.Address, Req: req, Resp: resp, On: p.conn, Deadline: deadline, MaxWhole: maxReport, Echo: g.dialect.RequestID}
	g.metrics.count("pimento_questions_total")
	p.err = g.client.Do(x)
	if p.err != nil {
		p.conn = nil
		if used {
			// The connection may have gone silent, and others with it.
			g.client.ForgetIdle(tg.Address)
		}
		g.rest(tg, failRest)
		return
	}
	p.report = g.dialect.Report(resp)
	if p.report.Target != "" && p.report.Target != tg.ID {
		p.err = errOtherTarget
		p.release()
		g.rest(tg, failRest)
	}
}

// connect gives a pick a connection if it has none that is open.
func (g *Gate) connect(c *call, p *pick) error {
	if p.conn != nil && p.conn.Open() {
		return nil
	}
	var err error
	p.conn, err = g.client.Take(p.target.Address, !c.repeatable(), c.until)
	return err
}

// maxReport bounds the body in bytes of a target's report.
const maxReport = 64 << 10

// assess works out how long the target would take.
func (g *Gate) assess(c *call, p *pick) {
	now := g.now()
	f := &g.flow
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.target(p.target.ID)
	was := s.coldUntil > now
	s.coldUntil = 0
	if p.report.ColdLeft > 0 {
		s.coldUntil = now + p.report.ColdLeft
	}
	p.cold = s.coldUntil > now
	if p.cold != was {
		g.noteChange("msg", "target's cold state changed", "target", p.target.ID, "cold", p.cold, "left_ms", p.report.ColdLeft.Milliseconds())
	}
	running := max(p.report.Running+s.sentSince, s.sending)
	slots := max(1, p.report.Slots)
	if p.report.Slots == 0 {
		slots = max(1, p.target.Slots)
	}
	w := f.work(c.route)
	expected := g.distance(c, p.target)
	p.cost = g.costOf(w, p.target)
	run := w.alone
	if running > 0 {
		run = w.beside
	}
	run = run * time.Duration(max(1, p.report.Stretch)) / 100
	expected += run
	if limit := f.queues[c.part()]; limit > 0 && p.report.Waiting+s.sentSince >= limit {
		p.full = true
		expected += fullPenalty
	}
	if running >= slots {
		expected += run * time.Duration(p.report.Waiting+running-slots+1) / time.Duration(slots)
	}
	expected += time.Duration(s.failing * float64(failPenalty))
	if !p.report.Healthy {
		expected += illPenalty
	}
	p.expected = expected
}

// distance is the time on the way to a target and back.
func (g *Gate) distance(c *call, tg *pimentoroute.Target) time.Duration {
	switch {
	case tg.Domain == g.settings.Domain:
		return sameDomain
	case tg.Region == g.region:
		return sameRegion
	}
	return otherRegion
}

// cost stands for the price of the bytes of an answer from a target.
func (g *Gate) cost(c *call, tg *pimentoroute.Target) time.Duration {
	g.flow.mu.Lock()
	defer g.flow.mu.Unlock()
	return g.costOf(g.flow.work(c.route), tg)
}

func (g *Gate) costOf(w *work, tg *pimentoroute.Target) time.Duration {
	switch {
	case tg.Domain == g.settings.Domain:
		return 0
	case tg.Region == g.region:
		return time.Duration(w.bytes * float64(domainCost))
	}
	return time.Duration(w.bytes * float64(regionCost))
}

// rest lets a target be asked last for a while.
func (g *Gate) rest(tg *pimentoroute.Target, d time.Duration) {
	f := &g.flow
	f.mu.Lock()
	f.target(tg.ID).restUntil = g.now() + d
	f.mu.Unlock()
}
