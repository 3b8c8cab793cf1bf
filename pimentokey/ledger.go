package pimentokey

import "fmt"

// Decision says what to do with a request that carries a key.
type Decision uint8

const (
	// DecisionDispatch means that the caller of Begin, and nobody else, dispatches
	// the request and then calls Settle.
	DecisionDispatch Decision = iota + 1
	// DecisionWait means that the request is being dispatched.
	DecisionWait
	// DecisionReplay means that the request has run and its answer is kept.
	DecisionReplay
	// DecisionEvicted means that the request has run and its answer is no
	// longer kept.
	DecisionEvicted
	// DecisionUnknown means that the request may have run.
	DecisionUnknown
	// DecisionVoid means that the request was not run, and that no request will
	// ever run under the key.
	DecisionVoid
	// DecisionMismatch means that another request was sent under the key. This
	// one was not run.
	DecisionMismatch
	// DecisionForged means that the key was never issued for this scope. The
	// request was not run.
	DecisionForged
	// DecisionNotHeld means that this ledger doesn't hold the key's range.
	DecisionNotHeld
	// DecisionStopped means that the key was unused when the ledger was stopped.
	DecisionStopped
)

// Outcome says how a dispatch ended.
type Outcome uint8

const (
	// OutcomeExecuted means that the target ran the request and answered.
	OutcomeExecuted Outcome = iota + 1
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// OutcomeNotExecuted means that the request provably did not run. The key is
	// void from then on, so that a copy of the request that is still on its way
	// can't make the statement untrue.
	OutcomeNotExecuted
)

// Response is the kept answer of a request.
type Response struct {
	Status int
	// Header is the head of the answer in HTTP/1.1 form.
	Header []byte
	Body   []byte
}

func (a *Response) size() int {
	if a == nil {
		return recordBytes
	}
	return recordBytes + len(a.Header) + len(a.Body)
}

type state uint8

const (
	stateRunning   state = iota + 1 // Dispatched by this process.
	stateElsewhere                  // Dispatched by the process that handed the range over.
	stateDone
	stateUnknown
	stateVoid
)

// record is what the ledger knows of a key that has been used.
type record struct {
	state       state
	fingerprint Fingerprint
	answer      *Response
}

// recordBytes is the memory in bytes that a record takes beside its answer.
const recordBytes = 160

const (
	defaultMaxBytes = 16 << 20
	defaultMaxPages = 4096
)

// keyRange is the state of the keys of one incarnation.
type keyRange struct {
	secret  Secret
	next    Seq // The lowest sequence number that hasn't been issued.
	floor   Seq // Keys below it have lost their marks.
	records map[Seq]*record
	pages   map[uint64]*BitmapPage
}

// Ledger holds key ranges and the records of their use. Its exported fields
// are set before the first call. It isn't safe for concurrent use.
type Ledger struct {
	// MaxBytes bounds the memory in bytes of records and kept answers.
	MaxBytes int
	// MaxPages bounds the bitmap pages of each range, of 4,096 keys and 1 KB
	// each. The keys of a dropped page count as unknown.
	MaxPages int
	// RegionHint is put into issued keys.
	RegionHint RegionHint

	own     Incarnation
	ranges  map[Incarnation]*keyRange
	bytes   int
	settled []Key // Settled records, oldest first.
	stopped bool
	gone    map[Incarnation]bool // Ranges that were dropped.
}

// NewLedger returns a ledger with an empty range for its own incarnation.
func NewLedger(own Incarnation, secret Secret) *Ledger {
	l := &Ledger{
		MaxBytes: defaultMaxBytes,
		MaxPages: defaultMaxPages,
		own:      own,
		ranges:   make(map[Incarnation]*keyRange),
		gone:     make(map[Incarnation]bool),
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

// Issue returns a fresh key of the ledger's own range. It reports false after
// Stop, and when the range is used up.
func (l *Ledger) Issue(scope Scope) (Key, bool) {
	r := l.ranges[l.own]
	if l.stopped || r.next > maxSeq {
		return Key{}, false
	}
	seq := r.next
	r.next++
	l.trim(r)
	return Key{RegionHint: l.RegionHint, Issuer: l.own, Seq: seq, MAC: r.secret.sum(l.own, seq, scope)}, true
}

// trim drops the oldest pages of a range above the limit.
func (l *Ledger) trim(r *keyRange) {
	newest := r.next.page()
	for newest-r.floor.page() >= uint64(l.MaxPages) {
		delete(r.pages, r.floor.page())
		r.floor = Seq((r.floor.page() + 1) * pageKeys)
	}
}

// Holds reports whether the ledger holds the range of an incarnation.
func (l *Ledger) Holds(issuer Incarnation) bool {
	return l.ranges[issuer] != nil
}

// HeldIssuers returns the incarnations whose ranges the ledger holds.
func (l *Ledger) HeldIssuers() []Incarnation {
	list := make([]Incarnation, 0, len(l.ranges))
	for issuer := range l.ranges {
		list = append(list, issuer)
	}
	return list
}

// Begin decides what to do with a request. The answer is set for
// VerdictReplay. After VerdictRun the caller must call Settle exactly once.
func (l *Ledger) Begin(k Key, scope Scope, f Fingerprint) (Decision, *Response) {
	r := l.ranges[k.Issuer]
	if r == nil {
		return DecisionNotHeld, nil
	}
	if k.Seq == 0 || k.Seq >= r.next || k.MAC != r.secret.sum(k.Issuer, k.Seq, scope) {
		return DecisionForged, nil
	}
	if rec := r.records[k.Seq]; rec != nil {
		return rec.verdict(f)
	}
	if v := r.mark(k.Seq); v != 0 {
		return v, nil
	}
	if l.stopped {
		return DecisionStopped, nil
	}
	r.records[k.Seq] = &record{state: stateRunning, fingerprint: f}
	l.bytes += recordBytes
	return DecisionDispatch, nil
}

func (rec *record) verdict(f Fingerprint) (Decision, *Response) {
	if rec.fingerprint != f {
		return DecisionMismatch, nil
	}
	switch rec.state {
	case stateRunning, stateElsewhere:
		return DecisionWait, nil
	case stateDone:
		if rec.answer == nil {
			return DecisionEvicted, nil
		}
		return DecisionReplay, rec.answer
	case stateVoid:
		return DecisionVoid, nil
	default:
		return DecisionUnknown, nil
	}
}

// mark returns the verdict on a key without a record, or zero if it is unused.
func (r *keyRange) mark(s Seq) Decision {
	if s < r.floor {
		return DecisionUnknown
	}
	p := r.pages[s.page()]
	switch {
	case p == nil:
		return 0
	case p.ran(s):
		return DecisionEvicted
	case p.unknown(s):
		return DecisionUnknown
	}
	return 0
}

// Resolve records how the dispatch that Begin allowed has ended. A nil answer
// with OutcomeDone means that the answer isn't kept.
func (l *Ledger) Resolve(k Key, o Outcome, a *Response) {
	l.settle(k, stateRunning, o, a)
}

// ResolveRemote records how a dispatch ended that ran at the process that handed the
// range over. It is idempotent, and ignores keys that this process dispatched.
func (l *Ledger) ResolveRemote(k Key, o Outcome, a *Response) {
	l.settle(k, stateElsewhere, o, a)
}

// settle moves a record out of state from. Records in other states are kept.
func (l *Ledger) settle(k Key, from state, o Outcome, a *Response) {
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
		rec.state = stateDone
		rec.answer = a
		l.bytes += a.size() - recordBytes
	default:
		rec.state = stateUnknown
	}
	l.settled = append(l.settled, Key{Issuer: k.Issuer, Seq: k.Seq})
	l.evict()
}

// evict turns the oldest settled records into marks until the limit is kept.
func (l *Ledger) evict() {
	for l.bytes > l.MaxBytes && len(l.settled) > 0 {
		k := l.settled[0]
		l.settled = l.settled[1:]
		r := l.ranges[k.Issuer]
		if r == nil || r.records[k.Seq] == nil {
			continue
		}
		rec := r.records[k.Seq]
		delete(r.records, k.Seq)
		l.bytes -= rec.answer.size()
		r.setMark(k.Seq, rec.state)
	}
}

func (r *keyRange) setMark(s Seq, st state) {
	if s < r.floor {
		return
	}
	p := r.pages[s.page()]
	if p == nil {
		p = new(BitmapPage)
		r.pages[s.page()] = p
	}
	p.mark(s, st)
}

// Abandon marks as unknown every dispatch under an adopted range that still
// runs at the process that handed it over. It is called when that process is
// gone.
func (l *Ledger) Abandon(issuer Incarnation) {
	r := l.ranges[issuer]
	if r == nil {
		return
	}
	for seq, rec := range r.records {
		if rec.state == stateElsewhere {
			rec.state = stateUnknown
			l.settled = append(l.settled, Key{Issuer: issuer, Seq: seq})
		}
	}
}

// Drop forgets an adopted range. Its keys are then unknown to every process.
func (l *Ledger) Drop(issuer Incarnation) {
	r := l.ranges[issuer]
	if r == nil || issuer == l.own {
		return
	}
	for _, rec := range r.records {
		l.bytes -= rec.answer.size()
	}
	delete(l.ranges, issuer)
	l.gone[issuer] = true
}

// Stop ends dispatching for good: Begin never returns VerdictRun again.
func (l *Ledger) Stop() { l.stopped = true }

// Stopped reports whether Stop was called.
func (l *Ledger) Stopped() bool { return l.stopped }

// Bytes returns the memory in bytes of the records and kept answers.
func (l *Ledger) Bytes() int { return l.bytes }

// Running returns the number of dispatches under the ledger's keys that this
// process has begun and not settled.
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

// String summarises the ledger for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("ranges=%d bytes=%d stopped=%t", len(l.ranges), l.bytes, l.stopped)
}
