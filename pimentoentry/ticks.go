package pimentoentry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// ticks does what is due with time.
func (e *Entry) ticks(ctx context.Context) {
	last := e.now()
	sweep := last
	waiting := false
	for {
		pause := idleTick
		if waiting {
			pause = tick
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-e.queued:
		}
		now := e.now()
		if now-last > pauseLimit {
			e.paused(now, now-last)
		}
		last = now
		waiting = false
		for _, s := range e.allServices() {
			waiting = s.poll(now) || waiting
		}
		if now-sweep >= idleSweep {
			sweep = now
			e.suspect(now, e.client.Prune(time.Now()))
			e.probe(now)
			e.keys.expire(now)
		}
	}
}

// noteQueued lets ticks look at waiting requests soon.
func (e *Entry) noteQueued() {
	select {
	case e.queued <- struct{}{}:
	default:
	}
}

// paused counts what this process knew before a pause as old.
func (e *Entry) paused(now, pause time.Duration) {
	e.counters.pauses.Inc()
	_ = level.Warn(e.log).Log("msg", "this process was paused", "pause", pause)
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.ResetToCold(now)
		s.mu.Unlock()
	}
	e.peers.mu.Lock()
	e.peers.wantAll = stateSources
	clear(e.peers.asked)
	e.peers.mu.Unlock()
	e.hurry()
}
