package pimentoplatform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"pimentoarch/pimentofeed"
)

// An entry that begins to read while nothing changes knows within a moment that its items
// are current, and doesn't wait for the end of a whole watch.
func TestFirstWatchConfirmsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 100 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var confirmed []time.Duration
		reads := func() bool {
			s := time.Since(start)
			return s >= time.Second && s < 6*time.Second || s >= 10*time.Second
		}
		f := &Follower{
			Source: Source{Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
				time.Sleep(wait)
				return pimentofeed.Update{From: after, AsOf: after}, nil
			}},
			Log:        log.NewNopLogger(),
			ShouldRead: reads,
			At:         func() pimentofeed.Point { return pimentofeed.Point{Revision: 7} },
			OnUpdate:   func(pimentofeed.Update) {},
			OnReading: func(works bool) {
				if works {
					confirmed = append(confirmed, time.Since(start))
				}
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(11 * time.Second)
		cancel()
		<-done
		is.True(confirmed[0] <= time.Second+limit)
		again := 0
		for _, at := range confirmed {
			if at >= 10*time.Second && at <= 10*time.Second+limit+pollInterval {
				again++
			}
		}
		is.Equal(again, 1)
		is.True(len(confirmed) < 8) // Later watches wait for WatchWait.
	})
}

// After a read with changes a watch waits less by the pause that follows it, so that its
// answer comes no later than usual.
func TestWatchAfterChangesIsShorter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var answers []time.Time
		f := &Follower{
			Source: Source{Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
				if len(answers) == 1 { // The second watch returns a change at once.
					return pimentofeed.Update{From: after, AsOf: after, Items: []pimentofeed.Item{{Key: "a", Revision: after}}}, nil
				}
				time.Sleep(wait)
				return pimentofeed.Update{From: after, AsOf: after}, nil
			}},
			Log:        log.NewNopLogger(),
			ShouldRead: func() bool { return true },
			At:         func() pimentofeed.Point { return pimentofeed.Point{Revision: 7} },
			OnUpdate:   func(pimentofeed.Update) {},
			OnReading:  func(bool) { answers = append(answers, time.Now()) },
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(6 * time.Second)
		cancel()
		<-done
		is.Equal(answers[2].Sub(answers[1]), WatchWait)
		is.Equal(answers[3].Sub(answers[2]), WatchWait)
	})
}

// A replica that lags, or a store that came back from a copy without stating an era, answers
// each watch with status 410. All items are then read again with pauses between the reads, and
// without one once a watch has succeeded.
func TestRepeatedCompactionIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var reads []time.Duration
		f := &Follower{
			Source: Source{
				Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
					time.Sleep(time.Millisecond)
					if s := time.Since(start); s > 20*time.Second && s < 25*time.Second {
						time.Sleep(wait)
						return pimentofeed.Update{From: after, AsOf: after}, nil
					}
					return pimentofeed.Update{}, &Error{Op: "watch", Kind: KindCompacted}
				},
				Read: func(bool) (pimentofeed.Update, error) {
					time.Sleep(time.Millisecond)
					reads = append(reads, time.Since(start))
					return pimentofeed.Update{Full: true, AsOf: 7}, nil
				},
			},
			Log:        log.NewNopLogger(),
			ShouldRead: func() bool { return true },
			At:         func() pimentofeed.Point { return pimentofeed.Point{Revision: 7} },
			OnUpdate:   func(pimentofeed.Update) {},
			OnReading:  func(bool) {},
			OnFailure:  func(error) {},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(30 * time.Second)
		cancel()
		<-done
		is.True(reads[0] < 10*time.Millisecond)
		is.True(len(reads) < 50)
	})
}

// A failure is reported with its error, and an entry that decides not to read reports none.
func TestFailureIsReportedWithItsError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		away := &Error{Op: "read", Kind: KindUnreachable}
		var failures []error
		f := &Follower{
			Source:     Source{Read: func(bool) (pimentofeed.Update, error) { return pimentofeed.Update{}, away }},
			Log:        log.NewNopLogger(),
			ShouldRead: func() bool { return len(failures) == 0 },
			At:         func() pimentofeed.Point { return pimentofeed.Point{} },
			OnReading:  func(bool) {},
			OnFailure:  func(err error) { failures = append(failures, err) },
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		is.Equal(failures, []error{away})
	})
}

// Where it is stated when the items were current, the first read isn't a stale one, an answer
// without changes counts as of its end, and however changes come the items are never much
// longer unconfirmed than a watch waits.
func TestCurrentAtIsKeptYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const roundTrip = 40 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		since := func() time.Duration { return time.Since(start) }
		changes := []time.Duration{1900 * time.Millisecond, 4 * time.Second, 4100 * time.Millisecond, 7 * time.Second, 8900 * time.Millisecond}
		var asOf pimentofeed.Revision
		revisionAt := func(at time.Duration) pimentofeed.Revision {
			rev := pimentofeed.Revision(7)
			for _, c := range changes {
				if c <= at {
					rev++
				}
			}
			return rev
		}
		calls, at, oldest := 0, time.Duration(0), time.Duration(0)
		f := &Follower{
			Source: Source{
				Read: func(stale bool) (pimentofeed.Update, error) {
					is.True(!stale)
					calls++
					time.Sleep(roundTrip)
					return pimentofeed.Update{Full: true, AsOf: revisionAt(since())}, nil
				},
				Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
					calls++
					time.Sleep(roundTrip / 2)
					for end := since() + wait; since() < end && revisionAt(since()) == after; {
						time.Sleep(time.Millisecond)
					}
					u := pimentofeed.Update{From: after, AsOf: revisionAt(since())}
					if u.AsOf > after {
						u.Items = []pimentofeed.Item{{Key: "a", Revision: u.AsOf}}
					}
					time.Sleep(roundTrip / 2)
					return u, nil
				},
			},
			Log:        log.NewNopLogger(),
			ShouldRead: func() bool { return true },
			At:         func() pimentofeed.Point { return pimentofeed.Point{Revision: asOf} },
			OnUpdate:   func(u pimentofeed.Update) { asOf = u.AsOf },
			OnReading:  func(bool) {},
			Now:        since,
			MaxWait:    func() time.Duration { return WatchWait },
			OnCurrent: func(point pimentofeed.Point, current time.Duration) {
				is.True(point.Revision >= revisionAt(current)) // It isn't claimed of a time at which there was more.
				oldest = max(oldest, since()-at)
				at = current
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(12 * time.Second)
		cancel()
		<-done
		t.Logf("%d calls, oldest %v", calls, oldest)
		is.True(oldest <= WatchWait+batchPause+firstWatchWait+2*roundTrip)
		is.True(calls <= 16)
	})
}

// A read that may be stale confirmed the items, and the first watch after it waited as if it had
// shown that nothing newer exists.
func TestStaleReadConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var asOf pimentofeed.Revision
		var confirmed []pimentofeed.Revision
		var waits []time.Duration
		f := &Follower{
			Source: Source{
				Read: func(stale bool) (pimentofeed.Update, error) {
					is.True(stale) // Nothing is bounded yet.
					return pimentofeed.Update{Full: true, AsOf: 5}, nil
				},
				Watch: func(after pimentofeed.Revision, wait time.Duration) (pimentofeed.Update, error) {
					waits = append(waits, wait)
					time.Sleep(wait)
					return pimentofeed.Update{From: after, AsOf: after}, nil
				},
			},
			Log:        log.NewNopLogger(),
			ShouldRead: func() bool { return true },
			At:         func() pimentofeed.Point { return pimentofeed.Point{Revision: asOf} },
			OnUpdate:   func(u pimentofeed.Update) { asOf = u.AsOf },
			OnReading:  func(bool) {},
			Now:        func() time.Duration { return time.Second },
			OnCurrent: func(point pimentofeed.Point, _ time.Duration) {
				confirmed = append(confirmed, point.Revision)
				is.Equal(len(confirmed), len(waits))
			},
			MaxWait: func() time.Duration {
				if asOf == 0 {
					return 0
				}
				return time.Second
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		is.Equal(waits[0], firstWatchWait)
		is.Equal(waits[1], time.Second)
	})
}

// After a store had held all watches for a second and cut them, followers waited for most of the
// rest of the bound before they asked again.
func TestFirstRetryIsSoonWhileBounded(t *testing.T) {
	for name, bound := range map[string]time.Duration{"bounded": time.Second, "unbounded": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &Follower{
				Log:       log.NewNopLogger(),
				OnReading: func(bool) {},
				OnFailure: func(error) {},
				MaxWait:   func() time.Duration { return bound },
			}
			cut := &Error{Op: "watch", Kind: KindUnreachable}
			first, second := f.handleError(7, cut), f.handleError(7, cut)
			is.Equal(first < minRetryPause, bound > 0)
			is.True(first >= boundedRetryPause)
			is.True(second >= 2*minRetryPause) // A source that stays away isn't asked more often.
		})
	}
}
