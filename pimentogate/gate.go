package pimentogate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/ants/v2"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentohttp"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentolisten"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentotarget"
)

// PlatformAdapter is what a Gate needs of its platform.
type PlatformAdapter struct {
	Dialect Dialect
	// Source is where the published items are read from.
	Source pimentoplatform.Source
	// Decode decodes a published item.
	Decode func(key string, value []byte) (pimentoroute.Record, error)
	// Newer reports whether a value of a published item was surely written after another one.
	// It may be nil.
	Newer func(key string, value, old []byte) bool
	// Reload returns the current settings. It may be nil.
	Reload func() (Settings, error)
}

// Gate is the load balancer process on one entry VM.
type Gate struct {
	settings  Settings
	region    pimentoregister.RegionName
	dialect   Dialect
	decode    func(key string, value []byte) (pimentoroute.Record, error)
	source    pimentoplatform.Source
	reload    func() (Settings, error)
	log       log.Logger
	logBudget lineBudget
	metrics   *gateMetrics
	memory    *pimentomemory.Budget // For bodies and messages that are held.
	bodies    bodyTraffic
	startedAt time.Time

	revocation pimentofeed.AgeBound // See Settings.Revocation.
	applyBound pimentofeed.AgeBound // See Settings.Apply.

	table atomic.Pointer[pimentoroute.Table]
	// configured is closed when there is a first active configuration.
	configured     chan struct{}
	onceConfigured sync.Once
	cluster        *clusterState
	traffic        trafficStats
	linesMu        sync.Mutex // Guards lines. Taken before their own mutexes.
	lines          map[pimentoregister.ServiceName]*serviceLine
	peerBacklogs   peerBacklogs
	client         pimentohttp.Client
	node           pimentolink.Node
	workers        *ants.Pool
	conns          connSet
	quotas         quotas

	// advanceDraw, from 0 to 1, decides whether this start may send retries before it
	// knows the size of the fleet.
	advanceDraw float64
	clusterSize atomic.Int64 // The value of clusterState.size; 0 while unknown.
	earlySize   atomic.Int64 // That of fleetSize.early.
	// domainSize is one more than the recent peak number of entries in this entry's
	// domain; 0 while unknown.
	domainSize atomic.Int64
	domainRank atomic.Int64 // This entry's index in its domain, sorted by name.
	domainLive atomic.Int64 // Entries of its domain that aren't down; 0 while unknown.
	// domainNames are the names of those entries, nil while unknown.
	domainNames atomic.Pointer[[]pimentotarget.EntryName]
	// domains are the domains at each distance.
	domains [otherRegion + 1][]pimentoregister.DomainName
	// regionNames are the names of all regions, sorted.
	regionNames []pimentoregister.RegionName
	// firstReadAt is the time since startedAt after which the platform is read if no
	// items were received.
	firstReadAt time.Duration
	seedAddrs   atomic.Pointer[[]string]
	stopping    atomic.Bool // A planned stop has begun.
	// cutoff is when a planned stop cuts off the requests that still run; nil before it.
	cutoff        atomic.Pointer[time.Time]
	cutoffReached chan struct{} // Closed at that time.
	// acceptEnd is when a planned stop accepts no more connections at the latest; nil
	// before it.
	acceptEnd atomic.Pointer[time.Time]
}

const (
	// maxWorkers bounds the requests, probes and peer streams that are served at a
	// time.
	maxWorkers = 4096
	// targetIdleTimeout is the longest time for which an idle connection to a
	// target is kept; targets may close it sooner.
	targetIdleTimeout = 12 * time.Second
	// targetDialTimeout bounds the time to open a connection to a target.
	targetDialTimeout = 250 * time.Millisecond
	// messageShare is the divisor of the bytes that peers' messages may hold, beside the
	// bodies, so that these never keep messages out.
	messageShare = 4
	// targetAckTimeout is the time without a TCP acknowledgement after which a
	// connection to a target fails.
	targetAckTimeout = 2 * time.Second
)

// New returns a gate, and its cleanup function.
func New(s Settings, p PlatformAdapter, logger log.Logger) (*Gate, func(), error) {
	workers, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, nil, fmt.Errorf("create pool of %d workers: %w", maxWorkers, err)
	}
	g := &Gate{
		settings:    s,
		region:      s.Region(),
		domains:     domainsByDistance(s.Regions, s.Domain),
		regionNames: regionNames(s.Regions),
		dialect:     p.Dialect,
		decode:      p.Decode,
		source:      p.Source,
		reload:      p.Reload,
		log:         logger,
		metrics:     newGateMetrics(),
		memory:      pimentomemory.NewBudget(s.heldBytes()),
		startedAt:   time.Now(),
		configured:  make(chan struct{}),
		workers:     workers,
		conns:       connSet{most: maxCallerConns()},

		cutoffReached: make(chan struct{}),
		advanceDraw:   rand.Float64(),
	}
	g.bodies.link.Rate = s.linkRate()
	g.logBudget.linesPerSecond = s.LogLineRate
	g.cluster = newClusterState(pimentopeer.Member{
		Name: s.Name, Address: s.PeersAddr, Region: g.region, Domain: s.Domain,
		RunID: rand.Uint64() | 1, Version: uint64(time.Now().UnixMilli()),
	})
	g.revocation = pimentofeed.AgeBound{After: time.Duration(s.Revocation)}
	g.applyBound = pimentofeed.AgeBound{After: s.applyTime()}
	g.updateAnswerDue()
	g.cluster.feed.Newer, g.cluster.feed.Restricts = p.Newer, g.takesDomainOut
	g.seedAddrs.Store(&s.Seeds)
	if s.FirstStart && len(s.Seeds) > 0 && !slices.Contains(s.Seeds, s.PeersAddr) {
		g.firstReadAt = firstReadWait + randomUpTo(firstReadJitter)
	}
	g.client = pimentohttp.Client{MaxIdle: targetIdleTimeout, DialTimeout: targetDialTimeout, UserTimeout: targetAckTimeout, Redial: true}
	g.quotas.init(&s, g.cluster.runID())
	g.node = pimentolink.Node{Log: logger, Workers: workers, OnSyncMessage: g.handleSync, OnQuotaAsk: g.handleQuotaAsk, Memory: pimentomemory.NewBudget(s.heldBytes() / messageShare)}
	g.addGauges()
	return g, workers.Release, nil
}

// now returns the time since the gate was created. Points in time of type
// time.Duration, such as coldUntil, are counted from then too.
func (g *Gate) now() time.Duration { return time.Since(g.startedAt) }

// seeds returns the addresses of the entries to contact first.
func (g *Gate) seeds() []string {
	if list := g.seedAddrs.Load(); list != nil {
		return *list
	}
	return nil
}

// listeners are the listening sockets without which a gate can't serve.
type listeners struct{ callers, ready, peers net.Listener }

// port returns a port to listen on.
func (g *Gate) port(address string) pimentolisten.Port {
	return pimentolisten.Port{Address: address, Log: g.log, OnFailure: func() { g.metrics.count("pimento_listen_failures_total") }}
}

// listen opens the listening sockets, that for callers last, so that no caller waits for
// the others. It returns a cleanup function.
func (g *Gate) listen(stop <-chan struct{}) (*listeners, func(), error) {
	var l listeners
	closeAll := func() {
		for _, ln := range []net.Listener{l.callers, l.ready, l.peers} {
			if ln != nil {
				_ = ln.Close()
			}
		}
	}
	for _, port := range []struct {
		ln      *net.Listener
		address string
	}{
		{&l.peers, g.settings.PeersAddr}, {&l.ready, g.settings.ReadyAddr}, {&l.callers, g.settings.CallersAddr},
	} {
		ln, err := g.port(port.address).Listen(stop)
		if err != nil {
			closeAll()
			return nil, nil, &Error{Op: "listen", Kind: KindListen, Err: err}
		}
		*port.ln = ln
	}
	return &l, closeAll, nil
}

// Run serves until stop is closed, and then performs a planned stop. It returns
// when the last request has ended, or has been cut off near the end of the grace
// period. A value from reload makes it read the settings.
func (g *Gate) Run(stop <-chan struct{}, reload <-chan os.Signal) error {
	l, closeAll, err := g.listen(stop)
	if pimentolisten.IsStopped(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer closeAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready, admin := g.readyServer(), g.adminServer()
	var wg sync.WaitGroup
	wg.Go(func() { _ = ready.Serve(l.ready) })
	wg.Go(func() {
		g.port(g.settings.AdminAddr).Serve(ctx.Done(), func(ln net.Listener) { _ = admin.Serve(ln) })
	})
	wg.Go(func() { g.node.Serve(ctx, l.peers) })
	wg.Go(func() { g.maintainCluster(ctx.Done()) })
	wg.Go(func() { g.runPeerSyncs(ctx) })
	wg.Go(func() { g.watchSettings(ctx, reload) })
	wg.Go(func() { g.runQuotaAsks(ctx) })
	callers := pimentohttp.NewDrainListener(l.callers)
	wg.Go(func() { g.acceptCallers(callers) })
	go g.followPlatform(ctx) // Not in wg: a waiting watch can't be cancelled.
	g.logChange("msg", "started", "name", g.settings.Name, "region", g.region, "domain", g.settings.Domain, "callers", g.settings.CallersAddr, "run", g.cluster.runID())
	<-stop
	g.shutDown(callers)
	cancel()
	closeAll()
	g.logChange("msg", "stopped", "open", g.conns.size())
	return nil
}

func (g *Gate) followPlatform(ctx context.Context) {
	f := &pimentoplatform.Follower{
		Source:     g.timedSource(),
		Log:        g.log,
		ShouldRead: g.decideReading,
		At:         g.knownPoint,
		OnUpdate:   func(u pimentofeed.Update) { g.applyUpdate(u, sourcePlatform) },
		OnReading:  g.setReading,
		OnFailure:  g.noteFailure,
		OnCurrent:  g.noteCurrent,
		Now:        bootTime,
		MaxWait:    g.maxWatchWait,
	}
	f.Run(ctx)
}

// acceptCallers serves callers until ln is closed. Accept fails for no other reason.
func (g *Gate) acceptCallers(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		g.admitCaller(nc)
	}
}
