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
	// defaultStartSpread is the time over which the first reads of entries that start
	// together are spread.
	defaultStartSpread = 5 * time.Second
	// minReadPause is the shortest pause after a successful read. A random part of
	// readPauseSpread is added, so that entries whose reads a change completes at the
	// same time read again at different times.
	minReadPause    = 250 * time.Millisecond
	readPauseSpread = 2500 * time.Millisecond
	// minFailPause is the shortest pause after a first failure. It doubles with each
	// further one up to maxFailPause; up to a quarter is added at random.
	minFailPause = 5 * time.Second
	maxFailPause = 8 * time.Second
)

// MaxPause is the longest pause between two reads of a resource while the service
// works. The state known to an entry lags behind the published one by up to this time.
const MaxPause = minReadPause + readPauseSpread

// pacer computes the pauses between reads of a resource, so that 300 entries with two
// resources each stay below 200 reads/s. The zero value is ready to use.
type pacer struct {
	failures int
}

// nextPause returns the pause after a read. random is in [0, 1).
func (p *pacer) nextPause(failed bool, random float64) time.Duration {
	if !failed {
		p.failures = 0
		return minReadPause + time.Duration(random*float64(readPauseSpread))
	}
	d := min(maxFailPause, minFailPause<<min(p.failures, 10))
	p.failures++
	return d + time.Duration(random*float64(d)/4)
}

// Watcher reads the configuration and the list of VMs whenever they change. Its
// exported fields are set before Run.
type Watcher struct {
	// Client reads from the platform.
	Client *Client
	// Name is the name of the configuration value.
	Name string
	// Log receives a line for each failed read.
	Log log.Logger
	// OnValue is called with each document. Its error counts as a failed read.
	OnValue func(pimentoregister.Revision, []byte) error
	// OnList is called with each list of VMs.
	OnList func(VMList)
	// StartSpread is the time over which the first reads are spread. 0 means 5 s.
	StartSpread time.Duration
	// OnFailure is called after each failed read. It may be nil.
	OnFailure func()
}

// Run reads until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.StartSpread == 0 {
		w.StartSpread = defaultStartSpread
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.readLoop(ctx, "list", w.listReader())
	}()
	w.readLoop(ctx, "value", w.valueReader())
	<-done
}

// readLoop calls read until ctx ends, with pauses that grow while it fails.
func (w *Watcher) readLoop(ctx context.Context, what string, read func() error) {
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
		sleep(ctx, p.nextPause(err != nil, rand.Float64()))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// valueReader returns a function that waits for the next configuration and passes it
// to OnValue. If the value is a manifest, the function reads the document's parts. If
// that fails, its next call reads the value again without waiting.
func (w *Watcher) valueReader() func() error {
	var seen Revision
	cache := make(partCache)
	return func() error {
		rev, data, err := w.Client.Value(w.Name, seen)
		if err != nil || rev == 0 {
			return err
		}
		seen = rev
		if parts := pimentoregister.ParseManifest(data); parts != nil {
			data, err = w.assemble(parts, cache)
			if err != nil {
				seen = 0
				return err
			}
		}
		return w.OnValue(pimentoregister.Revision(rev), data)
	}
}

// partCache holds the parts of the last document by checksum, so that only changed
// parts are read again.
type partCache map[string][]byte

// assemble returns the document that consists of the parts of a manifest. It reads the
// parts that aren't in the cache.
func (w *Watcher) assemble(parts []pimentoregister.Part, cache partCache) ([]byte, error) {
	values := make([][]byte, len(parts))
	for i, p := range parts {
		data, ok := cache[p.Sum]
		if !ok {
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

// listReader returns a function that waits for the next list of VMs and passes it to
// OnList.
func (w *Watcher) listReader() func() error {
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
