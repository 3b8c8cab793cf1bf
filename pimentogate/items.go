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
	delete(cs.expired, it.Key)
	hasActiveConfig := had && old.Config != nil // Stays until it is replaced.
	if it.Removed {
		if hasActiveConfig {
			g.logLine(level.WarnValue(), "msg", "removal of the configuration ignored", "revision", it.Revision, "in_force", old.Config.Version)
			return
		}
		delete(cs.records, it.Key)
		if had && old.Target != nil && outage {
			cs.expired[it.Key] = expiredRecord{record: old, until: now + expiredGrace}
			time.AfterFunc(expiredGrace, g.dropExpired)
		}
		return
	}
	r, err := g.decode(it.Key, it.Value)
	if err != nil {
		if !hasActiveConfig {
			delete(cs.records, it.Key)
		}
		g.metrics.count("pimento_undecodable_total")
		g.logLine(level.WarnValue(), "msg", "published item ignored", "key", it.Key, "revision", it.Revision, "err", err)
		return
	}
	if r.Config != nil && hasActiveConfig && r.Config.Version < old.Config.Version {
		g.logLine(level.WarnValue(), "msg", "older configuration ignored", "version", r.Config.Version, "in_force", old.Config.Version)
		return
	}
	cs.records[it.Key] = r
	if r.Target != nil && r.Target.ColdLeft > 0 {
		g.recordCold(now, r.Target)
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
		}
	}
	g.rebuildTable(now)
}

// rebuildTable builds a new table and makes it the active one. It is called with
// clusterState.mu held.
func (g *Gate) rebuildTable(now time.Duration) {
	cs := g.cluster
	records := make([]pimentoroute.Record, 0, len(cs.records)+len(cs.expired))
	for _, r := range cs.records {
		records = append(records, r)
	}
	for _, e := range cs.expired {
		if e.until > now {
			records = append(records, e.record)
		}
	}
	old := g.table.Load()
	t := pimentoroute.Build(records, g.settings.Regions)
	g.table.Store(t)
	if t.Config != nil { // From now on there is always a configuration.
		g.onceConfigured.Do(func() { close(g.configured) })
	}
	g.logTargetChanges(old, t)
	g.traffic.prune(now, t)
	g.traffic.setRuns(t)
	if t.Config != nil && (old == nil || old.Config == nil || old.Config.Version != t.Config.Version) {
		g.logChange("msg", "configuration in force", "version", t.Config.Version, "routes", len(t.Config.Routes))
	}
	g.limitConns(t)
}
