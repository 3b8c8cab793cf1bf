package pimentogate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentofeed"
)

// isClosed reports whether a channel is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// boundedGate returns a gate that refuses keys which it can't be sure of, and whose items
// have a revision.
func boundedGate(t *testing.T, number int) *Gate {
	g := gateInRegion(t, number, time.Second)
	g.revocation = pimentofeed.AgeBound{After: 5 * time.Second}
	g.cluster.feed.Merge(g.now(), pimentofeed.Update{Full: true, AsOf: 7})
	return g
}

// An entry whose keys become confirmed tells its sync peers at once, and not again while they
// stay confirmed. One that hears so without having asked asks at once, and its answer
// confirms it.
func TestEntriesThatWaitForKeysAskAtOnce(t *testing.T) {
	is := is.New(t)
	reader, waiting := boundedGate(t, 1), boundedGate(t, 2)
	_, told := reader.cluster.signals()
	reader.noteCurrent(pimentofeed.Point{Revision: 7}, bootTime())
	is.True(isClosed(told))
	_, told = reader.cluster.signals()
	reader.noteCurrent(pimentofeed.Point{Revision: 7}, bootTime())
	is.True(!isClosed(told))

	_, asks := waiting.cluster.signals()
	waiting.applyConfirmation(reader.newSyncMessage(0, nil, 0)) // It answers nothing.
	is.True(isClosed(asks))
	is.True(!waiting.keysConfirmed())
	reply := reader.newSyncMessage(0, nil, waiting.newSyncMessage(0, nil, 0).stamp())
	waiting.applyConfirmation(reply)
	is.True(waiting.keysConfirmed())

	_, asks = waiting.cluster.signals()
	waiting.applyConfirmation(reader.newSyncMessage(0, nil, 0))
	is.True(!isClosed(asks)) // It knows enough.
}

// A peer whose own knowledge is old, or unknown, isn't asked for more.
func TestOldStatementsAreNoReasonToAsk(t *testing.T) {
	is := is.New(t)
	reader, waiting := boundedGate(t, 1), boundedGate(t, 2)
	_, asks := waiting.cluster.signals()
	waiting.applyConfirmation(reader.newSyncMessage(0, nil, 0))
	reader.noteCurrent(pimentofeed.Point{Revision: 7}, bootTime()-4*time.Second)
	waiting.applyConfirmation(reader.newSyncMessage(0, nil, 0))
	is.True(!isClosed(asks))
}
