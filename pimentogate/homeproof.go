package pimentogate

import "time"

// A request that home regions bind may only be sent by a configuration that is known to be
// recent enough: a newer one may have moved its home. Without that knowledge it is refused as
// not executed, since another entry most likely knows more. While the store is away for all,
// nothing newer is published, and the known configuration stays in force.

// homesDoubt returns why this entry can't tell the home regions of a request that some bind, or
// reasonNone. What the newest table says must be loaded afterwards.
func (g *Gate) homesDoubt(c *call) reason {
	if !g.homeBound.InForce() || !g.isBound(c) || g.homesConfirmed() {
		return reasonNone
	}
	return reasonUnconfirmed
}

// isBound reports whether home regions bind a request, by the configuration of its arrival or by
// the newest one.
func (g *Gate) isBound(c *call) bool {
	arrival, newest := c.arrivalHomes(), g.newestHomes(c)
	return arrival.bind() || newest.bind()
}

// homesConfirmed reports whether the entry knows the home regions well enough to send a request
// by them now.
func (g *Gate) homesConfirmed() bool {
	now := g.now()
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if g.homeBound.Allows(cs.ageAtMost(bootTime())) {
		return true
	}
	return cs.isAwayForAll(now)
}

// awaitHomes returns what homesDoubt does. While the age of the items has never been known to
// this start of the entry, and can be, a request waits a little for it.
func (g *Gate) awaitHomes(c *call) reason {
	why := g.homesDoubt(c)
	for end := time.Now().Add(proofWait); why != reasonNone && time.Now().Before(end); why = g.homesDoubt(c) {
		if !g.awaitsAge() || c.isAbandoned() {
			break
		}
		time.Sleep(proofCheckInterval)
	}
	return why
}

// awaitsAge reports whether the age of the items isn't known yet, and the next answer of the
// platform or of another entry may tell it.
func (g *Gate) awaitsAge() bool {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	_, known := cs.ageAtMost(bootTime())
	return !known && !cs.undecoded && !cs.configRemoved
}
