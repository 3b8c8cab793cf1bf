package pimentoentry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// runPeriodic polls the queues and runs the periodic sweeps until ctx ends, and
// detects stalls of the process.
func (e *Entry) runPeriodic(ctx context.Context) {
	last := e.now()
	sweep := last
	waiting := false
	for {
		interval := idlePollInterval
		if waiting {
			interval = pollInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		case <-e.queueSignal:
		}
		now := e.now()
		if now-last > stallThreshold {
			e.onStall(now, now-last)
		}
		last = now
		waiting = false
		for _, s := range e.allServices() {
			waiting = s.pollQueue(now) || waiting
		}
		if now-sweep >= sweepInterval {
			sweep = now
			e.markRestarted(now, e.client.Prune(time.Now()))
			e.probeTargets(now)
			e.keys.expire(now)
		}
	}
}

// signalQueued makes runPeriodic poll the queues soon.
func (e *Entry) signalQueued() {
	select {
	case e.queueSignal <- struct{}{}:
	default:
	}
}

// onStall handles a stall of the process: the state known to this entry is stale, so it
// resets warm targets to cold and requests the states of peers again.
func (e *Entry) onStall(now, stall time.Duration) {
	e.counters.stalls.Inc()
	_ = level.Warn(e.log).Log("msg", "process was stalled", "pause", stall)
	for _, s := range e.allServices() {
		s.mu.Lock()
		s.table.ResetToCold(now)
		s.mu.Unlock()
	}
	e.peers.mu.Lock()
	e.peers.stateRequestsLeft = stateSources
	clear(e.peers.stateRequested)
	e.peers.mu.Unlock()
	e.wakeHeartbeats()
}
