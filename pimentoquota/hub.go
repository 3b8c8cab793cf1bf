package pimentoquota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentopeer"
	"pimentoarch/pimentotarget"
)

// Chooser chooses the entry to ask: the hub of the domain, and for a hub that of the fleet.
// The hub of a set of entries is the one whose name has the highest hash, so that entries
// with the same members agree, and an entry only ever asks one with a higher hash. It isn't
// safe for concurrent use.
type Chooser struct {
	avoided map[pimentotarget.EntryName]time.Duration
}

// avoidTime is how long an entry that didn't reply isn't asked again.
const avoidTime = 2 * time.Second

// Avoid records that an entry didn't reply.
func (c *Chooser) Avoid(now time.Duration, name pimentotarget.EntryName) {
	if c.avoided == nil {
		c.avoided = make(map[pimentotarget.EntryName]time.Duration)
	}
	for other, until := range c.avoided {
		if until <= now {
			delete(c.avoided, other)
		}
	}
	c.avoided[name] = now + avoidTime
}

// Choice is whom an entry asks.
type Choice struct {
	Parent pimentopeer.Member // Without a name if there is none.
	Hub    bool               // This entry is the hub of its domain, or of the fleet.
}

// Choose chooses among all members, this entry included.
func (c *Chooser) Choose(now time.Duration, self pimentopeer.Member, all []pimentopeer.Member) Choice {
	domainHub, fleetHub := &self, &self
	for i := range all {
		m := &all[i]
		if m.Down || m.Stopping || m.Address == "" || c.avoided[m.Name] > now {
			continue
		}
		fleetHub = higher(fleetHub, m)
		if m.Domain == self.Domain {
			domainHub = higher(domainHub, m)
		}
	}
	switch {
	case domainHub.Name != self.Name:
		return Choice{Parent: *domainHub}
	case fleetHub.Name != self.Name:
		return Choice{Parent: *fleetHub, Hub: true}
	}
	return Choice{Hub: true}
}

// higher returns the one of two members whose name has the higher hash.
func higher(a, b *pimentopeer.Member) *pimentopeer.Member {
	if ha, hb := xxhash.Sum64String(string(a.Name)), xxhash.Sum64String(string(b.Name)); hb > ha || (hb == ha && b.Name > a.Name) {
		return b
	}
	return a
}
