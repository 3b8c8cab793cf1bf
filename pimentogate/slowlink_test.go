package pimentogate

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentolink"
)

// slowReply is the time that a message and its reply take over a full link.
const slowReply = 1400 * time.Millisecond

// TestUpdatesOverFullLink guards against an entry that never learns of a new configuration
// because each exchange with its peers takes longer than the time limit.
func TestUpdatesOverFullLink(t *testing.T) {
	is := is.New(t)
	g, peer := fleetGate(0, 2), fleetGate(1, 2)
	peer.applyUpdate(pimentofeed.Update{From: 5, AsOf: 6, Items: []pimentofeed.Item{{Key: configKey, Revision: 6}}}, sourcePlatform)
	is.True(g.knownPoint().Before(peer.knownPoint()))
	address := serveSlowly(t, peer)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ps := &peerSync{gate: g, address: address, syncPolicy: syncPolicy{interval: domainSyncInterval, onChange: true, onConfirm: true}}
	go ps.run(ctx)
	for end := time.Now().Add(3 * slowReply); g.knownPoint().Before(peer.knownPoint()) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.knownPoint(), peer.knownPoint())
}

// serveSlowly serves the sync messages of a gate, each after slowReply, and returns the address.
func serveSlowly(t *testing.T, g *Gate) string {
	is := is.New(t)
	pool, err := ants.NewPool(8)
	is.NoErr(err)
	t.Cleanup(pool.Release)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := &pimentolink.Node{Log: log.NewNopLogger(), Workers: pool, OnSyncMessage: func(msg []byte) ([]byte, error) {
		time.Sleep(slowReply)
		return g.handleSync(msg)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Serve(ctx, ln)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().String()
}

// TestSilentConnectionIsReplacedSoon guards against a patience with slow peers that keeps an entry
// on a silent connection until its neighbours count as down, after 2.5 s.
func TestSilentConnectionIsReplacedSoon(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	accepted := make(chan time.Time, 2)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // Until then it is open, and nothing reads it.
			accepted <- time.Now()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ps := &peerSync{gate: fleetGate(0, 2), address: ln.Addr().String(), syncPolicy: syncPolicy{interval: domainSyncInterval}}
	go ps.run(ctx)
	first, second := <-accepted, <-accepted
	is.True(second.Sub(first) < 2500*time.Millisecond)
}
