package pimentogate

import "time"

// itemsTrace is what was known of the published items at the moment before a send was written.
type itemsTrace struct {
	// age is that of the items at most, unconfirmedAge if nothing bounds it.
	age time.Duration
	// withdrawn is set if the target was no longer in service.
	withdrawn bool
}

// traceItems records by which items a send is written.
func (g *Gate) traceItems(s *send) {
	s.items = &itemsTrace{age: unconfirmedAge, withdrawn: !g.table.Load().Has(s.candidate.target)}
	if age, known := g.feedAge(); known {
		s.items.age = age
	}
}

// itemsFields returns log fields with the age of the items, and with what spoke against the target.
func (s *send) itemsFields() []any {
	if s.items == nil {
		return nil
	}
	fields := []any{"items_age_max_ms", s.items.age.Milliseconds()}
	if s.items.withdrawn {
		fields = append(fields, "withdrawn", true)
	}
	if !s.candidate.report.Healthy {
		fields = append(fields, "ill", true)
	}
	return fields
}
