package pimentogate

import (
	"cmp"
	"slices"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// QuotaStatus is what an entry knows of the quota of one organisation.
type QuotaStatus struct {
	Organisation pimentoregister.OrganisationName `json:"organisation"`
	// Rate and Burst are the limit of all entries together.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Held is the number of tokens here, OldestMillis the age of the oldest, and Use the
	// number per second that were lately spent here or lent to other entries.
	Held         float64 `json:"held"`
	OldestMillis int64   `json:"oldest"`
	Use          float64 `json:"use"`
	// Spent and Denied count sends with a token, and refused requests, since the start.
	Spent  uint64 `json:"spent"`
	Denied uint64 `json:"denied"`
	// Short is set while there are no tokens where this entry asks.
	Short bool `json:"short"`
}

// maxQuotaStatuses bounds the organisations in a status.
const maxQuotaStatuses = 64

// quotaStatus returns the state of the quotas, and the hub that this entry asks.
func (g *Gate) quotaStatus() ([]QuotaStatus, pimentotarget.EntryName) {
	t := g.table.Load()
	if t == nil || t.Config == nil {
		return nil, ""
	}
	now := g.quotaNow()
	q := &g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	var known []pimentoquota.Status
	for name := range t.Config.Organisations {
		if s, ok := q.ledger.Status(now, name); ok {
			known = append(known, s)
		}
	}
	slices.SortFunc(known, func(a, b pimentoquota.Status) int {
		return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Name, b.Name))
	})
	var list []QuotaStatus
	for _, s := range known[:min(len(known), maxQuotaStatuses)] {
		list = append(list, QuotaStatus{
			Organisation: s.Name, Rate: s.Limit.Rate, Burst: s.Limit.Burst, Held: s.Held, OldestMillis: s.Age.Milliseconds(),
			Use: s.Use, Spent: s.Spent, Denied: s.Denied, Short: s.Short,
		})
	}
	return list, q.parent
}
