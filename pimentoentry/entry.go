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
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Entry is the process on one entry VM.
type Entry struct {
	settings    Settings
	log         log.Logger
	incarnation pimentokey.Incarnation
	origin      time.Time
	counters    *counters

	store      pimentoregister.Store
	services   atomic.Pointer[map[pimentoregister.ServiceName]*service]
	keys       *keyring
	peers      peers
	quarantine quarantine
	client     pimentohttp.Client
	watch      pimentohttp.ConnWatcher
	link       linkShare
	node       pimentolink.Node
	platform   *pimentoplatform.Client
	workers    *ants.Pool

	configMu sync.Mutex // Held while a document or a list of VMs is put in force. Taken before all others.
	listMu   sync.Mutex // Guards the fields below. No other lock is taken under it.
	entries  []pimentotarget.EntryName
	leaving  map[pimentoregister.VMName]bool
	listAt   time.Duration

	startSpread time.Duration   // See pimentoplatform.Watch; 0 means its default.
	queued      chan struct{}   // Takes a token when a request begins to wait.
	ctx         context.Context // Ends when the process ends.
	cancel      context.CancelFunc
	fetching    atomic.Bool
	forgotAt    atomic.Int64 // When all idle connections were closed, see silent.
	ready       atomic.Bool
	listSeen    atomic.Bool  // A list of VMs was read.
	stopping    atomic.Bool  // A planned stop has begun.
	closing     atomic.Bool  // No new requests are taken.
	running     atomic.Int64 // Requests that are being served.
}

const (
	// maxHedges bounds the hedges that run at a time.
	maxHedges = 4096
	// maxStreams bounds the requests of peers that run at a time.
	maxStreams = 8192
	// tick is the time between two looks at waiting requests, and idleTick the
	// time between two looks at the clock while none wait.
	tick     = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
	// pauseLimit is the time between two ticks from which this process counts
	// as having been paused.
	pauseLimit = time.Second
	// adminClose bounds the time to end operators' requests.
	adminClose = time.Second
	// idleSweep is the time between two searches for idle connections.
	idleSweep = time.Second
)

// New returns an entry, and its clean-up function.
func New(s Settings, logger log.Logger) (*Entry, func(), error) {
	workers, err := ants.NewPool(maxHedges, ants.WithNonblocking(true))
	if err != nil {
		return nil, nil, fmt.Errorf("create pool of %d workers: %w", maxHedges, err)
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
		origin:      time.Now(),
		counters:    newCounters(),
		workers:     workers,
		queued:      make(chan struct{}, 1),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.services.Store(&map[pimentoregister.ServiceName]*service{})
	e.keys = newKeyring(e.incarnation, newSecret(), s.Region, s.MaxResponseBytes)
	e.keys.lessons = e.teach
	e.quarantine.now = e.now
	e.link.now = e.now
	e.link.rate = e.linkRate
	e.peers.members.Self = s.Name
	e.peers.members.Region = s.Region
	e.peers.asked = make(map[pimentokey.Incarnation]int)
	e.peers.wantAll = stateSources
	var closePlatform func()
	e.platform, closePlatform = pimentoplatform.NewClient(s.Platform)
	e.connect(streams)
	e.gauges()
	return e, func() {
		e.cancel()
		closePlatform()
		streams.Release()
		workers.Release()
	}, nil
}

// connect sets the handlers of the links to peers.
func (e *Entry) connect(streams *ants.Pool) {
	e.node.Log = e.log
	e.node.Workers = streams
	e.node.OnHeartbeat = e.onHeartbeat
	e.node.OnForward = e.serveForwarded
	e.node.OnFetchConfig = e.store.Data
	e.node.OnHandover = e.onHandover
	e.node.OnKeyOutcome = e.keys.learn
}

// now is the time since the process has started.
func (e *Entry) now() time.Duration { return time.Since(e.origin) }

// Run serves until stop is closed, and then stops as planned. It returns when
// the last request has ended.
func (e *Entry) Run(stop <-chan struct{}) error {
	callers, err := net.Listen("tcp", e.settings.Callers)
	if err != nil {
		return &Error{Op: "listen for callers", Kind: KindListen, Err: err}
	}
	defer func() { _ = callers.Close() }()
	peerLn, err := net.Listen("tcp", e.settings.Peers)
	if err != nil {
		return &Error{Op: "listen for peers", Kind: KindListen, Err: err}
	}
	defer func() { _ = peerLn.Close() }()
	admin, err := net.Listen("tcp", e.settings.Admin)
	if err != nil {
		return &Error{Op: "listen for operators", Kind: KindListen, Err: err}
	}
	defer func() { _ = admin.Close() }()
	return e.serveAll(stop, callers, peerLn, admin)
}

func (e *Entry) serveAll(stop <-chan struct{}, callers, peerLn, admin net.Listener) error {
	ctx := e.ctx
	adminServer := e.adminServer()
	callerServer := e.callerServer()
	var wg sync.WaitGroup
	wg.Go(func() { _ = adminServer.Serve(admin) })
	wg.Go(func() { e.node.Serve(ctx, peerLn) })
	wg.Go(func() { e.watch.Run(ctx.Done()) })
	wg.Go(func() { e.ticks(ctx) })
	go e.watchPlatform(ctx) // Not waited for: a waiting watch can't be cut short.
	wg.Go(func() { e.awaitReady(ctx) })
	wg.Go(func() { _ = callerServer.Serve(callers) })
	_ = level.Info(e.log).Log("msg", "entry started", "name", e.settings.Name, "region", e.settings.Region,
		"domain", e.settings.Domain, "callers", callers.Addr(), "incarnation", fmt.Sprintf("%016x", e.incarnation))
	var err error
	select {
	case <-stop:
		err = e.stop(callerServer)
	case <-ctx.Done():
	}
	e.cancel()
	closeCtx, cancel := context.WithTimeout(context.Background(), adminClose)
	defer cancel()
	_ = adminServer.ShutdownWithContext(closeCtx)
	_ = callerServer.ShutdownWithContext(closeCtx)
	wg.Wait()
	return err
}

func (e *Entry) watchPlatform(ctx context.Context) {
	w := &pimentoplatform.Watcher{
		Client:      e.platform,
		Name:        e.settings.Config,
		Log:         e.log,
		OnValue:     e.offer,
		OnList:      e.takeList,
		OnFailure:   e.counters.platform.Inc,
		StartSpread: e.startSpread,
	}
	w.Run(ctx)
}

// bootWait is the time for which a new entry waits for peers' states before it
// serves.
const bootWait = 2 * time.Second

// awaitReady lets health turn good once a configuration is in force, the list
// of VMs was read, and the peers have told their states or had the time to.
func (e *Entry) awaitReady(ctx context.Context) {
	for e.store.View().Revision == 0 || !e.listSeen.Load() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tick):
		}
	}
	deadline := time.Now().Add(bootWait)
	for time.Now().Before(deadline) && e.asksPeers() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(tick):
		}
	}
	e.ready.Store(true)
	_ = level.Info(e.log).Log("msg", "entry ready", "revision", e.store.View().Revision)
}

// asksPeers reports whether more peers are to be asked for their states.
func (e *Entry) asksPeers() bool {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	return e.peers.wantAll > 0
}

func newSecret() pimentokey.Secret {
	return pimentokey.Secret{cryptoUint64(), cryptoUint64()}
}
