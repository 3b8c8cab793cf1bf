package pimentogate

import (
	"fmt"

	"pimentoarch/pimentohttp"
)

// bodyFields returns log fields with how the target's response ended.
func (s *send) bodyFields() []any {
	if s.exchange == nil {
		return nil
	}
	x := s.exchange
	return []any{"framing", x.Framing, "bytes", x.BodyBytes, "end", s.end, "strays", x.Strays}
}

// countBody counts the response of an exchange by its framing, and the responses to other
// requests that were skipped before it.
func (m *gateMetrics) countBody(x *pimentohttp.Exchange) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_bodies_total{framing=%q}`, x.Framing)).Inc()
	if x.Strays > 0 {
		m.set.GetOrCreateCounter("pimento_strays_total").Add(x.Strays)
	}
}

// countEnd counts a body without a length by what is known about its end.
func (m *gateMetrics) countEnd(e bodyEnd) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_unframed_total{end=%q}`, e)).Inc()
}
