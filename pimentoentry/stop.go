package pimentoentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

const (
	// handoverAnswers bounds in bytes the kept answers that are handed over.
	handoverAnswers = 8 << 20
	// handoverAttempts bounds the attempts to hand over to one successor.
	handoverAttempts = 5
	handoverPause    = 100 * time.Millisecond
	// shutdownPoll is the time between two looks at running requests.
	shutdownPoll = 20 * time.Millisecond
)

// stop performs a planned stop: health turns bad, keys are handed over, new
// requests are taken for the grace time and then no more, and running ones end.
func (e *Entry) stop(server *fasthttp.Server) error {
	e.stopping.Store(true)
	_ = level.Info(e.log).Log("msg", "planned stop begins", "running", e.running.Load())
	e.hurry()
	e.handOver()
	sleep(e.ctx, millis(e.settings.Grace))
	e.closing.Store(true)
	ctx, cancel := context.WithTimeout(e.ctx, millis(e.settings.Drain))
	defer cancel()
	err := server.ShutdownWithContext(ctx)
	e.awaitIdle(ctx)
	if left := e.running.Load(); err != nil || left > 0 {
		return &Error{Op: "stop", Kind: KindStop, Err: fmt.Errorf("%d requests still ran after %d ms", left, e.settings.Drain)}
	}
	_ = level.Info(e.log).Log("msg", "planned stop done")
	return nil
}

// awaitIdle waits until no request of callers or peers runs.
func (e *Entry) awaitIdle(ctx context.Context) {
	for e.running.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, shutdownPoll)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handOver stops dispatching under keys for good, and offers the key ranges to
// successors until one of them has, or may have, taken them.
func (e *Entry) handOver() {
	defer close(e.keys.settled)
	e.keys.mu.Lock()
	e.keys.ledger.Stop()
	ranges := e.keys.ledger.Export(handoverAnswers)
	e.keys.mu.Unlock()
	refused := make(map[pimentokey.Incarnation]bool)
	for {
		p := e.successorPeer(refused)
		if p == nil {
			_ = level.Warn(e.log).Log("msg", "no successor for keys")
			return
		}
		if e.handOverTo(p, ranges) {
			return
		}
		refused[p.Incarnation] = true
	}
}

func (e *Entry) successorPeer(refused map[pimentokey.Incarnation]bool) *pimentopeer.Peer {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	inRegion := func(r pimentoregister.RegionName) bool { return r == e.settings.Region }
	return clonePeer(e.peers.members.Successor(e.now(), inRegion, refused))
}

// handOverTo offers the ranges to a peer. It reports false only if the peer
// provably hasn't taken them, so that another one may be asked.
func (e *Entry) handOverTo(p *pimentopeer.Peer, ranges []pimentokey.Range) bool {
	next := successor{peer: p}
	for n := range handoverAttempts {
		// From here on the outcomes of running dispatches go there as well.
		e.keys.setSuccessor(&next)
		err := e.node.Handover(p.Address, e.incarnation, p.Incarnation, ranges)
		if err == nil {
			e.keys.note(p.Incarnation, issuers(ranges))
			_ = level.Info(e.log).Log("msg", "keys handed over", "to", p.Name, "ranges", len(ranges))
			return true
		}
		_ = level.Warn(e.log).Log("msg", "hand over keys", "to", p.Name, "err", err)
		if n == 0 && notTaken(err) {
			e.keys.setSuccessor(nil)
			return false
		}
		time.Sleep(handoverPause)
	}
	return true
}

// notTaken reports whether an error proves that the peer hasn't taken the
// ranges.
func notTaken(err error) bool {
	var linkErr *pimentolink.Error
	if !errors.As(err, &linkErr) {
		return false
	}
	return linkErr.Kind == pimentolink.KindUnreachable || linkErr.Kind == pimentolink.KindRefused
}

func issuers(ranges []pimentokey.Range) []pimentokey.Incarnation {
	list := make([]pimentokey.Incarnation, len(ranges))
	for i, r := range ranges {
		list[i] = r.Issuer
	}
	return list
}

func (k *keyring) setSuccessor(s *successor) {
	k.mu.Lock()
	k.successor = s
	k.mu.Unlock()
}

// onHandover adopts the ranges of a peer that stops.
func (e *Entry) onHandover(from, to pimentokey.Incarnation, ranges []pimentokey.Range) error {
	if to != e.incarnation {
		return errors.New("the hand-over is for another incarnation")
	}
	if err := e.keys.adopt(e.now(), from, ranges); err != nil {
		return err
	}
	_ = level.Info(e.log).Log("msg", "keys adopted", "ranges", len(ranges))
	e.hurry()
	return nil
}

// teach tells the successor the outcome of a dispatch.
func (e *Entry) teach(s successor, l pimentolink.KeyOutcome) {
	for range handoverAttempts {
		err := e.node.ReportOutcome(s.peer.Address, l)
		if err == nil {
			return
		}
		_ = level.Warn(e.log).Log("msg", "tell outcome to successor", "err", err)
		time.Sleep(handoverPause)
	}
}
