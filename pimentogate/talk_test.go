package pimentogate

import (
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
)

// A peer that knows the same members is only told that this entry is there; any
// other gets the whole record.
func TestShortMessageToUpToDatePeer(t *testing.T) {
	is := is.New(t)
	g := &Gate{cluster: newClusterState(pimentopeer.Member{Name: "a", Address: "10.0.0.1:7", Region: "r", Domain: "d", Run: 7, Version: 9})}
	n := g.newSyncMessage(g.membersHash(), nil)
	is.Equal(n.sender, pimentopeer.Member{Name: "a", Run: 7, Version: 9})
	is.True(n.sums == nil)
	n = g.newSyncMessage(g.membersHash()+1, nil)
	is.Equal(n.sender, g.cluster.members.Self())
	is.True(n.sums != nil)
}
