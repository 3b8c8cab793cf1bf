package pimentoentry

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// keyring guards the ledger of keys.
type keyring struct {
	mu        sync.Mutex // Guards the fields below.
	ledger    *pimentokey.Ledger
	directory pimentokey.Directory
	waiting   map[pimentokey.Key]chan struct{}            // Closed when the key is settled.
	adopted   map[pimentokey.Incarnation]adoption         // By range.
	successor *successor                                  // Set once the ranges were exported.
	settled   chan struct{}                               // Closed when successor is final.
	held      []pimentokey.Incarnation                    // Adopted ranges, for heartbeats.
	lessons   func(s successor, l pimentolink.KeyOutcome) // Tells a successor an outcome.
}

// adoption is where a range came from, and when.
type adoption struct {
	from pimentokey.Incarnation
	at   time.Duration
}

// rangeTerm is the time for which an adopted range is held. Callers throw keys
// away much earlier.
const rangeTerm = time.Hour

// successor is the process that was offered the ranges.
type successor struct {
	peer *pimentopeer.Peer
}

// hint returns the key hint of a region.
func hint(region pimentoregister.RegionName) pimentokey.RegionHint {
	return pimentokey.RegionHint(xxhash.Sum64String(string(region)))
}

func newKeyring(own pimentokey.Incarnation, secret pimentokey.Secret, region pimentoregister.RegionName, maxBytes int) *keyring {
	k := &keyring{
		ledger:  pimentokey.NewLedger(own, secret),
		waiting: make(map[pimentokey.Key]chan struct{}),
		adopted: make(map[pimentokey.Incarnation]adoption),
		settled: make(chan struct{}),
	}
	k.ledger.MaxBytes = maxBytes
	k.ledger.RegionHint = hint(region)
	return k
}

// issue returns up to n fresh keys.
func (k *keyring) issue(scope pimentokey.Scope, n int) []pimentokey.Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	var keys []pimentokey.Key
	for range n {
		key, ok := k.ledger.Issue(scope)
		if !ok {
			break
		}
		keys = append(keys, key)
	}
	return keys
}

// begin asks the ledger what to do. For VerdictWait it returns a channel that
// is closed when the key is settled.
func (k *keyring) begin(key pimentokey.Key, scope pimentokey.Scope, f pimentokey.Fingerprint) (pimentokey.Decision, *pimentokey.Response, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, a := k.ledger.Begin(key, scope, f)
	if v != pimentokey.DecisionWait {
		return v, a, nil
	}
	id := waitID(key)
	ch := k.waiting[id]
	if ch == nil {
		ch = make(chan struct{})
		k.waiting[id] = ch
	}
	return v, nil, ch
}

// waitID is the part of a key that identifies its record.
func waitID(key pimentokey.Key) pimentokey.Key {
	return pimentokey.Key{Issuer: key.Issuer, Seq: key.Seq}
}

// settle records the end of a dispatch, wakes those who wait for it, and tells
// the successor if the range was handed over meanwhile.
func (k *keyring) settle(key pimentokey.Key, o pimentokey.Outcome, a *pimentokey.Response) {
	k.mu.Lock()
	k.ledger.Resolve(key, o, a)
	k.wake(key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.lessons(*next, pimentolink.KeyOutcome{Key: key, Outcome: o, Response: a})
	}
}

// learn takes the end of a dispatch at the process that handed the range over,
// and passes it on if this process has handed the range on.
func (k *keyring) learn(l pimentolink.KeyOutcome) {
	k.mu.Lock()
	k.ledger.ResolveRemote(l.Key, l.Outcome, l.Response)
	k.wake(l.Key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.lessons(*next, l)
	}
}

// wake is called with k.mu held.
func (k *keyring) wake(key pimentokey.Key) {
	id := waitID(key)
	if ch := k.waiting[id]; ch != nil {
		close(ch)
		delete(k.waiting, id)
	}
}

// adopt takes over ranges from a process that stops.
func (k *keyring) adopt(now time.Duration, from pimentokey.Incarnation, ranges []pimentokey.Range) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range ranges {
		if _, again := k.adopted[r.Issuer]; again && k.ledger.Holds(r.Issuer) {
			continue
		}
		if err := k.ledger.Adopt(r); err != nil {
			return err
		}
		k.adopted[r.Issuer] = adoption{from: from, at: now}
		k.held = append(k.held, r.Issuer)
	}
	return nil
}

// expire drops the ranges that were adopted long ago, so that they don't pile
// up from one planned stop to the next. After Stop none is dropped, because the
// successor has them.
func (k *keyring) expire(now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Stopped() {
		return
	}
	for issuer, a := range k.adopted {
		if now-a.at < rangeTerm {
			continue
		}
		k.ledger.Drop(issuer)
		delete(k.adopted, issuer)
		k.wakeRange(issuer)
		held := slices.Clone(k.held) // Heartbeats may be reading it.
		k.held = slices.DeleteFunc(held, func(h pimentokey.Incarnation) bool { return h == issuer })
	}
}

// abandon gives up the dispatches that still ran at a process that is gone.
func (k *keyring) abandon(gone pimentokey.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for issuer, a := range k.adopted {
		if a.from != gone {
			continue
		}
		k.ledger.Abandon(issuer)
		k.wakeRange(issuer)
	}
}

// wakeRange is called with k.mu held.
func (k *keyring) wakeRange(issuer pimentokey.Incarnation) {
	for id := range k.waiting {
		if id.Issuer == issuer {
			k.wake(id)
		}
	}
}

// holder returns the process that holds a range now, and whether it is this one.
func (k *keyring) holder(issuer pimentokey.Incarnation) (pimentokey.Incarnation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Holds(issuer) {
		return issuer, true
	}
	return k.directory.Holder(issuer), false
}

// note takes a peer's list of adopted ranges.
func (k *keyring) note(holder pimentokey.Incarnation, held []pimentokey.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, issuer := range held {
		k.directory.SetHolder(issuer, holder)
	}
}

// adoptedRanges returns the ranges that this process has adopted.
func (k *keyring) adoptedRanges() []pimentokey.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}
