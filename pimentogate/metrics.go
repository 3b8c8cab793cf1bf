package pimentogate

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentoarch/pimentoregister"
)

// gauges are the figures that an operator sees. Their number is bounded: names
// come from reasons and published services only.
type gauges struct {
	set *metrics.Set

	mu        sync.Mutex // Guards latencies.
	latencies map[pimentoregister.ServiceName]*metrics.Histogram
}

func newGauges() *gauges {
	return &gauges{set: metrics.NewSet(), latencies: make(map[pimentoregister.ServiceName]*metrics.Histogram)}
}

func (m *gauges) refused(why reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_refusals_total{reason=%q}`, string(why))).Inc()
}

// repeated counts a send beyond the first.
func (m *gauges) repeated(why reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_repeats_total{reason=%q}`, string(why))).Inc()
}

func (m *gauges) count(name string) {
	m.set.GetOrCreateCounter(name).Inc()
}

// maxServices bounds the services that have a histogram of their own.
const maxServices = 512

func (m *gauges) served(service pimentoregister.ServiceName, took time.Duration) {
	m.mu.Lock()
	h := m.latencies[service]
	if h == nil && len(m.latencies) < maxServices {
		h = m.set.NewHistogram(fmt.Sprintf(`pimento_request_seconds{service=%q}`, string(service)))
		m.latencies[service] = h
	}
	m.mu.Unlock()
	if h != nil {
		h.Update(took.Seconds())
	}
}

func (m *gauges) write(w io.Writer) { m.set.WritePrometheus(w) }
