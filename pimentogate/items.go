package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoroute"
)

// applyItem decodes one changed item and stores its record. It is called with
// clusterState.mu held. outage is set if the platform was unavailable until now.
func (g *Gate) applyItem(now time.Duration, it pimentofeed.Item, outage bool) {
	cs := g.cluster
	old, had := cs.records[it.Key]
	inUse := old
	if e, ok := cs.expired[it.Key]; ok {
		inUse = e.record
		delete(cs.expired, it.Key)
	}
	hasActiveConfig := had && old.Config != nil // Stays until it is replaced.
	if it.Removed {
		if hasActiveConfig {
			cs.configRemoved = true
			g.logLine(level.WarnValue(), "msg", "removal of the configuration ignored", "revision", it.Revision, "in_force", old.Config.Version)
			return
		}
		delete(cs.records, it.Key)
		if had && old.Target != nil && outage {
			cs.expired[it.Key] = expiredRecord{record: old, until: now + expiredGrace}
			time.AfterFunc(expiredGrace, g.dropExpired)
			g.logChange("msg", "target kept after its removal", "target", old.Target.ID, "for", expiredGrace)
			return
		}
		cs.tableChanges.add(inUse, pimentoroute.Record{})
		return
	}
	r, err := g.decode(it.Key, it.Value)
	if err != nil {
		cs.undecoded = cs.undecoded || hasActiveConfig
		if !hasActiveConfig {
			delete(cs.records, it.Key)
			cs.tableChanges.add(inUse, pimentoroute.Record{})
		}
		g.metrics.countUndecodable(err)
		g.logLine(level.WarnValue(), "msg", "published item ignored", "key", it.Key, "revision", it.Revision, "err", err)
		return
	}
	if r.Config != nil {
		cs.undecoded, cs.configRemoved = false, false // Also by an older one, which is never in force.
	}
	if r.Config != nil && hasActiveConfig && r.Config.Version < old.Config.Version {
		g.logLine(level.WarnValue(), "msg", "older configuration ignored", "version", r.Config.Version, "in_force", old.Config.Version)
		return
	}
	cs.records[it.Key] = r
	cs.tableChanges.add(inUse, r)
	if r.Config != nil {
		g.logUnknownKinds(r.Config)
	}
	if r.Target != nil && r.Target.ColdLeft > 0 {
		g.recordCold(now, r.Target)
	}
}

// takesDomainOut reports whether a published item takes a failure domain out of service.
func (g *Gate) takesDomainOut(key string, value []byte) bool {
	r, err := g.decode(key, value)
	return err == nil && r.Out != ""
}

// logUnknownKinds logs and counts the routes of a new configuration whose kind isn't known.
func (g *Gate) logUnknownKinds(cfg *pimentoroute.Config) {
	for _, r := range cfg.Routes {
		if r.UnknownKind == "" {
			continue
		}
		g.metrics.count("pimento_unknown_kinds_total")
		g.logLine(level.WarnValue(), "msg", "route of an unknown kind counts as unsafe", "route", r.Name, "kind", r.UnknownKind, "version", cfg.Version)
	}
}

// recordCold records that a target was published as cold.
func (g *Gate) recordCold(now time.Duration, t *pimentoroute.Target) {
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.target(t.ID)
	s.coldUntil = max(s.coldUntil, now+t.ColdLeft)
}

// dropExpired drops the targets that weren't published again after an outage.
func (g *Gate) dropExpired() {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := g.now()
	for key, e := range cs.expired {
		if e.until <= now {
			delete(cs.expired, key)
			cs.tableChanges.add(e.record, pimentoroute.Record{})
		}
	}
	g.updateTable()
}

// tableChanges are the changes of records since the active table was made.
type tableChanges struct {
	targets []pimentoroute.Change
	// other is set if not only targets have changed, so that the table must be built from
	// all records.
	other bool
}

// add adds the replacement of a record. The zero record stands for none.
func (tc *tableChanges) add(old, r pimentoroute.Record) {
	if old.Config != nil || r.Config != nil || old.Out != "" || r.Out != "" {
		tc.other = true
		return
	}
	if old.Target != nil || r.Target != nil {
		tc.targets = append(tc.targets, pimentoroute.Change{Old: old.Target, New: r.Target})
	}
}

// updateTable makes a table with the changes since the last one, and makes it the active
// one. It is called with clusterState.mu held.
func (g *Gate) updateTable() {
	cs := g.cluster
	changes := cs.tableChanges
	cs.tableChanges = tableChanges{}
	old := g.table.Load()
	if old == nil || changes.other {
		g.rebuildTable(old)
		return
	}
	t := old.With(changes.targets, g.settings.Regions)
	g.table.Store(t)
	for _, c := range changes.targets {
		g.logTargetChange(old, t, c)
		g.updateConns(t, c)
		g.traffic.setRun(c.New)
	}
}

// rebuildTable builds a new table from all records, and makes it the active one. It is
// called with clusterState.mu held.
func (g *Gate) rebuildTable(old *pimentoroute.Table) {
	cs := g.cluster
	records := make([]pimentoroute.Record, 0, len(cs.records)+len(cs.expired))
	for _, r := range cs.records {
		records = append(records, r)
	}
	for _, e := range cs.expired {
		records = append(records, e.record)
	}
	t := pimentoroute.Build(records, g.settings.Regions)
	g.table.Store(t)
	g.updateAnswerDue()
	if t.Config != nil { // From now on there is always a configuration.
		g.onceConfigured.Do(func() { close(g.configured) })
	}
	g.logTargetChanges(old, t)
	for _, list := range t.Targets {
		for _, tg := range list {
			g.traffic.setRun(tg)
		}
	}
	if t.Config != nil && (old == nil || old.Config == nil || old.Config.Version != t.Config.Version) {
		g.logChange("msg", "configuration in force", "version", t.Config.Version, "routes", len(t.Config.Routes))
	}
	if old != nil && old.Config != t.Config && (old.HasHomes() || t.HasHomes()) {
		g.aimLines()
	}
	g.limitConns(t)
	g.limitOrganisations(t)
}
