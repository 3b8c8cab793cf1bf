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
	// minDelay is the least time between two reads of one resource.
	minDelay = 250 * time.Millisecond
	// maxDelay is the longest time between two reads after failures.
	maxDelay = 8 * time.Second
)

// backoff computes the pauses between reads. The zero value is ready to use.
type backoff struct {
	failures int
}

// next returns the pause after a read: half of it is fixed, half is jitter.
func (b *backoff) next(failed bool, random func() float64) time.Duration {
	if !failed {
		b.failures = 0
		return minDelay
	}
	d := min(maxDelay, minDelay<<min(b.failures, 10))
	b.failures++
	return d/2 + time.Duration(random()*float64(d/2)) + minDelay/2
}

// Watch keeps reading the configuration and the list of VMs. Its exported
// fields are set before Run.
type Watch struct {
	// Client reads from the platform.
	Client *Client
	// Name is the name of the configuration value.
	Name string
	// Log gets one line for each event.
	Log log.Logger
	// OnValue takes a document. Its error is logged.
	OnValue func(pimentoregister.Revision, []byte) error
	// OnList takes a list of VMs.
	OnList func(List)
	// OnFailure counts failed reads. It may be nil.
	OnFailure func()
}

// Run reads until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.repeat(ctx, "list", w.list())
	}()
	w.repeat(ctx, "value", w.value())
	<-done
}

// repeat calls read again and again, with pauses that grow while it fails.
func (w *Watch) repeat(ctx context.Context, what string, read func() error) {
	var b backoff
	for ctx.Err() == nil {
		err := read()
		if err != nil {
			_ = level.Warn(w.Log).Log("msg", "platform read failed", "what", what, "err", err)
			if w.OnFailure != nil {
				w.OnFailure()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(b.next(err != nil, rand.Float64)):
		}
	}
}

func (w *Watch) value() func() error {
	var seen Revision
	return func() error {
		rev, data, err := w.Client.Value(w.Name, seen)
		if err != nil || rev == 0 {
			return err
		}
		seen = rev
		if parts := pimentoregister.Manifest(data); parts != nil {
			data, err = w.parts(parts)
			if err != nil {
				seen = 0
				return err
			}
		}
		return w.OnValue(pimentoregister.Revision(rev), data)
	}
}

// parts reads the parts that a manifest names.
func (w *Watch) parts(parts []pimentoregister.Part) ([]byte, error) {
	values := make([][]byte, len(parts))
	for i, p := range parts {
		data, err := w.Client.Part(p.Name)
		if err != nil {
			return nil, err
		}
		values[i] = data
	}
	return pimentoregister.Join(parts, values)
}

func (w *Watch) list() func() error {
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
