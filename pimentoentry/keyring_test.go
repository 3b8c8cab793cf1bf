package pimentoentry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentokey"
)

// Adopted ranges are held for their term, also when they are offered again, and
// their keys are then held by nobody.
func TestAdoptedRangesExpire(t *testing.T) {
	is := is.New(t)
	scope := pimentokey.Scope{Service: "s", Organisation: "o"}
	old := pimentokey.NewLedger(7, pimentokey.Secret{1})
	key, _ := old.Issue(scope)
	old.Stop()
	ranges := old.Export(1 << 20)
	k := newKeyring(8, pimentokey.Secret{2}, "west", 1<<20)
	is.NoErr(k.adopt(0, 7, ranges))
	is.NoErr(k.adopt(time.Minute, 7, ranges)) // The acknowledgement was lost.
	is.Equal(k.adoptedRanges(), []pimentokey.Incarnation{7})
	k.expire(rangeTerm - 1)
	is.Equal(len(k.adoptedRanges()), 1)
	k.expire(rangeTerm)
	is.Equal(len(k.adoptedRanges()), 0)
	v, _, _ := k.begin(key, scope, 1)
	is.Equal(v, pimentokey.DecisionNotHeld)
	is.True(k.adopt(rangeTerm, 7, ranges) != nil) // It must not come back to life.
}
