package pimentogate

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// ready reports whether the balancer may send callers here.
func (g *Gate) ready() bool {
	t := g.table.Load()
	return !g.stopping.Load() && t != nil && t.Config != nil && len(t.Targets) > 0 && !g.awaitsKeys(t.Config)
}

// maxSideBody bounds in bytes the body of a request of the balancer or of operators.
const maxSideBody = 1 << 10

// readyServer returns the server for the balancer's readiness checks.
func (g *Gate) readyServer() *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxSideBody,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) != g.dialect.ReadyPath:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			case !g.ready():
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
}

// adminServer returns the server for operators: /metrics and /status.
func (g *Gate) adminServer() *fasthttp.Server {
	return &fasthttp.Server{
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxSideBody,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case "/metrics":
				g.metrics.write(ctx)
			case "/status":
				ctx.SetContentType("application/json")
				if err := json.NewEncoder(ctx).Encode(g.status()); err != nil {
					ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
				}
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
}

// Status is the state of an entry, as JSON at /status.
type Status struct {
	Name          pimentotarget.EntryName `json:"name"`
	Ready         bool                    `json:"ready"`
	ConfigVersion pimentoroute.Version    `json:"version"`
	// Revision is the platform's revision up to which the items are complete.
	Revision uint64 `json:"asof"`
	// Era counts how often the platform's store has come back from an older copy. Disputed
	// is the number of items that are kept although the store has others since.
	Era       uint64 `json:"era"`
	Disputed  int    `json:"disputed"`
	AgeMillis int64  `json:"age"` // Age of the items in ms, -1 if unknown.
	// ReadsPlatform is set while this entry reads the platform for others.
	ReadsPlatform bool `json:"reads"`
	// PlatformAway is set while the platform answers no entry, as far as this one knows.
	PlatformAway bool `json:"away"`
	// Entries is the number of entries that aren't down, this one included, and
	// DomainEntries that of those in its domain.
	Entries       int                                            `json:"entries"`
	DomainEntries int                                            `json:"domain"`
	Targets       map[pimentoregister.ServiceName][]TargetStatus `json:"targets"`
	// Run is the ID of this start of the entry, and UpMillis the time since then.
	Run      uint64 `json:"run"`
	UpMillis int64  `json:"up"`
	// ShareEntries is the number of entries that shares of limits are computed from, 0
	// while it is unknown.
	ShareEntries int64 `json:"share"`
	// Retries has this entry's share of the retry limit of each service that had requests.
	Retries map[pimentoregister.ServiceName]RetryStatus `json:"retries"`
	// Organisations is the number of organisations of the configuration.
	Organisations int `json:"organisations"`
	// KeysAgeMillis is the age in ms of the known keys at most, -1 if unknown. KeysLimitMillis
	// is the age above which requests with a key are refused, 0 without a limit, and
	// KeysRefused is set while they are.
	KeysAgeMillis   int64 `json:"keysage"`
	KeysLimitMillis int64 `json:"keyslimit"`
	KeysRefused     bool  `json:"keysrefused"`
	// Quotas has the organisations with a limit, those with the most use here first, and
	// QuotaHub the entry that this one asks for tokens, empty if it is the hub of all.
	Quotas   []QuotaStatus           `json:"quotas,omitempty"`
	QuotaHub pimentotarget.EntryName `json:"hub,omitempty"`
	// OutDomains lists the failure domains that are out of service.
	OutDomains []pimentoregister.DomainName `json:"out"`
}

// TargetStatus is the state of one target, as measured by this entry.
type TargetStatus struct {
	ID      pimentoroute.TargetID      `json:"id"`
	Address string                     `json:"address"`
	Domain  pimentoregister.DomainName `json:"domain"`
	Cold    bool                       `json:"cold"`
	// InBackoff is set for a moment after a failure or a refusal: the target is then
	// probed last.
	InBackoff bool `json:"resting"`
	// FailureRate is the moving average of failed sends, from 0 to 1.
	FailureRate float64 `json:"failing"`
	// InFlight counts this entry's requests that the target is processing.
	InFlight int `json:"sending"`
	// LeavingMillis is the time since the target said that it is leaving, and
	// PausedMillis how much longer it wants no requests, both 0 if it didn't.
	LeavingMillis int64 `json:"leaving"`
	PausedMillis  int64 `json:"paused"`
}

func (g *Gate) status() Status {
	now, ready := g.now(), g.ready()
	cs := g.cluster
	cs.mu.Lock()
	v := Status{
		Name: g.settings.Name, Ready: ready, Revision: uint64(cs.feed.AsOf()), AgeMillis: -1, Era: uint64(cs.feed.At().Era), Disputed: cs.feed.Disputed(), ReadsPlatform: cs.reading,
		Entries: cs.members.LiveCount(), DomainEntries: len(cs.members.DomainMembers(g.settings.Domain)),
		Targets: make(map[pimentoregister.ServiceName][]TargetStatus),
		Run:     cs.members.Self().RunID, UpMillis: now.Milliseconds(), ShareEntries: g.clusterSize.Load(),
	}
	if age, known := cs.age(now); known {
		v.AgeMillis = age.Milliseconds()
	}
	v.PlatformAway = cs.isAwayForAll(now)
	cs.mu.Unlock()
	v.KeysAgeMillis, v.KeysLimitMillis, v.KeysRefused = -1, g.revocation.Limit().Milliseconds(), !g.keysConfirmed()
	if age, known := g.feedAge(); known {
		v.KeysAgeMillis = age.Milliseconds()
	}
	g.traffic.mu.Lock()
	v.Retries = g.retryStatus()
	g.traffic.mu.Unlock()
	v.Quotas, v.QuotaHub = g.quotaStatus()
	t := g.table.Load()
	if t == nil {
		return v
	}
	if t.Config != nil {
		v.ConfigVersion = t.Config.Version
		v.Organisations = len(t.Config.Organisations)
	}
	for domain := range t.OutDomains {
		v.OutDomains = append(v.OutDomains, domain)
	}
	g.traffic.mu.Lock()
	defer g.traffic.mu.Unlock()
	for name, list := range t.Targets {
		for _, tg := range list {
			s := g.traffic.target(tg.ID)
			status := TargetStatus{
				ID: tg.ID, Address: tg.Address, Domain: tg.Domain, Cold: s.coldUntil > now,
				InBackoff: s.backoffUntil > now, FailureRate: float64(s.failureRate), InFlight: s.inFlight,
				PausedMillis: s.withdrawal.PauseLeft(now).Milliseconds(),
			}
			if age, leaving := s.withdrawal.LeavingFor(now); leaving {
				status.LeavingMillis = max(1, age.Milliseconds())
			}
			v.Targets[name] = append(v.Targets[name], status)
		}
	}
	return v
}

// addGauges registers the gauges of this entry's state.
func (g *Gate) addGauges() {
	gauge := func(name string, value func() float64) { g.metrics.set.NewGauge(name, value) }
	gauge("pimento_state_revision", func() float64 { return float64(g.knownPoint().Revision) })
	gauge("pimento_state_era", func() float64 { return float64(g.knownPoint().Era) })
	gauge("pimento_state_disputed", func() float64 {
		g.cluster.mu.Lock()
		defer g.cluster.mu.Unlock()
		return float64(g.cluster.feed.Disputed())
	})
	gauge("pimento_state_age_seconds", func() float64 {
		cs := g.cluster
		cs.mu.Lock()
		defer cs.mu.Unlock()
		age, known := cs.age(g.now())
		if !known {
			return -1
		}
		return age.Seconds()
	})
	gauge("pimento_platform_away", func() float64 {
		cs := g.cluster
		cs.mu.Lock()
		defer cs.mu.Unlock()
		if cs.isAwayForAll(g.now()) {
			return 1
		}
		return 0
	})
	gauge("pimento_keys_age_seconds", func() float64 {
		age, known := g.feedAge()
		if !known {
			return -1
		}
		return age.Seconds()
	})
	gauge("pimento_entries", func() float64 { return float64(g.clusterSize.Load()) })
	gauge("pimento_callers_open", func() float64 { return float64(g.conns.size()) })
	gauge("pimento_targets_open", func() float64 { return float64(g.client.OpenConns()) })
	gauge("pimento_memory_held_bytes", func() float64 { return float64(g.memory.Used()) })
	gauge("pimento_memory_limit_bytes", func() float64 { return float64(g.memory.Limit()) })
	gauge("pimento_memory_denied_total", func() float64 { return float64(g.memory.Denied()) })
	gauge("pimento_silent_services", func() float64 { return float64(len(g.silences())) })
	gauge("pimento_link_busy_seconds", func() float64 { return g.linkBusy().Seconds() })
	gauge("pimento_ready", func() float64 {
		if g.ready() {
			return 1
		}
		return 0
	})
}
