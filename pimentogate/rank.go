package pimentogate

import (
	"math/rand/v2"
	"slices"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// apertureSizes are the numbers of targets of each domain that this entry prefers to the
// others of the domain, by the distance of the domain. It keeps connections to them.
var apertureSizes = [...]int{sameDomain: 12, sameRegion: 4, otherRegion: 3}

// maxRanked bounds the targets that are ranked for one choice, by their distance: those of
// two probe rounds near by, and of one in other regions.
var maxRanked = [...]int{sameDomain: 2 * probeFanout, sameRegion: 2 * probeFanout, otherRegion: probeFanout}

// domainsByDistance returns the domains at each distance from a domain.
func domainsByDistance(regions map[pimentoregister.DomainName]pimentoregister.RegionName, own pimentoregister.DomainName) (byDistance [otherRegion + 1][]pimentoregister.DomainName) {
	for domain, region := range regions {
		d := otherRegion
		switch {
		case domain == own:
			d = sameDomain
		case region == regions[own]:
			d = sameRegion
		}
		byDistance[d] = append(byDistance[d], domain)
	}
	for _, list := range byDistance {
		slices.Sort(list)
	}
	return byDistance
}

// ranking collects the targets for one choice.
type ranking struct {
	gate  *Gate
	table *pimentoroute.Table
	call  *call
	homes homes // That bind the request.
	tried []pimentoroute.TargetID
	// targets are nearest first, backedOff are those in backoff, and lastResort those
	// that are leaving, which only get requests that no other target can serve.
	targets, backedOff, lastResort []*pimentoroute.Target
}

// rankTargets returns the targets that a request may go to, in homes that bind it: nearest
// first, those of this entry's aperture before others of the same domain, at random among
// equals, targets in backoff last. lastResort has the targets that are leaving. Targets that
// have withdrawn are left out, and cold targets of other domains: the limit of a cold target is shared by
// the entries of its own domain only.
func (g *Gate) rankTargets(c *call, h homes, tried []pimentoroute.TargetID) (targets, lastResort []*pimentoroute.Target) {
	r := &ranking{gate: g, table: g.table.Load(), call: c, homes: h, tried: tried}
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for d := range g.domains {
		r.addDistance(distance(d))
	}
	return append(r.targets, r.backedOff...), r.lastResort
}

// addDistance adds targets at one distance up to its limit: those in this entry's aperture,
// and if too few of them may be used, others of the same domains.
func (r *ranking) addDistance(d distance) {
	limit := len(r.targets) + maxRanked[d]
	var preferred []*pimentoroute.Target
	for _, domain := range r.gate.domains[d] {
		list, start, count := r.aperture(d, domain)
		for i := range count {
			preferred = append(preferred, list[(start+i)%len(list)])
		}
	}
	rand.Shuffle(len(preferred), func(i, j int) { preferred[i], preferred[j] = preferred[j], preferred[i] })
	for _, tg := range preferred {
		r.add(tg, d, limit)
	}
	for _, i := range rand.Perm(len(r.gate.domains[d])) {
		r.addOthers(d, r.gate.domains[d][i], limit)
	}
}

// addOthers adds the targets of a domain that aren't in this entry's aperture, from a
// random one on.
func (r *ranking) addOthers(d distance, domain pimentoregister.DomainName, limit int) {
	list, start, count := r.aperture(d, domain)
	others := len(list) - count
	if others == 0 {
		return
	}
	first := rand.IntN(others)
	for i := 0; i < others && len(r.targets) < limit; i++ {
		r.add(list[(start+count+(first+i)%others)%len(list)], d, limit)
	}
}

// aperture returns the targets of a domain, and which of them are in this entry's aperture.
func (r *ranking) aperture(d distance, domain pimentoregister.DomainName) (list []*pimentoroute.Target, start, count int) {
	g := r.gate
	list = r.table.InDomain(r.call.serviceName(), domain)
	start, count = pimentotarget.Aperture(len(list), apertureSizes[d], g.ringPosition())
	return list, start, count
}

// add adds a target if it may be used and the limit isn't reached.
func (r *ranking) add(tg *pimentoroute.Target, d distance, limit int) {
	g := r.gate
	if len(r.targets) >= limit || slices.Contains(r.tried, tg.ID) || !r.homes.allows(tg.Region) {
		return
	}
	now := g.now()
	s := g.traffic.target(tg.ID)
	if s.coldUntil > now && d != sameDomain {
		return
	}
	a := g.admission(s)
	switch {
	case a == pimentotarget.AdmitLastResort:
		r.lastResort = append(r.lastResort, tg)
		g.countPassedOver(a)
	case a != pimentotarget.AdmitAll:
		g.countPassedOver(a)
	case s.backoffUntil > now || s.withdrawal.PausedWithin(now, failureBackoff):
		r.backedOff = append(r.backedOff, tg)
	default:
		r.targets = append(r.targets, tg)
	}
}

// ringPosition returns this entry's place among the entries of its domain, from 0 up to 1.
func (g *Gate) ringPosition() float64 {
	return float64(g.domainRank.Load()) / float64(max(1, g.domainLive.Load()))
}
