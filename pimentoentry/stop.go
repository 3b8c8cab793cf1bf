package pimentoentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

const (
	// maxHandoverBytes bounds in bytes the records and stored responses that are handed
	// over.
	maxHandoverBytes = 8 << 20
	// handoverAttempts bounds the attempts to hand over to one successor, and those
	// to report one outcome to it; handoverPause is the time between two of them.
	handoverAttempts = 5
	handoverPause    = 100 * time.Millisecond
	// acceptLimit bounds the time for which connections are still accepted after the grace
	// time, until no new one comes.
	acceptLimit = 500 * time.Millisecond
	// drainPoll is the time between two checks for running requests.
	drainPoll = 20 * time.Millisecond
	// unreadTimeout is the time within which the head of a request must arrive while
	// running requests have the drain time to end.
	unreadTimeout = 500 * time.Millisecond
)

// stop performs a planned stop: the health check fails, keys are handed over, new
// requests of callers are accepted for the grace time only, and running requests have
// the drain time to end. Requests of peers are accepted until the end. The error is an
// *Error of KindStop.
func (e *Entry) stop(server *fasthttp.Server, callers *pimentohttp.DrainListener) error {
	e.stopping.Store(true)
	_ = level.Info(e.log).Log("msg", "planned stop begins", "running", e.running.Load())
	e.wakeHeartbeats()
	e.handOverKeys()
	sleepContext(e.ctx, millis(e.settings.Grace))
	callers.Drain(time.Now().Add(acceptLimit))
	e.closing.Store(true)
	ctx, cancel := context.WithTimeout(e.ctx, millis(e.settings.Drain))
	defer cancel()
	err := e.shutDown(ctx, server)
	e.awaitIdle(ctx)
	if left := e.running.Load(); err != nil || left > 0 {
		return &Error{Op: "stop", Kind: KindStop, Err: fmt.Errorf("%d requests still ran after %d ms", left, e.settings.Drain)}
	}
	_ = level.Info(e.log).Log("msg", "planned stop done")
	return nil
}

// shutDown shuts down the callers' server. Until that has ended it closes connections whose
// next request doesn't arrive within unreadTimeout.
func (e *Entry) shutDown(ctx context.Context, server *fasthttp.Server) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			e.callerConns.closeUnread(time.Now(), unreadTimeout)
			select {
			case <-done:
				return
			case <-time.After(drainPoll):
			}
		}
	}()
	return server.ShutdownWithContext(ctx)
}

// awaitIdle waits until no request of a caller or peer runs, or ctx ends.
func (e *Entry) awaitIdle(ctx context.Context) {
	for e.running.Load() > 0 && ctx.Err() == nil {
		sleepContext(ctx, drainPoll)
	}
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handOverKeys stops dispatching under keys permanently, and offers the key ranges to
// one successor after another until one has adopted them, or may have.
func (e *Entry) handOverKeys() {
	defer close(e.keys.handoverEnded)
	e.keys.mu.Lock()
	e.keys.ledger.Stop()
	ranges := e.keys.ledger.Export(maxHandoverBytes)
	e.keys.mu.Unlock()
	refused := make(map[pimentokey.Incarnation]bool)
	for {
		p := e.successorPeer(refused)
		if p == nil {
			_ = level.Warn(e.log).Log("msg", "no successor for key ranges")
			return
		}
		if e.offerRanges(p, ranges) {
			return
		}
		refused[p.Incarnation] = true
	}
}

// successorPeer returns a reachable peer of the own region to which the ranges can
// be handed over, or nil. refused lists the processes that didn't adopt them.
func (e *Entry) successorPeer(refused map[pimentokey.Incarnation]bool) *pimentopeer.Peer {
	e.peers.mu.Lock()
	defer e.peers.mu.Unlock()
	inRegion := func(r pimentoregister.RegionName) bool { return r == e.settings.Region }
	return clonePeer(e.peers.members.Successor(e.now(), inRegion, refused))
}

// offerRanges offers the ranges to a peer. It reports false only if the peer has
// certainly not adopted them, so that they may be offered to another one. Only the
// error of the first attempt can prove that: in a later one, the peer may have adopted
// them already and the acknowledgement was lost.
func (e *Entry) offerRanges(p *pimentopeer.Peer, ranges []pimentokey.Range) bool {
	next := successor{peer: p}
	for n := range handoverAttempts {
		// From here on the outcomes of running dispatches are reported to the peer too.
		e.keys.setSuccessor(&next)
		err := e.node.Handover(p.Address, e.incarnation, p.Incarnation, ranges)
		if err == nil {
			e.keys.setHolder(p.Incarnation, issuers(ranges))
			_ = level.Info(e.log).Log("msg", "keys handed over", "to", p.Name, "ranges", len(ranges))
			return true
		}
		_ = level.Warn(e.log).Log("msg", "keys not handed over", "to", p.Name, "err", err)
		if n == 0 && provesNotAdopted(err) {
			e.keys.setSuccessor(nil)
			return false
		}
		time.Sleep(handoverPause)
	}
	return true
}

// provesNotAdopted reports whether an error proves that the peer has not adopted the
// ranges.
func provesNotAdopted(err error) bool {
	var linkErr *pimentolink.Error
	if !errors.As(err, &linkErr) {
		return false
	}
	return linkErr.Kind == pimentolink.KindUnreachable || linkErr.Kind == pimentolink.KindRefused
}

// issuers returns the issuers of ranges.
func issuers(ranges []pimentokey.Range) []pimentokey.Incarnation {
	list := make([]pimentokey.Incarnation, len(ranges))
	for i, r := range ranges {
		list[i] = r.Issuer
	}
	return list
}

// setSuccessor sets the process to which outcomes are reported; nil means none.
func (k *keyring) setSuccessor(s *successor) {
	k.mu.Lock()
	k.successor = s
	k.mu.Unlock()
}

// onHandover adopts the ranges of a stopping peer. It fails if the handover is for
// another incarnation of this entry.
func (e *Entry) onHandover(from, to pimentokey.Incarnation, ranges []pimentokey.Range) error {
	if to != e.incarnation {
		return errors.New("the hand-over is for another incarnation")
	}
	if err := e.keys.adopt(e.now(), from, ranges); err != nil {
		return err
	}
	_ = level.Info(e.log).Log("msg", "keys adopted", "ranges", len(ranges))
	e.wakeHeartbeats()
	return nil
}

// reportOutcome reports the outcome of a dispatch to the successor. It retries, and
// gives up after handoverAttempts.
func (e *Entry) reportOutcome(s successor, o pimentolink.KeyOutcome) {
	for range handoverAttempts {
		err := e.node.ReportOutcome(s.peer.Address, o)
		if err == nil {
			return
		}
		_ = level.Warn(e.log).Log("msg", "outcome not reported to successor", "err", err)
		time.Sleep(handoverPause)
	}
}
