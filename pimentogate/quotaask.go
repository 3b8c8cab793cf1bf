package pimentogate

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoquota"
)

const (
	// quotaInterval is the time between two asks when nothing is lacking. minQuotaGap is the
	// minimum time between two asks; it doubles up to maxQuotaGap while something is lacking,
	// since a hub that many entries ask is short of processor time first.
	quotaInterval = 500 * time.Millisecond
	minQuotaGap   = 20 * time.Millisecond
	maxQuotaGap   = 40 * time.Millisecond
	// startIntervalPerEntry times the number of entries, from minStartInterval up to
	// quotaInterval, is the time between two asks soon after the start: entries then learn
	// the time of a hub with one ask, and hand over tokens with the next. It bounds what a
	// hub is asked by a large fleet.
	startIntervalPerEntry = time.Millisecond
	minStartInterval      = 100 * time.Millisecond
	// quotaTimeout bounds the exchange of one ask and its reply. It is several times the
	// round trip to the farthest region.
	quotaTimeout = 600 * time.Millisecond
)

// quotaAsker asks one hub at a time for tokens.
type quotaAsker struct {
	gate    *Gate
	address string
	client  *pimentolink.MessageClient
	close   func()
}

// runQuotaAsks asks the hub for tokens, and hands it those that aren't needed, until ctx
// ends. It begins when an organisation has a limit.
func (g *Gate) runQuotaAsks(ctx context.Context) {
	q := &g.quotas
	select {
	case <-ctx.Done():
		return
	case <-q.limited:
	}
	asker := &quotaAsker{gate: g}
	defer asker.disconnect()
	gap := minQuotaGap
	for {
		again := asker.askOnce()
		if !sleepContext(ctx, gap) {
			return
		}
		if again {
			gap = min(2*gap, maxQuotaGap)
			continue
		}
		gap = minQuotaGap
		select {
		case <-ctx.Done():
			return
		case <-q.asking:
		case <-time.After(g.quotaInterval()):
		}
	}
}

// quotaInterval returns the time until the next ask when nothing is lacking.
func (g *Gate) quotaInterval() time.Duration {
	d := quotaInterval
	if g.quotaStarting() {
		d = min(d, max(minStartInterval, startIntervalPerEntry*time.Duration(g.quotaEntries(g.table.Load()))))
	}
	return d - randomUpTo(d/5)
}

// chooseHub chooses whom to ask, and logs a change.
func (g *Gate) chooseHub(now time.Duration) pimentoquota.Choice {
	cs := g.cluster
	cs.mu.Lock()
	self, others := cs.members.Self(), cs.members.OtherRecords()
	cs.mu.Unlock()
	t := g.table.Load()
	q := &g.quotas
	q.mu.Lock()
	choice := q.chooser.Choose(now, self, others)
	name := choice.Parent.Name
	changed := name != q.parent || choice.Hub != q.ledger.Hub
	q.parent = name
	q.ledger.Hub, q.ledger.Alone = choice.Hub, name == ""
	q.ledger.SetEntries(now, g.quotaEntries(t))
	q.mu.Unlock()
	if changed {
		g.metrics.count("pimento_quota_hub_changes_total")
		g.logChange("msg", "quota hub changed", "asks", name, "hub", choice.Hub, "entries", g.clusterSize.Load())
	}
	return choice
}

// askOnce sends one ask, and reports whether another one is to follow soon.
func (a *quotaAsker) askOnce() bool {
	g, q := a.gate, &a.gate.quotas
	sentAt := g.quotaNow()
	choice := g.chooseHub(sentAt)
	if choice.Parent.Name == "" {
		a.disconnect()
		q.mu.Lock()
		q.wake()
		q.mu.Unlock()
		return false
	}
	a.connect(&choice.Parent)
	q.mu.Lock()
	ask := q.ledger.Ask(sentAt, choice.Parent.RunID)
	q.mu.Unlock()
	g.metrics.count("pimento_quota_asks_total")
	reply, err := a.exchange(&ask)
	now := g.quotaNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		g.metrics.count("pimento_quota_asks_failed_total")
		g.logLine(level.WarnValue(), "msg", "quota hub didn't reply", "hub", choice.Parent.Name, "err", err)
		q.chooser.Avoid(now, choice.Parent.Name)
		return true
	}
	q.ledger.Apply(now, sentAt, reply)
	q.wake()
	return q.ledger.Needs(now)
}

func (a *quotaAsker) exchange(ask *pimentoquota.Ask) (*pimentoquota.Reply, error) {
	data, err := a.client.Exchange(marshalQuotaAsk(ask))
	if err != nil {
		return nil, err
	}
	return unmarshalQuotaReply(data)
}

// connect prepares the client for a hub.
func (a *quotaAsker) connect(hub *pimentopeer.Member) {
	if a.client != nil && a.address == hub.Address {
		return
	}
	a.disconnect()
	a.address = hub.Address
	a.client, a.close = a.gate.node.QuotaClient(hub.Address)
	a.client.Timeout = quotaTimeout
}

func (a *quotaAsker) disconnect() {
	if a.client != nil {
		a.close()
		a.client = nil
	}
}

// handleQuotaAsk serves another entry's ask.
func (g *Gate) handleQuotaAsk(data []byte) ([]byte, error) {
	ask, err := unmarshalQuotaAsk(data)
	if err != nil {
		return nil, err
	}
	q := &g.quotas
	now := g.quotaNow()
	q.mu.Lock()
	reply := q.ledger.Serve(now, ask)
	needs := q.ledger.Needs(now)
	q.wake()
	q.mu.Unlock()
	g.metrics.count("pimento_quota_served_total")
	if needs {
		q.askSoon()
	}
	return marshalQuotaReply(&reply), nil
}
