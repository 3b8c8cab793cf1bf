package pimentogate

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
)

// An entry that holds quotas asks its seeds again soon while it knows no other entry, since
// seeds that start with it may not respond yet. Others, and entries without quotas, don't.
func TestPatienceAfterStart(t *testing.T) {
	is := is.New(t)
	for _, window := range []time.Duration{0, 5 * time.Second} {
		s := DefaultSettings()
		s.Name, s.LimitWindow = "a", Duration(window)
		g, cleanup, err := New(s, PlatformAdapter{}, log.NewNopLogger())
		is.NoErr(err)
		defer cleanup()
		timeout, backoff := g.syncPatience()
		is.Equal(timeout == firstSyncTimeout && backoff == firstSyncBackoff, window > 0)
		g.cluster.members.Merge(g.now(), []pimentopeer.Member{{Name: "b", Address: "127.0.0.1:1", RunID: 3, Version: 1}})
		timeout, backoff = g.syncPatience()
		is.True(timeout == syncTimeout && backoff == syncBackoff)
	}
}
