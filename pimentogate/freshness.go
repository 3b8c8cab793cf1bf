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

// errNotAllowed is the cause of sends that weren't made because of the request's key, or because
// the items are too old.
var errNotAllowed = errors.New("the configuration doesn't allow the send any more, or that isn't known")

// retryAfterUnconfirmed is the Retry-After time of a request that is refused because the age
// of the configuration isn't known: an entry hears from others within this time.
const retryAfterUnconfirmed = domainSyncInterval

// ageBound returns the strictest bound of the age of the items that is in force now, the zero
// value without one. Before the first configuration only that of keys is.
func (g *Gate) ageBound() pimentofeed.AgeBound {
	if t := g.table.Load(); t == nil || t.Config == nil {
		return g.revocation
	}
	return g.revocation.Stricter(g.applyBound)
}

// maxWatchWait returns the longest time for which a watch of the platform may wait, 0 while the
// age of the items isn't bounded.
func (g *Gate) maxWatchWait() time.Duration {
	b := g.ageBound()
	if !b.InForce() {
		return 0
	}
	return b.WatchWait(pimentoplatform.WatchWait)
}

// updateAnswerDue makes the time between two answers of the platform follow the bound that is
// in force. It is called with clusterState.mu held, or before Run.
func (g *Gate) updateAnswerDue() {
	g.cluster.answerDue = g.ageBound().WatchWait(pimentoplatform.WatchWait) + platformMargin
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
		g.confirmItems(at)
	}
}

// confirmItems records that the items were current at a time of bootTime. It doesn't while the
// newest configuration isn't known. When this entry can serve requests again that a bound kept it
// from, or knows the items to be much younger, the sync peers are informed at once. It is called
// with clusterState.mu held.
func (g *Gate) confirmItems(at time.Duration) {
	cs := g.cluster
	if cs.undecoded || cs.configRemoved {
		return
	}
	now := bootTime()
	before, known := cs.freshness.Age(now)
	refused := !g.ageBound().Allows(before, known)
	cs.freshness.Confirm(at)
	after, _ := cs.freshness.Age(now)
	if refused && !g.refusesByAge() || known && g.ageBound().InForce() && before-after > boundedAgeGain {
		cs.signalConfirmed()
	}
}

// boundedAgeGain is the decrease of the bounded age above which entries inform each other at
// once.
const boundedAgeGain = 400 * time.Millisecond

// refusesByAge reports whether the age of the items keeps this entry from serving some of the
// requests. It is called with clusterState.mu held.
func (g *Gate) refusesByAge() bool {
	return !g.ageBound().Allows(g.cluster.freshness.Age(bootTime()))
}

// knowsLess reports whether this entry refuses requests for the age of its items although a
// peer states an age which would allow them even after a slow exchange. It is called with
// clusterState.mu held.
func (g *Gate) knowsLess(st *pimentofeed.Statement) bool {
	return st.Known && st.Age <= g.ageBound().Limit()/2 && g.refusesByAge()
}

// knowsMore reports whether this entry's items are surely much younger than those of the peer
// that sent a message, or the peer's age isn't known.
func (g *Gate) knowsMore(msg *syncMessage) bool {
	if msg.confirmation == nil {
		return false
	}
	age, known := g.feedAge()
	return known && (!msg.confirmation.Known || msg.confirmation.Age-age > boundedAgeGain)
}

// statement returns what a message to another entry says about the age of the items. echo is
// the stamp of the last message from that entry. It is nil where no bound is in force. It is
// called with clusterState.mu held.
func (g *Gate) statement(echo uint64) *pimentofeed.Statement {
	if !g.ageBound().InForce() {
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
		g.confirmItems(at)
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
