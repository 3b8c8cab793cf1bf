package pimentogate

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

const (
	// maxLineLength and maxLineShare bound the requests of one service that wait, and the
	// fraction of the bytes that this entry may hold that they hold.
	maxLineLength = 1000
	maxLineShare  = 0.5
	// maxAskers bounds the waiting requests of one service for which targets are looked for
	// at a time: one isn't enough where replies come from other regions.
	maxAskers = 3
)

// serviceLine is the line of one service at this entry.
type serviceLine struct {
	service pimentoregister.ServiceName

	mu      sync.Mutex // Guards the fields below.
	line    pimentoload.Line
	waiting map[*pimentoload.Waiter]*lineCall
	asking  int // Waiting requests for which targets are looked for.
	// pause is the time after which targets are looked for again, and pausedUntil the end of
	// the last one.
	pause, pausedUntil time.Duration
	timer              *time.Timer // Wakes the line after a pause. nil without one.
}

// lineCall is a call that may wait in a line.
type lineCall struct {
	pimentoload.Waiter
	call *call
	// turn gets one value after each time that the line takes the call out.
	turn chan lineTurn
	// place, from 1 on, and expected, the wait, are those when the call last joined the line.
	place    int
	expected time.Duration
	asks     bool // It is one of serviceLine.asking.
	rejoined bool // A target was looked for already, without one that is good enough.
}

// lineTurn is what becomes of a waiting call: it gets a target, looks for one if offer is nil,
// or is refused.
type lineTurn struct {
	offer *candidate
	why   reason
}

// lineOf returns the line of the call's service, or nil if its requests don't wait in one.
func (g *Gate) lineOf(c *call) *serviceLine {
	if !g.table.Load().IsShared(c.serviceName()) {
		return nil
	}
	g.linesMu.Lock()
	defer g.linesMu.Unlock()
	if g.lines == nil {
		g.lines = make(map[pimentoregister.ServiceName]*serviceLine)
	}
	l := g.lines[c.serviceName()]
	if l == nil {
		l = &serviceLine{service: c.serviceName(), waiting: make(map[*pimentoload.Waiter]*lineCall)}
		l.line.MaxLength = maxLineLength
		l.line.MaxBytes = int(maxLineShare * float64(g.settings.heldBytes()))
		g.lines[l.service] = l
		g.addLineGauges(l)
	}
	return l
}

// pruneLines drops the lines of services that are no longer published, once they are empty.
func (g *Gate) pruneLines(t *pimentoroute.Table) {
	if t == nil {
		return
	}
	g.linesMu.Lock()
	defer g.linesMu.Unlock()
	for name, l := range g.lines {
		l.mu.Lock()
		if t.Targets[name] == nil && l.line.Length() == 0 && l.asking == 0 {
			delete(g.lines, name)
		}
		l.mu.Unlock()
	}
}

// newLineCall returns a call as one that may wait in a line.
func (g *Gate) newLineCall(c *call) *lineCall {
	received := c.received.Sub(g.startedAt)
	return &lineCall{
		Waiter: pimentoload.Waiter{
			Priority: c.priority(), Regions: g.regionSet(c), Since: received, Objective: received + c.route.Objective,
			Deadline: c.deadline.Sub(g.startedAt), Work: g.usualWork(c), Bytes: c.bodyBytes, Caller: c.callerIP, Returned: c.repeat,
		},
		call: c,
		turn: make(chan lineTurn, 1),
	}
}

// regionSet returns the regions that may serve a request, by the newest configuration.
func (g *Gate) regionSet(c *call) pimentoload.RegionSet {
	if len(g.regionNames) > bits.UintSize {
		return pimentoload.AllRegions
	}
	h := g.newestHomes(c)
	var set pimentoload.RegionSet
	for i, region := range g.regionNames {
		if h.allows(region) {
			set |= 1 << i
		}
	}
	return set
}

// regionNames returns the names of the regions, sorted.
func regionNames(regions map[pimentoregister.DomainName]pimentoregister.RegionName) []pimentoregister.RegionName {
	var names []pimentoregister.RegionName
	for _, name := range regions {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	return slices.Compact(names)
}

// addLineGauges registers the gauges of one line. It is called with linesMu held, the gauges'
// own functions without it.
func (g *Gate) addLineGauges(l *serviceLine) {
	if len(g.lines) > maxLineGauges {
		return
	}
	name := l.service
	gauge := func(metric string, value func(*pimentoload.Line) float64) {
		g.metrics.set.GetOrCreateGauge(fmt.Sprintf(`%s{service=%q}`, metric, string(name)), func() float64 {
			g.linesMu.Lock()
			defer g.linesMu.Unlock()
			l := g.lines[name]
			if l == nil {
				return 0
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			return value(&l.line)
		})
	}
	gauge("pimento_line_length", func(l *pimentoload.Line) float64 { return float64(l.Length()) })
	gauge("pimento_line_oldest_seconds", func(l *pimentoload.Line) float64 {
		since, waits := l.Oldest()
		if !waits {
			return 0
		}
		return (g.now() - since).Seconds()
	})
	gauge("pimento_line_rate", func(l *pimentoload.Line) float64 {
		b, _ := l.Backlog(g.now())
		return b.Rate
	})
}

// maxLineGauges bounds the services whose lines have gauges of their own.
const maxLineGauges = 512
