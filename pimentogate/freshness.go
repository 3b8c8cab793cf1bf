package pimentogate

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoplatform"
	"pimentoarch/pimentoroute"
	"pimentoarch/pimentowire"
)

// errKeyRefused is the cause of sends that weren't made because of the request's key.
var errKeyRefused = errors.New("the key is no longer valid, or that isn't known")

// retryAfterUnconfirmed is the Retry-After time of a request that is refused because the age
// of the configuration isn't known: an entry hears from others within this time.
const retryAfterUnconfirmed = domainSyncInterval

// limitFreshness makes watches of the platform short enough for the bound on keys that are
// taken away. It is called before Run.
func (g *Gate) limitFreshness() {
	g.revocation = pimentofeed.AgeBound{After: time.Duration(g.settings.Revocation)}
	g.watchWait = g.revocation.WatchWait(pimentoplatform.WatchWait)
	g.cluster.answerDue = g.watchWait + platformMargin
}

// feedAge returns the age of the items at most, and false if nothing bounds it. Where no clock
// counts suspension, nothing does.
func (g *Gate) feedAge() (time.Duration, bool) {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.ageAtMost(bootTime()) // After the lock, for which this goroutine may have waited.
}

// ageAtMost returns what feedAge does, at a time of bootTime. It is called with mu held.
func (cs *clusterState) ageAtMost(now time.Duration) (time.Duration, bool) {
	age, known := cs.freshness.Age(now)
	return age, known && now > 0
}

// awaitsKeys reports whether this start of the entry has never known how old its keys are.
func (g *Gate) awaitsKeys(cfg *pimentoroute.Config) bool {
	if !g.revocation.InForce() || len(cfg.Organisations) == 0 {
		return false
	}
	_, known := g.feedAge()
	return !known
}

// keysConfirmed reports whether the entry knows the valid keys well enough to send a request
// with one now.
func (g *Gate) keysConfirmed() bool {
	if !g.revocation.InForce() {
		return true
	}
	age, known := g.feedAge()
	return g.revocation.Allows(age, known)
}

// noteCurrent records that the platform was not past a point at a time of bootTime.
func (g *Gate) noteCurrent(point pimentofeed.Point, at time.Duration) {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.feed.At().Before(point) {
		g.confirmKeys(at)
	}
}

// confirmKeys records that the items were current at a time of bootTime. It doesn't while the
// keys of the newest configuration aren't known. Once it lets this entry serve requests with
// a key, the sync peers are informed at once. It is called with clusterState.mu held.
func (g *Gate) confirmKeys(at time.Duration) {
	cs := g.cluster
	if cs.undecoded {
		return
	}
	refused := g.refusesKeys()
	cs.freshness.Confirm(at)
	if refused && !g.refusesKeys() {
		cs.signalConfirmed()
	}
}

// refusesKeys reports whether the age of the items keeps this entry from serving requests
// with a key. It is called with clusterState.mu held.
func (g *Gate) refusesKeys() bool {
	return !g.revocation.Allows(g.cluster.freshness.Age(bootTime()))
}

// knowsLess reports whether this entry refuses requests with a key although a peer states an
// age which would allow them even after a slow exchange. It is called with clusterState.mu
// held.
func (g *Gate) knowsLess(st *pimentofeed.Statement) bool {
	return st.Known && st.Age <= g.revocation.Limit()/2 && g.refusesKeys()
}

// statement returns what a message to another entry says about the age of the items. echo is
// the stamp of the last message from that entry. It is nil where no bound is set. It is called
// with clusterState.mu held.
func (g *Gate) statement(echo uint64) *pimentofeed.Statement {
	if !g.revocation.InForce() {
		return nil
	}
	now := bootTime()
	st := &pimentofeed.Statement{Stamp: g.cluster.stamps.Issue(now), Echo: echo}
	st.Age, st.Known = g.cluster.ageAtMost(now)
	return st
}

// applyConfirmation takes over what another entry's message says about the age of its items,
// if this entry's are as complete. A message that wasn't asked for may only show that the
// sender knows more: then the sync peers are asked at once.
func (g *Gate) applyConfirmation(msg *syncMessage) {
	if msg.confirmation == nil {
		return
	}
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if at := cs.feed.At(); at.Era != msg.at.Era || at.Before(msg.at) {
		return
	}
	if at, ok := cs.stamps.ConfirmedAt(*msg.confirmation, bootTime()); ok {
		g.confirmKeys(at)
	} else if g.knowsLess(msg.confirmation) {
		cs.signalConfirmed()
	}
}

// stamp returns the stamp of a message, 0 without one.
func (msg *syncMessage) stamp() uint64 {
	if msg.confirmation == nil {
		return 0
	}
	return msg.confirmation.Stamp
}

// message Confirmation {
//   fixed64 stamp = 1; fixed64 echo = 2; uint64 age_millis = 3; bool known = 4;
// }
//
// age_millis is rounded up.

func marshalConfirmation(mm *easyproto.MessageMarshaler, st *pimentofeed.Statement) {
	mm.AppendFixed64(1, st.Stamp)
	mm.AppendFixed64(2, st.Echo)
	mm.AppendUint64(3, uint64((st.Age+time.Millisecond-1)/time.Millisecond))
	mm.AppendBool(4, st.Known)
}

func unmarshalConfirmation(src []byte, st *pimentofeed.Statement) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			st.Stamp, ok = fc.Fixed64()
		case 2:
			st.Echo, ok = fc.Fixed64()
		case 3:
			st.Age, ok = ageField(fc)
		case 4:
			st.Known, ok = fc.Bool()
		default:
			ok = true
		}
		return ok
	})
}
