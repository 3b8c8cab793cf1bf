package pimentoplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
)

// Source is a service that publishes items with one revision counter. It is
// read by Follow.
type Source struct {
	// Read returns all items. stale allows a cheaper answer that may be some
	// seconds old.
	Read func(stale bool) (pimentofeed.Update, error)
	// Watch waits up to a time for changes after a revision. Its error has
	// KindCompacted if they are no longer kept.
	Watch func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error)
}

const (
	// WatchWait is the time for which one watch waits. A watch that has gone
	// silent is noticed soon after it.
	WatchWait = 2 * time.Second
	// retryWait is the time for which a watch waits after a failure, so that a
	// source that is back is noticed soon.
	retryWait = 200 * time.Millisecond
	// batchPause is the pause after changes, so that changes in quick
	// succession are one read.
	batchPause = 300 * time.Millisecond
	// retryPause is the pause after a first failure, which doubles up to
	// maxRetryPause.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = 1000 * time.Millisecond
)

// Follower reads a Source as long as it is asked to. Its exported fields are set
// before Run.
type Follower struct {
	// Source is read.
	Source Source
	// Log gets a line when the source is lost and regained.
	Log log.Logger
	// ShouldRead reports whether to read now.
	ShouldRead func() bool
	// AsOf returns the revision up to which the state is complete.
	AsOf func() pimentofeed.Revision
	// OnUpdate takes what was read.
	OnUpdate func(pimentofeed.Update)
	// OnReading is told when reading begins to work and when it ends.
	OnReading func(bool)
	// OnFailure counts failed reads.
	OnFailure func()

	failures  int
	compacted bool
}

// pollPause is the time between two looks at Wanted.
const pollPause = 100 * time.Millisecond

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ShouldRead() {
			f.OnReading(false)
			sleep(ctx, pollPause)
			continue
		}
		sleep(ctx, f.step())
	}
}

// step reads once and returns the pause until the next read.
func (f *Follower) step() time.Duration {
	after := f.AsOf()
	var u pimentofeed.Update
	var err error
	if after == 0 || f.compacted {
		u, err = f.Source.Read(!f.compacted)
	} else {
		wait := WatchWait
		if f.failures > 0 {
			wait = retryWait
		}
		u, err = f.Source.Watch(after, wait)
	}
	if err != nil {
		return f.failed(after, err)
	}
	f.compacted = false
	if f.failures > 0 {
		_ = level.Info(f.Log).Log("msg", "platform regained", "failures", f.failures, "revision", u.AsOf)
		f.failures = 0
	}
	f.OnUpdate(u)
	f.OnReading(true)
	if !u.Full && len(u.Items) > 0 {
		return batchPause
	}
	return 0
}

func (f *Follower) failed(after pimentofeed.Revision, err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindCompacted {
		_ = level.Info(f.Log).Log("msg", "platform dropped its history, reading everything", "after", after)
		f.compacted = true
		return 0
	}
	f.OnReading(false)
	f.OnFailure()
	if f.failures == 0 {
		_ = level.Warn(f.Log).Log("msg", "platform lost", "after", after, "err", err)
	}
	pause := min(maxRetryPause, retryPause<<min(f.failures, 8))
	f.failures++
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}
