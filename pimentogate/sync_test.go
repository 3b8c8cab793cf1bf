package pimentogate

import (
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
)

// A peer with the same membership gets a short record of this entry, any other peer
// the full one.
func TestShortMessageToUpToDatePeer(t *testing.T) {
	is := is.New(t)
	g := &Gate{cluster: newClusterState(pimentopeer.Member{Name: "a", Address: "10.0.0.1:7", Region: "r", Domain: "d", RunID: 7, Version: 9})}
	msg := g.newSyncMessage(g.membersHash(), nil, 0)
	is.Equal(msg.sender, pimentopeer.Member{Name: "a", RunID: 7, Version: 9})
	is.True(msg.sums == nil)
	msg = g.newSyncMessage(g.membersHash()+1, nil, 0)
	is.Equal(msg.sender, g.cluster.members.Self())
	is.True(msg.sums != nil)
}
