package pimentoentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/panjf2000/ants/v2"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentolisten"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Entry is the load balancer process on one entry VM.
type Entry struct {
	settings    Settings
	log         log.Logger
	incarnation pimentokey.Incarnation
	startTime   time.Time
	counters    *counters
	memory      *pimentomemory.Budget // For the bodies of requests.

	store       pimentoregister.Store
	services    atomic.Pointer[map[pimentoregister.ServiceName]*service]
	keys        *keyring
	peers       peers
	quarantine  quarantine
	client      pimentohttp.Client
	connWatcher pimentohttp.ConnWatcher
	callerConns callerConns
	linkShare   linkShare
	node        pimentolink.Node
	platform    *pimentoplatform.Client
	workers     *ants.Pool

	// configMu is held while a configuration or a list of VMs is applied. It is
	// acquired before all other locks.
	configMu sync.Mutex
	// listMu guards the next three fields. No other lock is acquired under it.
	listMu         sync.Mutex
	regionEntries  []pimentotarget.EntryName
	leavingVMs     map[pimentoregister.VMName]bool
	listReceivedAt time.Duration

	startSpread   time.Duration   // See pimentoplatform.Watcher; 0 means its default.
	queueSignal   chan struct{}   // Signalled when a request begins to wait.
	ctx           context.Context // Ends with Run, or by New's cleanup function.
	cancel        context.CancelFunc
	fetching      atomic.Bool  // A configuration is being fetched from a peer.
	poolClearedAt atomic.Int64 // See onSilentConnection.
	ready         atomic.Bool  // See awaitReady.
	listReceived  atomic.Bool  // A list of VMs was received.
	stopping      atomic.Bool  // A planned stop has begun.
	closing       atomic.Bool  // Caller connections are closed after a response.
	running       atomic.Int64 // Requests in progress; those of peers count twice.
}

const (
	// maxWorkers bounds the hedges and probes that run at a time.
	maxWorkers = 4096
	// maxStreams bounds the streams of peers that are served at a time.
	maxStreams = 8192
	// pollInterval is the time between two polls of the queues while requests
	// wait in them, and between two checks in awaitReady; idlePollInterval is the
	// time between two polls of the queues otherwise.
	pollInterval     = 10 * time.Millisecond
	idlePollInterval = 100 * time.Millisecond
	// stallThreshold is the time between two polls above which this process
	// counts as having been stalled.
	stallThreshold = time.Second
	// shutdownTimeout bounds the time in which the remaining requests of operators and
	// callers end at the end of Run.
	shutdownTimeout = time.Second
	// sweepInterval is the time between two sweeps that close idle connections,
	// probe targets and drop expired key ranges.
	sweepInterval = time.Second
)

// New returns an entry and its cleanup function. It fails if a worker pool can't
// be created.
func New(s Settings, logger log.Logger) (*Entry, func(), error) {
	workers, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, nil, fmt.Errorf("create pool of %d workers: %w", maxWorkers, err)
	}
	streams, err := ants.NewPool(maxStreams, ants.WithNonblocking(true))
	if err != nil {
		workers.Release()
		return nil, nil, fmt.Errorf("create pool of %d workers: %w", maxStreams, err)
	}
	e := &Entry{
		settings:    s,
		log:         logger,
		incarnation: pimentokey.Incarnation(rand.Uint64() | 1),
		startTime:   time.Now(),
		counters:    newCounters(),
		memory:      pimentomemory.NewBudget(s.HeldMiB << 20),
		workers:     workers,
		queueSignal: make(chan struct{}, 1),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.services.Store(&map[pimentoregister.ServiceName]*service{})
	e.keys = newKeyring(e.incarnation, newSecret(), s.Region, s.MaxLedgerBytes)
	e.keys.sendOutcome = e.reportOutcome
	e.quarantine.now = e.now
	e.linkShare.now = e.now
	e.linkShare.rate = e.linkRate
	e.peers.members.Self = s.Name
	e.peers.members.Region = s.Region
	e.peers.stateRequested = make(map[pimentokey.Incarnation]int)
	e.peers.stateRequestsLeft = stateSources
	var closePlatform func()
	e.platform, closePlatform = pimentoplatform.NewClient(s.Platform)
	e.setNodeHandlers(streams)
	e.registerGauges()
	return e, func() {
		e.cancel()
		closePlatform()
		streams.Release()
		workers.Release()
	}, nil
}

// setNodeHandlers sets the handlers for requests and messages from peers.
func (e *Entry) setNodeHandlers(streams *ants.Pool) {
	e.node.Log = e.log
	e.node.Workers = streams
	e.node.Memory = pimentomemory.NewBudget(e.memory.Limit())
	e.node.OnHeartbeat = e.onHeartbeat
	e.node.OnForward = e.serveForwarded
	e.node.OnFetchConfig = e.store.Data
	e.node.OnHandover = e.onHandover
	e.node.OnKeyOutcome = e.keys.onOutcome
}

// now returns the time since the start of the process.
func (e *Entry) now() time.Duration { return time.Since(e.startTime) }

// Run serves until stop is closed, then performs a planned stop and returns when
// the last request has ended. The error is an *Error: KindListen if an address
// can't be listened on, KindStop if requests still run after the drain time.
func (e *Entry) Run(stop <-chan struct{}) error {
	peerLn, err := e.port(e.settings.Peers).Listen(stop)
	if err != nil {
		return listenError("peers", err)
	}
	defer func() { _ = peerLn.Close() }()
	callers, err := e.port(e.settings.Callers).Listen(stop)
	if err != nil {
		return listenError("callers", err)
	}
	defer func() { _ = callers.Close() }()
	return e.serveAll(stop, callers, peerLn)
}

// port returns a port to listen on.
func (e *Entry) port(address string) pimentolisten.Port {
	return pimentolisten.Port{Address: address, Log: e.log, OnFailure: e.counters.listenFailures.Inc}
}

// listenError returns the error of Run for a failed listen, nil if a planned stop ended it.
func listenError(who string, err error) error {
	if pimentolisten.IsStopped(err) {
		return nil
	}
	return &Error{Op: "listen for " + who, Kind: KindListen, Err: err}
}

// serveAll serves on the listeners, and operators once their port is free, until the
// planned stop after stop is closed has ended, or the cleanup function of New is called.
func (e *Entry) serveAll(stop <-chan struct{}, callers, peerLn net.Listener) error {
	ctx := e.ctx
	adminServer := e.adminServer()
	callerServer := e.callerServer()
	drained := pimentohttp.NewDrainListener(callers)
	var wg sync.WaitGroup
	wg.Go(func() {
		e.port(e.settings.Admin).Serve(ctx.Done(), func(ln net.Listener) { _ = adminServer.Serve(ln) })
	})
	wg.Go(func() { e.node.Serve(ctx, peerLn) })
	wg.Go(func() { e.connWatcher.Run(ctx.Done()) })
	wg.Go(func() { e.runPeriodic(ctx) })
	go e.watchPlatform(ctx) // Not waited for: a pending watch call can't be cancelled.
	wg.Go(func() { e.awaitReady(ctx) })
	wg.Go(func() { _ = callerServer.Serve(drained) })
	_ = level.Info(e.log).Log("msg", "entry started", "name", e.settings.Name, "region", e.settings.Region,
		"domain", e.settings.Domain, "callers", callers.Addr(), "incarnation", fmt.Sprintf("%016x", e.incarnation))
	var err error
	select {
	case <-stop:
		err = e.stop(callerServer, drained)
	case <-ctx.Done():
	}
	e.cancel()
	closeCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = adminServer.ShutdownWithContext(closeCtx)
	_ = callerServer.ShutdownWithContext(closeCtx)
	wg.Wait()
	return err
}

// watchPlatform receives the configuration and the list of VMs from the platform.
func (e *Entry) watchPlatform(ctx context.Context) {
	w := &pimentoplatform.Watcher{
		Client:      e.platform,
		Name:        e.settings.Config,
		Log:         e.log,
		OnValue:     e.offerConfig,
		OnList:      e.applyVMList,
		OnFailure:   e.counters.platformFailures.Inc,
		StartSpread: e.startSpread,
	}
	w.Run(ctx)
}

// peerStateTimeout bounds the time for which a starting entry waits for the
// states of peers before it becomes ready.
const peerStateTimeout = 2 * time.Second

// awaitReady makes the health check succeed once a configuration is active, the
// list of VMs was received, and the states of stateSources peers were requested or
// peerStateTimeout has passed.
func (e *Entry) awaitReady(ctx context.Context) {
	for e.store.View().Revision == 0 || !e.listReceived.Load() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	deadline := time.Now().Add(peerStateTimeout)
	for time.Now().Before(deadline) && e.needsPeerStates() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	e.ready.Store(true)
	_ = level.Info(e.log).Log("msg", "entry ready", "revision", e.store.View().Revision)
}

// needsPeerStates reports whether the states of more peers must be requested.
func (e *Entry) needsPeerStates() bool {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return e.peers.stateRequestsLeft > 0
}

// newSecret returns a random secret for the keys of this process.
func newSecret() pimentokey.Secret {
	return pimentokey.Secret{cryptoUint64(), cryptoUint64()}
}
