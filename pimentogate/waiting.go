package pimentogate

import (
	"slices"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// chooseInLine does what chooseTarget does for a service whose requests wait in a line. A
// request looks for a target at once unless others of its rank wait.
func (g *Gate) chooseInLine(l *serviceLine, c *call, tried []pimentoroute.TargetID) (*candidate, reason) {
	w, asks := g.arrive(l, c)
	for {
		var best *candidate
		if !asks {
			t := g.awaitTurn(l, w)
			if t.why != reasonNone {
				return nil, t.why
			}
			best = t.offer
		}
		asks = false
		if best == nil {
			var why reason
			if best, why = g.probeNearest(c, tried); why == reasonTargets {
				g.endTurn(l, w, false)
				return nil, why
			}
		}
		if best != nil && !g.confirmHomes(c, best) {
			best.release()
			g.endTurn(l, w, false)
			w, asks = g.arrive(l, c)
			continue
		}
		switch g.decideInLine(w, best) {
		case pimentoload.Send:
			g.endTurn(l, w, true)
			return best, reasonNone
		case pimentoload.Refuse:
			g.endTurn(l, w, false)
			c.rejected = best
			best.releaseIfAny()
			return nil, reasonBusy
		}
		g.rejoin(l, w, best)
	}
}

// arrive ranks a request, and reports whether it looks for a target at once. Otherwise it has
// joined the line. A request that is sent once more keeps its rank.
func (g *Gate) arrive(l *serviceLine, c *call) (w *lineCall, asks bool) {
	first := c.waiter == nil
	if first {
		c.waiter = g.newLineCall(c)
	}
	w, pressing := c.waiter, g.isPressing(l.service)
	w.rejoined = false
	now := g.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if first {
		l.line.Arrive(now, &w.Waiter)
	}
	g.aim(l, w)
	if l.line.Ask(now, &w.Waiter) {
		return w, true
	}
	g.join(l, w, pressing)
	return w, false
}

// join adds a call to the line, and takes those out that are known not to be served. It is
// called with the line's mu held.
func (g *Gate) join(l *serviceLine, w *lineCall, pressing bool) {
	now := g.now()
	l.waiting[&w.Waiter] = w
	g.metrics.count("pimento_line_joined_total")
	l.line.Join(now, &w.Waiter)
	w.place, w.expected = l.line.Position(&w.Waiter)+1, l.line.ExpectedWait(now, &w.Waiter)
	for out := l.line.Overflow(now); out != nil; out = l.line.Overflow(now) {
		l.refuse(out, reasonLineFull)
	}
	for out := l.line.Shed(now, &w.Waiter); out != nil; out = l.line.Shed(now, &w.Waiter) {
		l.refuse(out, reasonLineLate)
	}
	g.nextTurns(l, pressing)
}

// refuse refuses a call that the line has let go. It is called with mu held.
func (l *serviceLine) refuse(out *pimentoload.Waiter, why reason) {
	w := l.waiting[out]
	delete(l.waiting, out)
	w.turn <- lineTurn{why: why}
}

// nextTurns lets calls look for targets whose turn it is. It is called with the line's mu
// held.
func (g *Gate) nextTurns(l *serviceLine, pressing bool) {
	for l.asking < maxAskers {
		next := l.line.Next(g.now(), pressing)
		if next == nil {
			return
		}
		l.giveTurn(next, nil)
	}
}

// giveTurn lets a call that the line has let go look for a target, or gives it an offer. It
// is called with mu held.
func (l *serviceLine) giveTurn(next *pimentoload.Waiter, offer *candidate) {
	w := l.waiting[next]
	delete(l.waiting, next)
	w.asks = true
	l.asking++
	w.turn <- lineTurn{offer: offer}
}

// isPressing reports whether many requests to a service are refused.
func (g *Gate) isPressing(s pimentoregister.ServiceName) bool {
	return pimentoload.IsPressing(g.traffic.pressure(s)) || g.traffic.overloaded(s)
}

// endTurn records that a call has got a target or is refused.
func (g *Gate) endTurn(l *serviceLine, w *lineCall, sent bool) {
	pressing := g.isPressing(l.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAsking(g.now(), w, sent)
	if sent {
		l.pause, l.pausedUntil = 0, 0
	}
	g.nextTurns(l, pressing)
}

// endAsking ends a look for a target. It is called with mu held.
func (l *serviceLine) endAsking(now time.Duration, w *lineCall, sent bool) {
	l.line.Ended(now, &w.Waiter, sent)
	if w.asks {
		w.asks = false
		l.asking--
	}
}

// rejoin puts a call back into the line for which no target is good enough. The best one goes
// to the first that can use it. Otherwise targets are looked for after a pause.
func (g *Gate) rejoin(l *serviceLine, w *lineCall, best *candidate) {
	taker := g.findTaker(l, best)
	pressing := g.isPressing(l.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := g.now()
	l.endAsking(now, w, false)
	moved := g.aim(l, w)
	if taker != nil && l.waiting[&taker.Waiter] == taker {
		g.metrics.count("pimento_line_handed_over_total")
		l.line.Claim(now, &taker.Waiter)
		l.giveTurn(&taker.Waiter, best)
	} else {
		best.releaseIfAny()
		if !moved {
			g.pauseLine(l, w, best)
		}
	}
	w.rejoined = true
	g.join(l, w, pressing)
}

// pauseLine lets no target be looked for for a while where a call has found none that is good
// enough. best is the best one, or nil if none replied. It is called with mu held.
func (g *Gate) pauseLine(l *serviceLine, w *lineCall, best *candidate) {
	now := g.now()
	if now >= l.pausedUntil { // Of several at a time, one makes the pause longer.
		l.pause = min(max(2*l.pause, firstWait), maxWait)
		l.pausedUntil = now + l.pause
	}
	priority := w.Priority
	if best == nil {
		priority = 0 // No target replied, whoever asks.
	}
	l.line.Pause(now, priority, w.Regions, now+l.pause)
	g.wakeAfter(l, l.pause)
}

// findTaker returns the first waiting call that can use a candidate, or nil.
func (g *Gate) findTaker(l *serviceLine, cand *candidate) *lineCall {
	if cand == nil {
		return nil
	}
	pressing := g.isPressing(l.service)
	l.mu.Lock()
	var calls []*lineCall
	for _, next := range l.line.Heads(nil, g.now(), pressing) {
		// Once it no longer waits, its tried targets may change.
		if w := l.waiting[next]; g.allows(w.call, cand.target.Region) && !slices.Contains(w.call.tried, cand.target.ID) {
			calls = append(calls, w)
		}
	}
	l.mu.Unlock()
	for _, w := range calls {
		g.estimate(w.call, cand)
		if g.decide(w.call, cand) == pimentoload.Send {
			return w
		}
	}
	return nil
}

// wakeAfter lets calls look for targets after a pause. It is called with the line's mu held.
func (g *Gate) wakeAfter(l *serviceLine, pause time.Duration) {
	if l.timer != nil {
		l.timer.Reset(pause)
		return
	}
	l.timer = time.AfterFunc(pause, func() {
		pressing := g.isPressing(l.service)
		l.mu.Lock()
		defer l.mu.Unlock()
		g.nextTurns(l, pressing)
	})
}

// awaitTurn waits until it is a call's turn, or until it can't wait any longer.
func (g *Gate) awaitTurn(l *serviceLine, w *lineCall) lineTurn {
	c := w.call
	limit := time.Until(c.received.Add(g.waitLimit(w)))
	if w.rejoined {
		limit = max(limit, firstWait) // Its last look for a target was just now.
	}
	timer := time.NewTimer(max(0, min(limit, time.Until(c.deadline))))
	defer timer.Stop()
	why := reasonNone
	select {
	case t := <-w.turn:
		return t
	case <-c.done:
		why = reasonCallerGone
	case <-g.cutoffReached:
		why = reasonStopping
	case <-timer.C:
		switch {
		case time.Until(c.deadline) <= 0:
			why = reasonTimeout
		case g.isPressing(l.service):
			why = reasonBusy
		}
	}
	return g.giveUp(l, w, why)
}

// waitLimit returns the time for which a request waits at most. One whose caller was told to
// return waits for its objective.
func (g *Gate) waitLimit(w *lineCall) time.Duration {
	objective := w.call.route.Objective
	if w.Returned {
		return objective
	}
	return pimentoload.WaitLimit(objective, g.traffic.pressure(w.call.serviceName()))
}

// giveUp takes a call out of the line that waits no longer. Without a reason, it looks for a
// target once more.
func (g *Gate) giveUp(l *serviceLine, w *lineCall, why reason) lineTurn {
	pressing := g.isPressing(l.service)
	now := g.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.line.Leave(now, &w.Waiter) {
		delete(l.waiting, &w.Waiter)
		if why == reasonNone {
			l.line.Claim(now, &w.Waiter)
		}
		return lineTurn{why: why}
	}
	t := <-w.turn // It was its turn at the same moment.
	if why == reasonNone || why == reasonBusy || t.why != reasonNone {
		return t
	}
	t.offer.releaseIfAny()
	l.endAsking(now, w, false)
	g.nextTurns(l, pressing)
	return lineTurn{why: why}
}

// decideInLine returns what to do with a request, given its best target. A request whose turn
// it is although more urgent ones wait counts as urgent, so that its kind doesn't starve.
func (g *Gate) decideInLine(w *lineCall, cand *candidate) pimentoload.Decision {
	r := g.loadRequest(w.call)
	r.Urgent = r.Urgent || w.Fair
	return pimentoload.Decide(r, cand.offer())
}

// roomFor returns the time until there is room for the caller of a refused request, 0 if it
// isn't known.
func (g *Gate) roomFor(c *call) time.Duration {
	if c.waiter == nil {
		return 0
	}
	l := g.lineOf(c)
	if l == nil {
		return 0
	}
	now := g.now()
	elsewhere := g.peerBacklogs.of(now, l.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.line.Return(now, c.priority(), elsewhere)
}

// lineFields returns log fields with the place that a call last had in a line.
func (c *call) lineFields() []any {
	w := c.waiter
	if w == nil || w.place == 0 {
		return nil
	}
	return []any{"position", w.place, "expected_wait_ms", w.expected.Milliseconds(), "fair", w.Fair}
}
