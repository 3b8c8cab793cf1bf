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
	mu             sync.Mutex // Guards the fields below.
	ledger         *pimentokey.Ledger
	directory      pimentokey.Directory
	waiting        map[pimentokey.Key]chan struct{}        // Closed when the key is settled.
	adoptions      map[pimentokey.Incarnation]adoption     // By range.
	successor      *successor                              // Set once the ranges were exported.
	handoverEnded  chan struct{}                           // Closed when successor is final.
	adoptedIssuers []pimentokey.Incarnation                // Adopted ranges, for heartbeats.
	sendOutcome    func(s successor, l pimentolink.Lesson) // Tells a successor an outcome.
}

// adoption is where a range came from, and when.
type adoption struct {
	from pimentokey.Incarnation
	at   time.Duration
}

// adoptedRangeTTL is the time for which an adopted range is held. Callers throw keys
// away much earlier.
const adoptedRangeTTL = time.Hour

// successor is the process that was offered the ranges.
type successor struct {
	peer *pimentopeer.Peer
}

// regionHint returns the key regionHint of a region.
func regionHint(region pimentoregister.RegionName) pimentokey.Hint {
	return pimentokey.Hint(xxhash.Sum64String(string(region)))
}

func newKeyring(own pimentokey.Incarnation, secret pimentokey.Secret, region pimentoregister.RegionName, maxBytes int) *keyring {
	k := &keyring{
		ledger:        pimentokey.NewLedger(own, secret),
		waiting:       make(map[pimentokey.Key]chan struct{}),
		adoptions:     make(map[pimentokey.Incarnation]adoption),
		handoverEnded: make(chan struct{}),
	}
	k.ledger.MaxBytes = maxBytes
	k.ledger.Hint = regionHint(region)
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
func (k *keyring) begin(key pimentokey.Key, scope pimentokey.Scope, f pimentokey.Fingerprint) (pimentokey.Verdict, *pimentokey.Answer, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, a := k.ledger.Begin(key, scope, f)
	if v != pimentokey.VerdictWait {
		return v, a, nil
	}
	id := recordID(key)
	ch := k.waiting[id]
	if ch == nil {
		ch = make(chan struct{})
		k.waiting[id] = ch
	}
	return v, nil, ch
}

// recordID is the part of a key that identifies its record.
func recordID(key pimentokey.Key) pimentokey.Key {
	return pimentokey.Key{Issuer: key.Issuer, Seq: key.Seq}
}

// resolve records the end of a dispatch, wakes those who wait for it, and tells
// the successor if the range was handed over meanwhile.
func (k *keyring) resolve(key pimentokey.Key, o pimentokey.Outcome, a *pimentokey.Answer) {
	k.mu.Lock()
	k.ledger.Settle(key, o, a)
	k.wakeWaiters(key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.sendOutcome(*next, pimentolink.Lesson{Key: key, Outcome: o, Answer: a})
	}
}

// onOutcome takes the end of a dispatch at the process that handed the range over,
// and passes it on if this process has handed the range on.
func (k *keyring) onOutcome(l pimentolink.Lesson) {
	k.mu.Lock()
	k.ledger.Learn(l.Key, l.Outcome, l.Answer)
	k.wakeWaiters(l.Key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.sendOutcome(*next, l)
	}
}

// wakeWaiters is called with k.mu held.
func (k *keyring) wakeWaiters(key pimentokey.Key) {
	id := recordID(key)
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
		if _, again := k.adoptions[r.Issuer]; again && k.ledger.Holds(r.Issuer) {
			continue
		}
		if err := k.ledger.Adopt(r); err != nil {
			return err
		}
		k.adoptions[r.Issuer] = adoption{from: from, at: now}
		k.adoptedIssuers = append(k.adoptedIssuers, r.Issuer)
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
	for issuer, a := range k.adoptions {
		if now-a.at < adoptedRangeTTL {
			continue
		}
		k.ledger.Drop(issuer)
		delete(k.adoptions, issuer)
		k.wakeRange(issuer)
		adoptedIssuers := slices.Clone(k.adoptedIssuers) // Heartbeats may be reading it.
		k.adoptedIssuers = slices.DeleteFunc(adoptedIssuers, func(h pimentokey.Incarnation) bool { return h == issuer })
	}
}

// abandon gives up the dispatches that still ran at a process that is gone.
func (k *keyring) abandon(gone pimentokey.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for issuer, a := range k.adoptions {
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
			k.wakeWaiters(id)
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

// setHolder takes a peer's list of adopted ranges.
func (k *keyring) setHolder(holder pimentokey.Incarnation, held []pimentokey.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, issuer := range held {
		k.directory.Set(issuer, holder)
	}
}

// adoptedRanges returns the ranges that this process has adopted.
func (k *keyring) adoptedRanges() []pimentokey.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adoptedIssuers
}
