package pimentokey

import "fmt"

// Decision is how a request that carries a key must be handled.
type Decision uint8

const (
	// DecisionDispatch means that the caller of Begin, and nobody else, dispatches
	// the request and then calls Resolve.
	DecisionDispatch Decision = iota + 1
	// DecisionWait means that the request is being dispatched.
	DecisionWait
	// DecisionReplay means that the request was executed and its response is stored.
	DecisionReplay
	// DecisionEvicted means that the request was executed and its response is not, or
	// no longer, stored.
	DecisionEvicted
	// DecisionUnknown means that the request may have been executed.
	DecisionUnknown
	// DecisionVoid means that the request was not executed, and that no request will
	// ever be executed under the key.
	DecisionVoid
	// DecisionMismatch means that another request was sent under the key. This
	// one was not executed.
	DecisionMismatch
	// DecisionForged means that the key was never issued for this scope. The
	// request was not executed.
	DecisionForged
	// DecisionNotHeld means that this ledger doesn't hold the key's range.
	DecisionNotHeld
	// DecisionStopped means that the key was unused when the ledger was stopped.
	DecisionStopped
)

// Outcome is the result of a dispatch.
type Outcome uint8

const (
	// OutcomeExecuted means that the target executed the request and responded.
	OutcomeExecuted Outcome = iota + 1
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown
	// OutcomeNotExecuted means that the request was provably not executed. The key is
	// void from then on, so that a copy of the request that arrives later can't be
	// executed after it was reported as not executed.
	OutcomeNotExecuted
)

// Response is the stored response to a request.
type Response struct {
	Status int // HTTP status code.
	// Header is the header section of the response in HTTP/1.1 form.
	Header []byte
	Body   []byte
}

// size returns the memory in bytes of a record with this response, which may be nil.
func (r *Response) size() int {
	if r == nil {
		return recordBytes
	}
	return recordBytes + len(r.Header) + len(r.Body)
}

type state uint8

const (
	stateRunning state = iota + 1 // Being dispatched by this process.
	stateRemote                   // Being dispatched by the previous holder.
	stateExecuted
	stateUnknown
	stateVoid
)

// record is the state of a used key that hasn't been evicted to a page. Record is its
// exported form.
type record struct {
	state       state
	fingerprint Fingerprint
	response    *Response
}

// recordBytes is the memory of a record in bytes, without its response.
const recordBytes = 160

const (
	defaultMaxBytes = 16 << 20
	defaultMaxPages = 4096
)

// keyRange is the state of the keys of one incarnation. Range is its exported form.
type keyRange struct {
	secret  Secret
	next    Seq // The lowest sequence number that hasn't been issued.
	floor   Seq // Keys below it are no longer tracked and count as unknown.
	records map[Seq]*record
	pages   map[uint64]*BitmapPage
}

// Ledger holds key ranges and the records of their used keys. Its exported fields
// must be set before the first call. It isn't safe for concurrent use.
type Ledger struct {
	// MaxBytes limits the memory in bytes of records and stored responses.
	MaxBytes int
	// MaxPages limits the bitmap pages of each range, of 4,096 keys and 1 KB
	// each. The keys of a dropped page count as unknown.
	MaxPages int
	// RegionHint is put into issued keys.
	RegionHint RegionHint

	own      Incarnation
	ranges   map[Incarnation]*keyRange
	bytes    int
	resolved []Key // Keys of resolved records, oldest first.
	stopped  bool
	dropped  map[Incarnation]bool // Ranges that were dropped.
}

// NewLedger returns a ledger with an empty range for its own incarnation.
func NewLedger(own Incarnation, secret Secret) *Ledger {
	l := &Ledger{
		MaxBytes: defaultMaxBytes,
		MaxPages: defaultMaxPages,
		own:      own,
		ranges:   make(map[Incarnation]*keyRange),
		dropped:  make(map[Incarnation]bool),
	}
	l.ranges[own] = newRange(secret)
	return l
}

func newRange(secret Secret) *keyRange {
	return &keyRange{
		secret:  secret,
		next:    1,
		floor:   1,
		records: make(map[Seq]*record),
		pages:   make(map[uint64]*BitmapPage),
	}
}

// Issue returns a new key of the ledger's own range. It returns false after Stop,
// and when all sequence numbers have been used.
func (l *Ledger) Issue(scope Scope) (Key, bool) {
	r := l.ranges[l.own]
	if l.stopped || r.next > maxSeq {
		return Key{}, false
	}
	seq := r.next
	r.next++
	l.trimPages(r)
	return Key{RegionHint: l.RegionHint, Issuer: l.own, Seq: seq, MAC: r.secret.mac(l.own, seq, scope)}, true
}

// trimPages drops the oldest pages of a range that exceeds MaxPages.
func (l *Ledger) trimPages(r *keyRange) {
	newest := r.next.page()
	for newest-r.floor.page() >= uint64(l.MaxPages) {
		delete(r.pages, r.floor.page())
		r.floor = Seq((r.floor.page() + 1) * keysPerPage)
	}
}

// Holds reports whether the ledger holds the range of an incarnation.
func (l *Ledger) Holds(issuer Incarnation) bool {
	return l.ranges[issuer] != nil
}

// HeldIssuers returns the incarnations whose ranges the ledger holds, its own included.
func (l *Ledger) HeldIssuers() []Incarnation {
	list := make([]Incarnation, 0, len(l.ranges))
	for issuer := range l.ranges {
		list = append(list, issuer)
	}
	return list
}

// Begin decides how to handle a request. The response is set for DecisionReplay.
// After DecisionDispatch the caller must call Resolve exactly once.
func (l *Ledger) Begin(k Key, scope Scope, f Fingerprint) (Decision, *Response) {
	r := l.ranges[k.Issuer]
	if r == nil {
		return DecisionNotHeld, nil
	}
	if k.Seq == 0 || k.Seq >= r.next || k.MAC != r.secret.mac(k.Issuer, k.Seq, scope) {
		return DecisionForged, nil
	}
	if rec := r.records[k.Seq]; rec != nil {
		return rec.decision(f)
	}
	if d := r.pageDecision(k.Seq); d != 0 {
		return d, nil
	}
	if l.stopped {
		return DecisionStopped, nil
	}
	r.records[k.Seq] = &record{state: stateRunning, fingerprint: f}
	l.bytes += recordBytes
	return DecisionDispatch, nil
}

func (rec *record) decision(f Fingerprint) (Decision, *Response) {
	if rec.fingerprint != f {
		return DecisionMismatch, nil
	}
	switch rec.state {
	case stateRunning, stateRemote:
		return DecisionWait, nil
	case stateExecuted:
		if rec.response == nil {
			return DecisionEvicted, nil
		}
		return DecisionReplay, rec.response
	case stateVoid:
		return DecisionVoid, nil
	default:
		return DecisionUnknown, nil
	}
}

// pageDecision returns the decision for a key without a record, or zero if it is unused.
func (r *keyRange) pageDecision(s Seq) Decision {
	if s < r.floor {
		return DecisionUnknown
	}
	p := r.pages[s.page()]
	switch {
	case p == nil:
		return 0
	case p.isExecuted(s):
		return DecisionEvicted
	case p.isUnknown(s):
		return DecisionUnknown
	}
	return 0
}

// Resolve records the outcome of a dispatch that Begin allowed. A nil response with
// OutcomeExecuted means that the response isn't stored.
func (l *Ledger) Resolve(k Key, o Outcome, resp *Response) {
	l.resolve(k, stateRunning, o, resp)
}

// ResolveRemote records the outcome of a dispatch at the process that handed the
// range over. It is idempotent, and ignores keys that this process dispatched.
func (l *Ledger) ResolveRemote(k Key, o Outcome, resp *Response) {
	l.resolve(k, stateRemote, o, resp)
}

// resolve sets the outcome of a record in state from, and ignores records in other
// states.
func (l *Ledger) resolve(k Key, from state, o Outcome, resp *Response) {
	r := l.ranges[k.Issuer]
	if r == nil {
		return
	}
	rec := r.records[k.Seq]
	if rec == nil || rec.state != from {
		return
	}
	switch o {
	case OutcomeNotExecuted:
		rec.state = stateVoid
	case OutcomeExecuted:
		rec.state = stateExecuted
		rec.response = resp
		l.bytes += resp.size() - recordBytes
	default:
		rec.state = stateUnknown
	}
	l.resolved = append(l.resolved, Key{Issuer: k.Issuer, Seq: k.Seq})
	l.evict()
}

// evict replaces the oldest resolved records by page bits until MaxBytes is kept or
// no resolved record is left.
func (l *Ledger) evict() {
	for l.bytes > l.MaxBytes && len(l.resolved) > 0 {
		k := l.resolved[0]
		l.resolved = l.resolved[1:]
		r := l.ranges[k.Issuer]
		if r == nil || r.records[k.Seq] == nil {
			continue
		}
		rec := r.records[k.Seq]
		delete(r.records, k.Seq)
		l.bytes -= rec.response.size()
		r.setPageState(k.Seq, rec.state)
	}
}

func (r *keyRange) setPageState(s Seq, st state) {
	if s < r.floor {
		return
	}
	p := r.pages[s.page()]
	if p == nil {
		p = new(BitmapPage)
		r.pages[s.page()] = p
	}
	p.setState(s, st)
}

// Abandon resolves as unknown every dispatch under the adopted range of issuer that
// the previous holder hadn't resolved. It is called after that process has ended.
func (l *Ledger) Abandon(issuer Incarnation) {
	r := l.ranges[issuer]
	if r == nil {
		return
	}
	for seq, rec := range r.records {
		if rec.state == stateRemote {
			rec.state = stateUnknown
			l.resolved = append(l.resolved, Key{Issuer: issuer, Seq: seq})
		}
	}
}

// Drop removes an adopted range. No process holds it then, and the outcomes of its
// keys are unknown to every process.
func (l *Ledger) Drop(issuer Incarnation) {
	r := l.ranges[issuer]
	if r == nil || issuer == l.own {
		return
	}
	for _, rec := range r.records {
		l.bytes -= rec.response.size()
	}
	delete(l.ranges, issuer)
	l.dropped[issuer] = true
}

// Stop ends dispatching permanently: Begin never returns DecisionDispatch again.
func (l *Ledger) Stop() { l.stopped = true }

// Stopped reports whether Stop was called.
func (l *Ledger) Stopped() bool { return l.stopped }

// Bytes returns the memory in bytes of the records and stored responses.
func (l *Ledger) Bytes() int { return l.bytes }

// Running returns the number of dispatches that this process has begun and not
// resolved.
func (l *Ledger) Running() int {
	n := 0
	for _, r := range l.ranges {
		for _, rec := range r.records {
			if rec.state == stateRunning {
				n++
			}
		}
	}
	return n
}

// String returns a summary of the ledger for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("ranges=%d bytes=%d stopped=%t", len(l.ranges), l.bytes, l.stopped)
}
