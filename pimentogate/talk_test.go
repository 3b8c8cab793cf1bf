package pimentogate

import (
	"testing"

	"github.com/matryer/is"

	"pimentoarch/pimentopeer"
)

// A peer that knows the same members is only told that this entry is there; any
// other gets the whole record.
func TestNotesToThoseThatKnow(t *testing.T) {
	is := is.New(t)
	g := &Gate{fleet: newFleet(pimentopeer.Member{Name: "a", Address: "10.0.0.1:7", Region: "r", Domain: "d", RunID: 7, Version: 9})}
	n := g.newNote(g.rosterHash(), nil)
	is.Equal(n.self, pimentopeer.Member{Name: "a", RunID: 7, Version: 9})
	is.True(n.sums == nil)
	n = g.newNote(g.rosterHash()+1, nil)
	is.Equal(n.self, g.fleet.roster.Self())
	is.True(n.sums != nil)
}
