package pimentogate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/ants/v2"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentohttp"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// PlatformAdapter are what a Gate needs of its platform.
type PlatformAdapter struct {
	Dialect Dialect
	// Source is where the published items are read.
	Source pimentoplatform.Source
	// Decode translates an item.
	Decode func(key string, value []byte) (pimentoroute.Record, error)
	// Reload returns the settings as they are now. It may be nil.
	Reload func() (Settings, error)
}

// Gate is the process on one entry VM.
type Gate struct {
	settings Settings
	region   pimentoregister.RegionName
	dialect  Dialect
	decode   func(key string, value []byte) (pimentoroute.Record, error)
	source   pimentoplatform.Source
	reload   func() (Settings, error)
	log      log.Logger
	budget   lineBudget
	metrics  *gauges
	origin   time.Time

	table atomic.Pointer[pimentoroute.Table]
	// configured is closed when the first configuration is in force.
	configured     chan struct{}
	onceConfigured sync.Once
	fleet          *fleet
	flow           flow
	client         pimentohttp.Client
	node           pimentolink.Node
	workers        *ants.Pool
	conns          connSet

	fleetSize  atomic.Int64 // Entries that share limits; 0 while not known.
	domainSize atomic.Int64 // Entries of the own domain; 0 while not known.
	domainRank atomic.Int64
	firstRead  time.Duration // When the platform is read if nobody has told anything.
	seedList   atomic.Pointer[[]string]
	stopping   atomic.Bool // A planned stop has begun.
}

const (
	// maxWorkers bounds the tasks that run at a time.
	maxWorkers = 4096
	// targetIdle is the longest time for which a connection to a target is kept
	// idle; targets may close it sooner.
	targetIdle = 12 * time.Second
	// targetDial bounds the time to open a connection to a target.
	targetDial = 250 * time.Millisecond
	// targetSilence is the time without an acknowledgement after which a
	// connection to a target breaks.
	targetSilence = 2 * time.Second
)

// New returns a gate, and its clean-up function.
func New(s Settings, p PlatformAdapter, logger log.Logger) (*Gate, func(), error) {
	workers, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, nil, fmt.Errorf("create pool of %d workers: %w", maxWorkers, err)
	}
	g := &Gate{
		settings:   s,
		region:     s.Region(),
		dialect:    p.Dialect,
		decode:     p.Decode,
		source:     p.Source,
		reload:     p.Reload,
		log:        logger,
		metrics:    newGauges(),
		origin:     time.Now(),
		configured: make(chan struct{}),
		workers:    workers,
	}
	g.budget.lines = s.LogLineRate
	g.fleet = newFleet(pimentopeer.Member{
		Name: s.Name, Address: s.PeersAddr, Region: g.region, Domain: s.Domain,
		RunID: rand.Uint64() | 1, Version: uint64(time.Now().UnixMilli()),
	})
	g.seedList.Store(&s.Seeds)
	if s.FirstStart && len(s.Seeds) > 0 && !slices.Contains(s.Seeds, s.PeersAddr) {
		g.firstRead = firstReadWait + spreadOf(firstReadSpread)
	}
	g.client = pimentohttp.Client{MaxIdle: targetIdle, DialTimeout: targetDial, UserTimeout: targetSilence, Redial: true}
	g.node = pimentolink.Node{Log: logger, Workers: workers, OnSyncMessage: g.onNote}
	g.addGauges()
	return g, workers.Release, nil
}

// now is the time since the process has started.
func (g *Gate) now() time.Duration { return time.Since(g.origin) }

func (g *Gate) seeds() []string { return *g.seedList.Load() }

// listeners are the open ports.
type listeners struct{ callers, ready, peers, admin net.Listener }

func (g *Gate) listen() (*listeners, func(), error) {
	var l listeners
	closeAll := func() {
		for _, ln := range []net.Listener{l.callers, l.ready, l.peers, l.admin} {
			if ln != nil {
				_ = ln.Close()
			}
		}
	}
	for _, port := range []struct {
		ln      *net.Listener
		address string
	}{
		{&l.callers, g.settings.CallersAddr}, {&l.ready, g.settings.ReadyAddr},
		{&l.peers, g.settings.PeersAddr}, {&l.admin, g.settings.AdminAddr},
	} {
		ln, err := net.Listen("tcp", port.address)
		if err != nil {
			closeAll()
			return nil, nil, &Error{Op: "listen on " + port.address, Kind: KindListen, Err: err}
		}
		*port.ln = ln
	}
	return &l, closeAll, nil
}

// Run serves until stop is closed, and then stops as planned. It returns when
// the last request has ended. A token from reload makes it read the settings.
func (g *Gate) Run(stop, reload <-chan struct{}) error {
	l, closeAll, err := g.listen()
	if err != nil {
		return err
	}
	defer closeAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready, admin := g.readyServer(), g.adminServer()
	var wg sync.WaitGroup
	wg.Go(func() { _ = ready.Serve(l.ready) })
	wg.Go(func() { _ = admin.Serve(l.admin) })
	wg.Go(func() { g.node.Serve(ctx, l.peers) })
	wg.Go(func() { g.keepFleet(ctx.Done()) })
	wg.Go(func() { g.keepTalking(ctx) })
	wg.Go(func() { g.watchSettings(ctx, reload) })
	wg.Go(func() { g.acceptCallers(l.callers) })
	go g.follow(ctx) // Not waited for: a waiting watch can't be cut short.
	g.noteChange("msg", "started", "name", g.settings.Name, "region", g.region, "domain", g.settings.Domain, "callers", g.settings.CallersAddr)
	<-stop
	g.stop(l.callers)
	cancel()
	closeAll()
	g.noteChange("msg", "stopped", "open", g.conns.size())
	return nil
}

func (g *Gate) follow(ctx context.Context) {
	f := &pimentoplatform.Follower{
		Source:     g.source,
		Log:        g.log,
		ShouldRead: g.decideReading,
		AsOf:       g.asOf,
		OnUpdate:   func(u pimentofeed.Update) { g.take(u, "platform") },
		OnReading:  g.setReading,
		OnFailure:  func() { g.metrics.count("pimento_platform_failures_total") },
	}
	f.Run(ctx)
}

func (g *Gate) acceptCallers(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			g.metrics.count("pimento_accept_failures_total")
			time.Sleep(acceptPause)
			continue
		}
		go g.serveConn(nc)
	}
}

// acceptPause is the pause after a connection that couldn't be accepted.
const acceptPause = 10 * time.Millisecond
