package pimentogate

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoregister"
)

// gateMetrics are the metrics for operators. Their number is bounded: labels come
// from reasons and published services only.
type gateMetrics struct {
	set *metrics.Set

	mu        sync.Mutex // Guards latencies.
	latencies map[pimentoregister.ServiceName]*metrics.Histogram
}

func newGateMetrics() *gateMetrics {
	m := &gateMetrics{set: metrics.NewSet(), latencies: make(map[pimentoregister.ServiceName]*metrics.Histogram)}
	m.addMemoryGauges()
	return m
}

func (m *gateMetrics) countRefusal(why reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_refusals_total{reason=%q}`, string(why))).Inc()
}

// countRetry counts a retry or hedge.
func (m *gateMetrics) countRetry(why reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_repeats_total{reason=%q}`, string(why))).Inc()
}

// countForwarded counts a target's response that is forwarded and isn't a success, by the first
// digit of its status and whether it has the target's signature.
func (m *gateMetrics) countForwarded(status int, signed bool) {
	if status < fasthttp.StatusMultipleChoices {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_forwarded_total{class="%dxx",signed="%t"}`, status/100, signed)).Inc()
}

// countUndecodable counts a published item that was ignored, by the reason that its error
// states.
func (m *gateMetrics) countUndecodable(err error) {
	reason := "invalid"
	var r interface{ Reason() string }
	if errors.As(err, &r) {
		reason = r.Reason()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`pimento_undecodable_total{reason=%q}`, reason)).Inc()
}

func (m *gateMetrics) count(name string) {
	m.set.GetOrCreateCounter(name).Inc()
}

// maxHistograms bounds the services that have a histogram of their own.
const maxHistograms = 512

func (m *gateMetrics) observeRequest(service pimentoregister.ServiceName, took time.Duration) {
	m.mu.Lock()
	h := m.latencies[service]
	if h == nil && len(m.latencies) < maxHistograms {
		h = m.set.NewHistogram(fmt.Sprintf(`pimento_request_seconds{service=%q}`, string(service)))
		m.latencies[service] = h
	}
	m.mu.Unlock()
	if h != nil {
		h.Update(took.Seconds())
	}
}

func (m *gateMetrics) write(w io.Writer) { m.set.WritePrometheus(w) }
