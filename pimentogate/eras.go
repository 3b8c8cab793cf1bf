package pimentogate

import (
	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
)

// logEra logs and counts that the platform's store has come back from an older copy. It is
// called with clusterState.mu held.
func (g *Gate) logEra(before pimentofeed.Point, from string) {
	cs := g.cluster
	g.metrics.count("pimento_store_restores_total")
	g.logLine(level.WarnValue(), "msg", "platform's store came back from an older copy", "from", from, "era", cs.feed.At().Era,
		"revision", cs.feed.AsOf(), "era_before", before.Era, "revision_before", before.Revision, "disputed", cs.feed.Disputed())
}

// settleItems ends the disputes about items of a store that came back from an older copy,
// once their time has passed.
func (g *Gate) settleItems() {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := g.now()
	changed := cs.feed.Settle()
	if len(changed) == 0 {
		return
	}
	for _, it := range changed {
		g.applyItem(now, it, false)
		g.logChange("msg", "item kept until now", "key", it.Key, "removed", it.Removed, "revision", it.Revision)
	}
	g.updateTable()
	g.logChange("msg", "what the platform's store has counts again", "era", cs.feed.At().Era, "items", len(changed))
}

// lacksItems reports whether a peer that sent a message lacks items, or keeps other items than
// this entry although the store has older ones.
func (g *Gate) lacksItems(msg *syncMessage) bool {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.lacksItems(msg)
}

// lacksItems does the same with mu held.
func (cs *clusterState) lacksItems(msg *syncMessage) bool {
	at := cs.feed.At()
	if msg.at.Before(at) {
		return true
	}
	return msg.at.Era == at.Era && cs.feed.Disputed() > 0 && msg.disputeDigest != cs.feed.DisputeDigest()
}
