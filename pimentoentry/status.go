package pimentoentry

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Status is the state known to an entry, served as JSON at /status.
type Status struct {
	Name     pimentotarget.EntryName  `json:"name"`
	Revision pimentoregister.Revision `json:"revision"`
	// RefusedRevision is the newest configuration that was refused, and RefusedReason
	// its error, if it is newer than the active one.
	RefusedRevision pimentoregister.Revision `json:"refused,omitempty"`
	RefusedReason   string                   `json:"why,omitempty"`
	Ready           bool                     `json:"ready"`
	Stopping        bool                     `json:"stopping"`
	Running         int64                    `json:"running"`
	Services        []ServiceStatus          `json:"services"`
	Peers           []PeerStatus             `json:"peers"`
	Keys            string                   `json:"keys"` // Summary of the ledger.
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name    pimentoregister.ServiceName `json:"name"`
	Waiting int                         `json:"waiting"` // Requests in the queue.
	Running int                         `json:"running"` // Requests sent to targets.
	// Latency is the average time in microseconds that targets take to respond.
	Latency int64          `json:"latency"`
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is the state of one target.
type TargetStatus struct {
	Name        pimentoregister.VMName `json:"name"`
	State       string                 `json:"state"`
	Reason      string                 `json:"why,omitempty"`
	Outstanding int                    `json:"outstanding"`
	Share       int                    `json:"share"` // Own share of the target's slots.
}

// PeerStatus is the state of one other entry.
type PeerStatus struct {
	Name      pimentotarget.EntryName    `json:"name"`
	Region    pimentoregister.RegionName `json:"region"`
	Reachable bool                       `json:"reachable"`
	Stopping  bool                       `json:"stopping"` // Or listed as leaving.
	Revision  pimentoregister.Revision   `json:"revision"`
}

// Status returns the current state known to the entry.
func (e *Entry) Status() Status {
	now := e.now()
	st := Status{
		Name:     e.settings.Name,
		Revision: e.store.View().Revision,
		Ready:    e.ready.Load(),
		Stopping: e.stopping.Load(),
		Running:  e.running.Load(),
	}
	if r := e.store.Refused(); r.Err != nil {
		st.RefusedRevision = r.Revision
		st.RefusedReason = r.Err.Error()
	}
	for _, info := range e.store.View().Services() {
		if s := e.service(info.Name); s != nil {
			st.Services = append(st.Services, s.status(now))
		}
	}
	e.peers.mu.Lock()
	for _, p := range e.peers.members.Peers() {
		st.Peers = append(st.Peers, PeerStatus{
			Name: p.Name, Region: p.Region, Reachable: p.Reachable(now),
			Stopping: p.Stopping || p.Leaving, Revision: p.Revision,
		})
	}
	e.peers.mu.Unlock()
	e.keys.mu.Lock()
	st.Keys = e.keys.ledger.String()
	e.keys.mu.Unlock()
	return st
}

// status returns the state of the service at the time now.
func (s *service) status(now time.Duration) ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ServiceStatus{
		Name:    s.name,
		Waiting: s.table.Waiting(),
		Running: s.table.Outstanding(),
		Latency: s.table.Latency().Microseconds(),
	}
	for _, tg := range s.table.Targets() {
		state, why := s.table.State(now, tg)
		out.Targets = append(out.Targets, TargetStatus{
			Name: tg.Name, State: state, Reason: why, Outstanding: tg.Outstanding, Share: tg.Share,
		})
	}
	return out
}

// adminServer returns the HTTP server for operators and the platform's balancer.
func (e *Entry) adminServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               e.serveAdmin,
		NoDefaultServerHeader: true,
		ReadTimeout:           callerReadTimeout,
		IdleTimeout:           callerIdleTimeout,
		CloseOnShutdown:       true,
		Logger:                serverLogger{e.log},
	}
}

// serveAdmin serves /health, /metrics and /status.
func (e *Entry) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/health":
		e.serveHealth(ctx)
	case "/metrics":
		var buf bytes.Buffer
		e.counters.set.WritePrometheus(&buf)
		metrics.WriteProcessMetrics(&buf)
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.SetBody(buf.Bytes())
	case "/status":
		body, err := json.MarshalIndent(e.Status(), "", "  ")
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	default:
		ctx.Error("the paths are /health, /metrics and /status", fasthttp.StatusNotFound)
	}
}

// serveHealth returns status 503 while callers should be sent to other entries.
func (e *Entry) serveHealth(ctx *fasthttp.RequestCtx) {
	switch {
	case e.stopping.Load():
		ctx.Error("stopping", fasthttp.StatusServiceUnavailable)
	case !e.ready.Load():
		ctx.Error("starting", fasthttp.StatusServiceUnavailable)
	case e.store.View().IsOutOfService(e.settings.Domain):
		ctx.Error("the failure domain is out of service", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ok\n")
	}
}

// registerGauges registers the metrics whose values are computed when read.
func (e *Entry) registerGauges() {
	set := e.counters.set
	set.NewGauge("pimento_config_revision", func() float64 { return float64(e.store.View().Revision) })
	set.NewGauge("pimento_config_refused_revision", func() float64 { return float64(e.store.Refused().Revision) })
	set.NewGauge("pimento_running", func() float64 { return float64(e.running.Load()) })
	set.NewGauge("pimento_quarantined", func() float64 { return float64(e.quarantine.len()) })
	set.NewGauge("pimento_target_connections", func() float64 { return float64(e.client.OpenConns()) })
	set.NewGauge("pimento_platform_calls", func() float64 { return float64(e.platform.Calls()) })
	set.NewGauge("pimento_peer_sessions", func() float64 { return float64(e.node.SessionCount()) })
	set.NewGauge("pimento_memory_held_bytes", func() float64 { return float64(e.memory.Used()) })
	set.NewGauge("pimento_memory_limit_bytes", func() float64 { return float64(e.memory.Limit()) })
	set.NewGauge("pimento_memory_denied_total", func() float64 { return float64(e.memory.Denied()) })
	set.NewGauge("pimento_key_bytes", func() float64 {
		e.keys.mu.Lock()
		defer e.keys.mu.Unlock()
		return float64(e.keys.ledger.Bytes())
	})
}

// cryptoUint64 returns a random number that can't be predicted.
func cryptoUint64() uint64 {
	var buf [8]byte
	_, _ = rand.Read(buf[:])
	return binary.BigEndian.Uint64(buf[:])
}

// formatLine formats a message of the HTTP server.
func formatLine(format string, args []any) string { return fmt.Sprintf(format, args...) }
