package pimentogate

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// balancerTime is the time in which the balancer notices that an entry isn't
	// ready, two of its questions, and a margin.
	balancerTime = 2400 * time.Millisecond
	// runShare is the part of the grace period after which running requests are
	// broken off.
	runShare = 0.88
	// stopLook is the time between two looks at what still runs.
	stopLook = 25 * time.Millisecond
)

// stop ends as planned. The balancer learns first; new connections are taken
// until it has; what runs is ended.
func (g *Gate) stop(callers net.Listener) {
	began := time.Now()
	g.stopping.Store(true)
	f := g.fleet
	f.mu.Lock()
	f.roster.Stop()
	f.touch()
	f.mu.Unlock()
	g.noteChange("msg", "stopping", "open", g.conns.size())
	time.Sleep(balancerTime)
	_ = callers.Close()
	last := began.Add(time.Duration(runShare * float64(g.settings.GracePeriod)))
	for g.conns.size() > 0 && time.Now().Before(last) {
		for _, cc := range g.conns.all() {
			if cc.waiting.Load() == 0 {
				cc.close()
			}
		}
		time.Sleep(stopLook)
	}
	for _, cc := range g.conns.all() {
		_ = cc.Close()
	}
}

// settingsLook is the time between two looks at the settings file.
const settingsLook = 3 * time.Second

// watchSettings takes changed settings, after a signal or without one.
func (g *Gate) watchSettings(ctx context.Context, reload <-chan struct{}) {
	if g.reload == nil {
		return
	}
	t := time.NewTicker(settingsLook)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-t.C:
		}
		s, err := g.reload()
		if err != nil {
			g.note(level.WarnValue(), "msg", "changed settings ignored", "err", err)
			continue
		}
		g.seedList.Store(&s.Seeds)
		if signalled {
			g.noteChange("msg", "settings read again", "seeds", len(s.Seeds))
		}
	}
}
