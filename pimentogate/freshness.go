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
	g.revocation = pimentofeed.RevocationBound{After: time.Duration(g.settings.Revocation)}
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
	return age, known && now > 0 && !cs.undecoded
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

// noteAsked records when a question was sent to the platform.
func (g *Gate) noteAsked() { g.askedAt = bootTime() }

// noteCurrent records that the platform was not past a point when the last question was sent.
func (g *Gate) noteCurrent(at pimentofeed.Point) {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.feed.At().Before(at) {
		cs.freshness.Confirm(g.askedAt)
	}
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
// if this entry's are as complete.
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
		cs.freshness.Confirm(at)
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
