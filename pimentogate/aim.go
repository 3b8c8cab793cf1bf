package pimentogate

import (
	"maps"
	"slices"
)

// confirmHomes sets the homes by which a candidate was chosen to the newest ones, and reports
// whether they allow it: they may have changed while it was looked for, and an offer was chosen
// for another request.
func (g *Gate) confirmHomes(c *call, cand *candidate) bool {
	cand.homes = g.newestHomes(c)
	return cand.homes.allows(cand.target.Region)
}

// aim makes a call that has arrived, and for which no target is looked for now, wait for targets
// in the regions that the newest configuration allows. It reports whether these have changed. It
// is called with the line's mu held.
func (g *Gate) aim(l *serviceLine, w *lineCall) bool {
	regions := g.regionSet(w.call)
	if regions == w.Regions {
		return false
	}
	l.line.SetRegions(&w.Waiter, regions)
	return true
}

// aimLines does what aim does for all calls that wait, after a new table was stored. Calls that
// join a line later go by that table.
func (g *Gate) aimLines() {
	g.linesMu.Lock()
	lines := slices.Collect(maps.Values(g.lines))
	g.linesMu.Unlock()
	for _, l := range lines {
		g.aimLine(l)
	}
}

func (g *Gate) aimLine(l *serviceLine) {
	pressing := g.isPressing(l.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	moved := false
	for _, w := range l.waiting {
		moved = g.aim(l, w) || moved
	}
	if moved {
		g.nextTurns(l, pressing)
	}
}
