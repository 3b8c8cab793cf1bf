package pimentoentry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentokey"
)

// Adopted ranges must be held for adoptedRangeTTL, also when they are offered twice.
// After that no process holds their keys.
func TestAdoptedRangesExpire(t *testing.T) {
	is := is.New(t)
	scope := pimentokey.Scope{Service: "s", Organisation: "o"}
	old := pimentokey.NewLedger(7, pimentokey.Secret{1})
	key, _ := old.Issue(scope)
	old.Stop()
	ranges := old.Export(1 << 20)
	k := newKeyring(8, pimentokey.Secret{2}, "west", 1<<20)
	is.NoErr(k.adopt(0, 7, ranges))
	// Sent again because the acknowledgement was lost.
	is.NoErr(k.adopt(time.Minute, 7, ranges))
	is.Equal(k.adoptedRangeIssuers(), []pimentokey.Incarnation{7})
	k.expire(adoptedRangeTTL - 1)
	is.Equal(len(k.adoptedRangeIssuers()), 1)
	k.expire(adoptedRangeTTL)
	is.Equal(len(k.adoptedRangeIssuers()), 0)
	v, _, _ := k.begin(key, scope, 1)
	is.Equal(v, pimentokey.DecisionNotHeld)
	// An expired range can't be adopted again.
	is.True(k.adopt(adoptedRangeTTL, 7, ranges) != nil)
}
