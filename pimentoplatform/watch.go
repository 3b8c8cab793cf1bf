package pimentoplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pimentoarch/pimentoregister"
)

const (
	// startSpread is the time over which entries that start together spread
	// their first reads.
	startSpread = 5 * time.Second
	// minDelay and spread make the pause after a read that succeeded. Entries
	// that a change wakes together read again at different times.
	minDelay = 250 * time.Millisecond
	spread   = 2500 * time.Millisecond
	// failDelay is the pause after a first failure, which doubles up to
	// maxDelay.
	failDelay = 5 * time.Second
	maxDelay  = 8 * time.Second
)

// MaxPause is the longest time between two reads of one resource while the
// service works. What an entry knows is older by as much than what it publishes.
const MaxPause = minDelay + spread

// pacer computes the pauses between reads of one resource, so that 300 entries
// with two resources each stay below 200 reads/s. The zero value is ready to
// use.
type pacer struct {
	failures int
}

// next returns the pause after a read.
func (p *pacer) next(failed bool, random float64) time.Duration {
	if !failed {
		p.failures = 0
		return minDelay + time.Duration(random*float64(spread))
	}
	d := min(maxDelay, failDelay<<min(p.failures, 10))
	p.failures++
	return d + time.Duration(random*float64(d)/4)
}

// Watcher keeps reading the configuration and the list of VMs. Its exported
// fields are set before Run.
type Watcher struct {
	// Client reads from the platform.
	Client *Client
	// Name is the name of the configuration value.
	Name string
	// Log gets one line for each event.
	Log log.Logger
	// OnValue takes a document. Its error is logged.
	OnValue func(pimentoregister.Revision, []byte) error
	// OnList takes a list of VMs.
	OnList func(VMList)
	// StartSpread is the time over which the first reads are spread. 0 means 5 s.
	StartSpread time.Duration
	// OnFailure counts failed reads. It may be nil.
	OnFailure func()
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.StartSpread == 0 {
		w.StartSpread = startSpread
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.repeat(ctx, "list", w.list())
	}()
	w.repeat(ctx, "value", w.value())
	<-done
}

// repeat calls read again and again, with pauses that grow while it fails.
func (w *Watcher) repeat(ctx context.Context, what string, read func() error) {
	var p pacer
	sleep(ctx, time.Duration(rand.Float64()*float64(w.StartSpread)))
	for ctx.Err() == nil {
		err := read()
		if err != nil {
			_ = level.Warn(w.Log).Log("msg", "platform read failed", "what", what, "err", err)
			if w.OnFailure != nil {
				w.OnFailure()
			}
		}
		sleep(ctx, p.next(err != nil, rand.Float64()))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Watcher) value() func() error {
	var seen Revision
	cache := make(partCache)
	return func() error {
		rev, data, err := w.Client.Value(w.Name, seen)
		if err != nil || rev == 0 {
			return err
		}
		seen = rev
		if parts := pimentoregister.ParseManifest(data); parts != nil {
			data, err = w.parts(parts, cache)
			if err != nil {
				seen = 0
				return err
			}
		}
		return w.OnValue(pimentoregister.Revision(rev), data)
	}
}

// partCache holds the parts of the last document by checksum, so that a change
// to one part doesn't read the others again.
type partCache map[string][]byte

// parts returns the document whose parts a manifest names. Parts that the cache
// doesn't have are read.
func (w *Watcher) parts(parts []pimentoregister.Part, cache partCache) ([]byte, error) {
	values := make([][]byte, len(parts))
	for i, p := range parts {
		data, known := cache[p.Sum]
		if !known {
			var err error
			if data, err = w.Client.CurrentValue(p.Name); err != nil {
				return nil, err
			}
		}
		values[i] = data
	}
	joined, err := pimentoregister.Join(parts, values)
	if err != nil {
		return nil, err
	}
	clear(cache)
	for i, p := range parts {
		cache[p.Sum] = values[i]
	}
	return joined, nil
}

func (w *Watcher) list() func() error {
	var seen Revision
	return func() error {
		list, err := w.Client.VMs(seen)
		if err != nil || list.Revision == 0 {
			return err
		}
		seen = list.Revision
		w.OnList(list)
		return nil
	}
}
