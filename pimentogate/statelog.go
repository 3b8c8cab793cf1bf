package pimentogate

import (
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// logTargetChanges logs the targets and failure domains that came into service or
// went out of service between two tables.
func (g *Gate) logTargetChanges(old, t *pimentoroute.Table) {
	before, after := targetsByID(old), targetsByID(t)
	if len(before) == 0 {
		g.logChange("msg", "first targets published", "count", len(after))
		return
	}
	for id, tg := range after {
		if before[id] == nil {
			g.logInService(tg)
		}
	}
	for id, tg := range before {
		if after[id] == nil {
			g.logOutOfService(t, tg)
		}
	}
	for domain := range t.OutDomains {
		if !old.OutDomains[domain] {
			g.logChange("msg", "domain out of service", "domain", domain)
		}
	}
	for domain := range old.OutDomains {
		if !t.OutDomains[domain] {
			g.logChange("msg", "domain in service", "domain", domain)
		}
	}
}

// logTargetChange logs whether a changed target came into service or went out of service.
func (g *Gate) logTargetChange(old, t *pimentoroute.Table, c pimentoroute.Change) {
	if c.New != nil && t.Has(c.New) && !old.Has(c.New) {
		g.logInService(c.New)
	}
	if c.Old != nil && old.Has(c.Old) && !t.Has(c.Old) {
		g.logOutOfService(t, c.Old)
	}
}

func (g *Gate) logInService(tg *pimentoroute.Target) {
	g.logChange("msg", "target in service", "target", tg.ID, "service", tg.Service, "domain", tg.Domain, "address", tg.Address)
}

func (g *Gate) logOutOfService(t *pimentoroute.Table, tg *pimentoroute.Target) {
	g.logChange("msg", "target out of service", "target", tg.ID, "service", tg.Service, "domain", tg.Domain, "domain_out", t.OutDomains[tg.Domain])
}

func targetsByID(t *pimentoroute.Table) map[pimentoroute.TargetID]*pimentoroute.Target {
	all := make(map[pimentoroute.TargetID]*pimentoroute.Target)
	if t == nil {
		return all
	}
	for _, list := range t.Targets {
		for _, tg := range list {
			all[tg.ID] = tg
		}
	}
	return all
}

// memberRuns has the run ID of each entry that isn't down.
type memberRuns map[pimentotarget.EntryName]uint64

// logMemberChanges logs the entries that were lost and that joined since the last
// call. It is called with clusterState.mu held.
func (g *Gate) logMemberChanges() {
	cs := g.cluster
	if cs.members.Changes() == cs.loggedChanges {
		return
	}
	cs.loggedChanges = cs.members.Changes()
	for _, m := range cs.members.OtherRecords() {
		run, here := cs.presentRuns[m.Name]
		switch {
		case m.Down && here:
			delete(cs.presentRuns, m.Name)
			g.logChange("msg", "entry lost", "entry", m.Name, "domain", m.Domain, "version", m.Version)
		case !m.Down && run != m.RunID:
			cs.presentRuns[m.Name] = m.RunID
			g.logChange("msg", "entry joined", "entry", m.Name, "domain", m.Domain, "stopping", m.Stopping, "version", m.Version)
		}
	}
}
