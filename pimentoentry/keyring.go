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

// keyring holds the ledger of keys, the waiters for unresolved keys, and the state of
// the handover to a successor.
type keyring struct {
	// mu guards the fields below, except handoverEnded and sendOutcome, which are set
	// before use and don't change.
	mu        sync.Mutex
	ledger    *pimentokey.Ledger
	directory pimentokey.Directory
	// waiting holds, by recordID, channels that are closed when the key is resolved.
	waiting map[pimentokey.Key]chan struct{}
	// adoptions is keyed by the issuer of the range.
	adoptions map[pimentokey.Incarnation]adoption
	// successor is set before the ranges are offered to it.
	successor *successor
	// handoverEnded is closed when successor is final.
	handoverEnded chan struct{}
	// adoptedIssuers lists the issuers of the adopted ranges, for heartbeats.
	adoptedIssuers []pimentokey.Incarnation
	// sendOutcome reports an outcome to a successor.
	sendOutcome func(s successor, o pimentolink.KeyOutcome)
}

// adoption records from which process a range was adopted, and when.
type adoption struct {
	from pimentokey.Incarnation
	at   time.Duration
}

// adoptedRangeTTL is the time for which an adopted range is kept. Callers discard
// keys much earlier.
const adoptedRangeTTL = time.Hour

// successor is the process to which the key ranges were offered.
type successor struct {
	peer *pimentopeer.Peer
}

// regionHint returns the hint in a key that names the region of its issuer.
func regionHint(region pimentoregister.RegionName) pimentokey.RegionHint {
	return pimentokey.RegionHint(xxhash.Sum64String(string(region)))
}

// newKeyring returns a keyring for the process own. maxBytes bounds the memory of
// records and stored responses.
func newKeyring(own pimentokey.Incarnation, secret pimentokey.Secret, region pimentoregister.RegionName, maxBytes int) *keyring {
	k := &keyring{
		ledger:        pimentokey.NewLedger(own, secret),
		waiting:       make(map[pimentokey.Key]chan struct{}),
		adoptions:     make(map[pimentokey.Incarnation]adoption),
		handoverEnded: make(chan struct{}),
	}
	k.ledger.MaxBytes = maxBytes
	k.ledger.RegionHint = regionHint(region)
	return k
}

// issue returns up to n fresh keys, fewer if the ledger can't issue more.
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

// begin returns the ledger's decision on a request, and the stored response for
// DecisionReplay. For DecisionWait it returns a channel that is closed when the key is
// resolved.
func (k *keyring) begin(key pimentokey.Key, scope pimentokey.Scope, f pimentokey.Fingerprint) (pimentokey.Decision, *pimentokey.Response, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	decision, resp := k.ledger.Begin(key, scope, f)
	if decision != pimentokey.DecisionWait {
		return decision, resp, nil
	}
	id := recordID(key)
	ch := k.waiting[id]
	if ch == nil {
		ch = make(chan struct{})
		k.waiting[id] = ch
	}
	return decision, nil, ch
}

// recordID returns the part of a key that identifies its record.
func recordID(key pimentokey.Key) pimentokey.Key {
	return pimentokey.Key{Issuer: key.Issuer, Seq: key.Seq}
}

// resolve records the outcome of a dispatch, wakes its waiters, and reports the
// outcome to the successor if the range was handed over meanwhile.
func (k *keyring) resolve(key pimentokey.Key, o pimentokey.Outcome, resp *pimentokey.Response) {
	k.mu.Lock()
	k.ledger.Resolve(key, o, resp)
	k.wakeWaiters(key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.sendOutcome(*next, pimentolink.KeyOutcome{Key: key, Outcome: o, Response: resp})
	}
}

// onOutcome records the outcome of a dispatch that ended at the process that handed
// the range over. If this process has handed the range over too, onOutcome forwards
// the outcome to the successor.
func (k *keyring) onOutcome(o pimentolink.KeyOutcome) {
	k.mu.Lock()
	k.ledger.ResolveRemote(o.Key, o.Outcome, o.Response)
	k.wakeWaiters(o.Key)
	next := k.successor
	k.mu.Unlock()
	if next != nil {
		k.sendOutcome(*next, o)
	}
}

// wakeWaiters wakes the requests that wait for a key. The caller holds k.mu.
func (k *keyring) wakeWaiters(key pimentokey.Key) {
	id := recordID(key)
	if ch := k.waiting[id]; ch != nil {
		close(ch)
		delete(k.waiting, id)
	}
}

// adopt adds the ranges of the stopping process from to the ledger. Ranges that are
// already held are skipped, since a handover is sent again if its acknowledgement was
// lost.
func (k *keyring) adopt(now time.Duration, from pimentokey.Incarnation, ranges []pimentokey.Range) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range ranges {
		if _, adopted := k.adoptions[r.Issuer]; adopted && k.ledger.Holds(r.Issuer) {
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

// expire drops ranges that were adopted adoptedRangeTTL ago, so that they don't
// accumulate over planned stops. After the ledger's Stop it drops none, because the
// successor holds them.
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

// abandon resolves as unknown, in the ranges adopted from a process that has ended, the
// dispatches that it had not resolved. gone is its incarnation.
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

// wakeRange wakes the requests that wait for keys of a range. The caller holds k.mu.
func (k *keyring) wakeRange(issuer pimentokey.Incarnation) {
	for id := range k.waiting {
		if id.Issuer == issuer {
			k.wakeWaiters(id)
		}
	}
}

// holder reports whether this process holds the range of issuer. If it doesn't, the
// first result is the process that holds it according to the recorded handovers.
func (k *keyring) holder(issuer pimentokey.Incarnation) (pimentokey.Incarnation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.Holds(issuer) {
		return issuer, true
	}
	return k.directory.Holder(issuer), false
}

// setHolder records that the process holder holds the ranges of the issuers in held.
func (k *keyring) setHolder(holder pimentokey.Incarnation, held []pimentokey.Incarnation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, issuer := range held {
		k.directory.SetHolder(issuer, holder)
	}
}

// adoptedRangeIssuers returns the issuers of the ranges that this process has adopted.
// The slice must not be modified.
func (k *keyring) adoptedRangeIssuers() []pimentokey.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.adoptedIssuers
}
