package pimentogate

import (
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoroute"
)

// apply decodes one changed item. It is called with fleet.mu held.
func (g *Gate) apply(now time.Duration, it pimentofeed.Item, outage bool) {
	f := g.fleet
	old, had := f.records[it.Key]
	delete(f.lapsed, it.Key)
	inForce := had && old.Config != nil // Stays until another one replaces it.
	if it.Removed {
		if inForce {
			g.note(level.WarnValue(), "msg", "removal of the configuration ignored", "revision", it.Revision, "in_force", old.Config.Version)
			return
		}
		delete(f.records, it.Key)
		if had && old.Target != nil && outage {
			f.lapsed[it.Key] = lapse{record: old, until: now + lapseTerm}
			time.AfterFunc(lapseTerm, g.endLapses)
		}
		return
	}
	r, err := g.decode(it.Key, it.Value)
	if err != nil {
		if !inForce {
			delete(f.records, it.Key)
		}
		g.metrics.count("pimento_undecodable_total")
		g.note(level.WarnValue(), "msg", "published item ignored", "key", it.Key, "revision", it.Revision, "err", err)
		return
	}
	if r.Config != nil && inForce && r.Config.Version < old.Config.Version {
		g.note(level.WarnValue(), "msg", "older configuration ignored", "version", r.Config.Version, "in_force", old.Config.Version)
		return
	}
	f.records[it.Key] = r
	if r.Target != nil && r.Target.ColdLeft > 0 {
		g.noteCold(now, r.Target)
	}
}

// noteCold takes a target's published word that it is cold.
func (g *Gate) noteCold(now time.Duration, t *pimentoroute.Target) {
	fl := &g.flow
	fl.mu.Lock()
	defer fl.mu.Unlock()
	s := fl.target(t.ID)
	s.coldUntil = max(s.coldUntil, now+t.ColdLeft)
}

// endLapses drops the targets that didn't come back after an outage.
func (g *Gate) endLapses() {
	f := g.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := g.now()
	for key, l := range f.lapsed {
		if l.until <= now {
			delete(f.lapsed, key)
		}
	}
	g.rebuild(now)
}

// rebuild puts a new table in force. It is called with fleet.mu held.
func (g *Gate) rebuild(now time.Duration) {
	f := g.fleet
	records := make([]pimentoroute.Record, 0, len(f.records)+len(f.lapsed))
	for _, r := range f.records {
		records = append(records, r)
	}
	for _, l := range f.lapsed {
		if l.until > now {
			records = append(records, l.record)
		}
	}
	old := g.table.Load()
	t := pimentoroute.Build(records, g.settings.Regions)
	g.table.Store(t)
	if t.Config != nil { // From then on there is always one.
		g.onceConfigured.Do(func() { close(g.configured) })
	}
	g.noteTargets(old, t)
	g.flow.forget(t)
	if t.Config != nil && (old == nil || old.Config == nil || old.Config.Version != t.Config.Version) {
		g.noteChange("msg", "configuration in force", "version", t.Config.Version, "routes", len(t.Config.Routes))
	}
	g.limitConns(t)
}
