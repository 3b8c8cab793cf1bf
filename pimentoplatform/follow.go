package pimentoplatform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"pimentoarch/pimentofeed"
)

// Source is a service that publishes items with a common revision counter. A Follower
// reads it.
type Source struct {
	// Read returns all items. stale allows a cheaper response that may be some seconds
	// old.
	Read func(stale bool) (pimentofeed.Update, error)
	// Watch waits up to wait for changes after a revision. Its error is of
	// KindCompacted if they are no longer kept, and of KindTooLarge if they are more
	// than a response may have.
	Watch func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error)
}

const (
	// WatchWait is the time after a read within which a watch returns: the time for which
	// it waits, with the pause before it. A watch whose connection is silent fails soon
	// after it.
	WatchWait = 2 * time.Second
	// retryWatchWait is the time for which a watch after a failure waits. It is short,
	// so that the recovery of the source is detected soon.
	retryWatchWait = 200 * time.Millisecond
	// firstWatchWait is the time for which the first watch after ShouldRead returned false
	// waits. Its response shows other entries soon that this one reads now.
	firstWatchWait = 50 * time.Millisecond
	// batchPause is the pause after changes, so that one read returns several changes
	// in quick succession.
	batchPause = 300 * time.Millisecond
	// minRetryPause is a Follower's shortest pause after a first failure. It doubles
	// with each further one up to maxRetryPause; up to half is added at random.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = 1000 * time.Millisecond
	// boundedRetryPause and a random part of boundedRetryJitter take the place of a first
	// minRetryPause while the age of the items is bounded: a source that has cut its watches
	// may answer at once, and by then most of the time may be over.
	boundedRetryPause  = 40 * time.Millisecond
	boundedRetryJitter = 160 * time.Millisecond
)

// Follower reads a Source while ShouldRead returns true. Its exported fields are set
// before Run.
type Follower struct {
	// Source is the source to read.
	Source Source
	// Log receives a line at the first of consecutive failures, when reading works
	// again, and when the source has compacted its history or the changes are too large.
	Log log.Logger
	// ShouldRead returns whether to read now.
	ShouldRead func() bool
	// At returns the point up to which the state that was built from the updates is
	// complete, the zero value before the first update.
	At func() pimentofeed.Point
	// OnUpdate is called with the result of each read.
	OnUpdate func(pimentofeed.Update)
	// OnReading is called with true after each successful read, and with false after a
	// failure or while ShouldRead returns false. A watch's error of KindCompacted or
	// KindTooLarge isn't a failure: all items are read instead, at once if a watch has
	// succeeded since the last time.
	OnReading func(bool)
	// OnFailure is called with the error of each failure of a read.
	OnFailure func(error)
	// OnCurrent, if set, is called after the OnUpdate of a response that wasn't allowed to be
	// stale: at a time of Now, the source was not past the point. Now must be set too.
	OnCurrent func(point pimentofeed.Point, at time.Duration)
	// Now returns the time by a clock that counts suspension.
	Now func() time.Duration
	// MaxWait, if set, returns the longest time for which a watch may wait while the age of
	// the items is bounded, and 0 while it isn't. While it is, the first read isn't allowed to
	// be stale.
	MaxWait func() time.Duration

	failures int  // Since the last success.
	watching bool // A read that wasn't allowed to be stale has succeeded since ShouldRead last returned false.
	batching bool // The last read returned changes, and batchPause followed.
	readAll  bool // All items must be read again, and not stale.
	rereads  int  // Times since the last successful watch that readAll was set.
	// currentAt is the last argument of OnCurrent.
	currentAt time.Duration
}

// pollInterval is the time between two calls of ShouldRead while it returns false.
const pollInterval = 100 * time.Millisecond

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ShouldRead() {
			f.OnReading(false)
			f.watching = false
			sleep(ctx, pollInterval)
			continue
		}
		sleep(ctx, f.readOnce())
	}
}

// readOnce reads once and returns the pause until the next read.
func (f *Follower) readOnce() time.Duration {
	at := f.At()
	after := at.Revision
	asked, wait := f.now(), time.Duration(0)
	var u pimentofeed.Update
	var err error
	stale := after == 0 && !f.readAll && f.maxWait() == 0
	if after == 0 || f.readAll {
		u, err = f.Source.Read(stale)
	} else {
		wait = f.nextWait(asked)
		u, err = f.Source.Watch(after, wait)
	}
	if err == nil {
		err = checkEra(at, &u)
	}
	if err != nil {
		return f.handleError(after, err)
	}
	f.readAll = false
	f.watching = !stale // A short watch shows whether the items are current.
	if f.failures > 0 {
		_ = level.Info(f.Log).Log("msg", "platform regained", "failures", f.failures, "revision", u.AsOf)
		f.failures = 0
	}
	if !u.Full {
		f.rereads = 0
	}
	f.OnUpdate(u)
	if f.OnCurrent != nil && !stale {
		f.currentAt = pimentofeed.CurrentAt(&u, asked, f.now(), wait)
		f.OnCurrent(pimentofeed.Point{Era: u.Era, Revision: u.AsOf}, f.currentAt)
	}
	f.OnReading(true)
	f.batching = !u.Full && len(u.Items) > 0
	if f.batching {
		return batchPause
	}
	return 0
}

// now returns what Now does, 0 without it.
func (f *Follower) now() time.Duration {
	if f.Now == nil {
		return 0
	}
	return f.Now()
}

// maxWait returns what MaxWait does, 0 without it.
func (f *Follower) maxWait() time.Duration {
	if f.MaxWait == nil {
		return 0
	}
	return f.MaxWait()
}

// nextWait returns the time for which the next watch waits.
func (f *Follower) nextWait(now time.Duration) time.Duration {
	bound := f.maxWait()
	usual := WatchWait
	if bound > 0 {
		usual = min(usual, bound)
	}
	switch {
	case f.failures > 0:
		return min(usual, retryWatchWait)
	case !f.watching:
		return min(usual, firstWatchWait)
	case f.batching && bound > 0:
		// Changes only show that the items were current when they were asked for.
		return max(firstWatchWait, min(usual-batchPause, usual-(now-f.currentAt)))
	case f.batching:
		return max(firstWatchWait, usual-batchPause)
	}
	return usual
}

// checkEra returns an error if an update doesn't continue a state: it is of an earlier era, or
// has only the changes since a revision of another one.
func checkEra(at pimentofeed.Point, u *pimentofeed.Update) error {
	if u.Era == at.Era || at.Revision == 0 || u.Full && u.Era > at.Era {
		return nil
	}
	return &Error{Op: "follow", Kind: KindRestored, Err: fmt.Errorf("the state is of era %d, the response of era %d", at.Era, u.Era)}
}

// handleError handles a failed read, and returns the pause until the next one.
func (f *Follower) handleError(after pimentofeed.Revision, err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && !f.readAll && (e.Kind == KindCompacted || e.Kind == KindTooLarge || e.Kind == KindRestored) {
		_ = level.Info(f.Log).Log("msg", "reading all items", "after", after, "err", err)
		f.readAll = true
		f.rereads++
		if f.rereads == 1 {
			return 0
		}
		return retryPause(f.rereads - 2) // The last read of all items didn't help.
	}
	f.OnReading(false)
	f.OnFailure(err)
	if f.failures == 0 {
		_ = level.Warn(f.Log).Log("msg", "platform lost", "after", after, "err", err)
	}
	pause := retryPause(f.failures)
	if f.failures == 0 && f.maxWait() > 0 {
		pause = boundedRetryPause + time.Duration(rand.Float64()*float64(boundedRetryJitter))
	}
	f.failures++
	return pause
}

// retryPause returns the pause after a number of earlier failures.
func retryPause(failures int) time.Duration {
	pause := min(maxRetryPause, minRetryPause<<min(failures, 8))
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}
