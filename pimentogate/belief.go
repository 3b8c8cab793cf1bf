package pimentogate

import (
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// noteTargets writes which targets and failure domains came into service or
// went out of it between two tables.
func (g *Gate) noteTargets(old, t *pimentoroute.Table) {
	before, after := targetsOfTable(old), targetsOfTable(t)
	if len(before) == 0 {
		g.noteChange("msg", "targets known", "count", len(after))
		return
	}
	for id, tg := range after {
		if before[id] == nil {
			g.noteChange("msg", "target in service", "target", id, "service", tg.Service, "domain", tg.Domain, "address", tg.Address)
		}
	}
	for id, tg := range before {
		if after[id] == nil {
			g.noteChange("msg", "target out of service", "target", id, "service", tg.Service, "domain", tg.Domain, "domain_out", t.OutDomains[tg.Domain])
		}
	}
	for domain := range t.OutDomains {
		if !old.OutDomains[domain] {
			g.noteChange("msg", "domain out of service", "domain", domain)
		}
	}
	for domain := range old.OutDomains {
		if !t.OutDomains[domain] {
			g.noteChange("msg", "domain in service", "domain", domain)
		}
	}
}

func targetsOfTable(t *pimentoroute.Table) map[pimentoroute.TargetID]*pimentoroute.Target {
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

// presence has the run of each entry that is believed to be there.
type presence map[pimentotarget.EntryName]uint64

// noteMembers writes which entries were lost and which came since the last
// call. It is called with fleet.mu held.
func (g *Gate) noteMembers() {
	f := g.fleet
	for _, m := range f.roster.OtherRecords() {
		run, here := f.present[m.Name]
		switch {
		case m.Down && here:
			delete(f.present, m.Name)
			g.noteChange("msg", "entry lost", "entry", m.Name, "domain", m.Domain, "version", m.Version)
		case !m.Down && run != m.RunID:
			f.present[m.Name] = m.RunID
			g.noteChange("msg", "entry heard", "entry", m.Name, "domain", m.Domain, "stopping", m.Stopping, "version", m.Version)
		}
	}
}
