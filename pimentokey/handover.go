package pimentokey

import "fmt"

// Range is the exported state of the keys of one incarnation, for a handover.
type Range struct {
	Issuer  Incarnation
	Secret  Secret
	Next    Seq // The lowest sequence number that hasn't been issued.
	Floor   Seq // Keys below it are no longer tracked and count as unknown.
	Pages   []NumberedPage
	Records []Record
}

// NumberedPage is a bitmap page with its index in the range.
type NumberedPage struct {
	Number uint64 // Sequence number / 4,096 of the page's keys.
	Page   BitmapPage
}

// Record is the exported record of one used key. Outcome is zero while the request
// is still being dispatched by the exporting process.
type Record struct {
	Seq         Seq
	Fingerprint Fingerprint
	Outcome     Outcome
	Response    *Response
}

// Export returns all ranges for a successor. It first evicts the oldest resolved
// records to page bits until records and responses take at most maxBytes, or no
// resolved record is left. It panics unless the ledger is stopped, because two
// processes that dispatch under one range could execute a request twice.
func (l *Ledger) Export(maxBytes int) []Range {
	if !l.stopped {
		panic("pimentokey: Export before Stop")
	}
	l.shrink(maxBytes)
	list := make([]Range, 0, len(l.ranges))
	for issuer, r := range l.ranges {
		list = append(list, r.export(issuer))
	}
	return list
}

// shrink lowers the memory limit to maxBytes and evicts resolved records above it.
func (l *Ledger) shrink(maxBytes int) {
	l.MaxBytes = min(l.MaxBytes, maxBytes)
	l.evict()
}

func (r *keyRange) export(issuer Incarnation) Range {
	out := Range{Issuer: issuer, Secret: r.secret, Next: r.next, Floor: r.floor}
	for n, p := range r.pages {
		out.Pages = append(out.Pages, NumberedPage{Number: n, Page: *p})
	}
	for seq, rec := range r.records {
		out.Records = append(out.Records, Record{
			Seq:         seq,
			Fingerprint: rec.fingerprint,
			Outcome:     rec.outcome(),
			Response:    rec.response,
		})
	}
	return out
}

func (rec *record) outcome() Outcome {
	switch rec.state {
	case stateExecuted:
		return OutcomeExecuted
	case stateUnknown:
		return OutcomeUnknown
	case stateVoid:
		return OutcomeNotExecuted
	}
	return 0
}

// Adopt takes over a range that its holder has exported. It returns an *Error of
// KindStopped after Stop, of KindDuplicate for a range that this ledger holds or has
// held, and of KindCorrupt if Next or Floor is zero.
func (l *Ledger) Adopt(in Range) error {
	switch {
	case l.stopped:
		return &Error{Op: "adopt", Kind: KindStopped, Err: fmt.Errorf("range %x: the ledger is stopped", in.Issuer)}
	case l.ranges[in.Issuer] != nil || l.dropped[in.Issuer]:
		return &Error{Op: "adopt", Kind: KindDuplicate, Err: fmt.Errorf("range %x was adopted before", in.Issuer)}
	case in.Next == 0 || in.Floor == 0:
		return &Error{Op: "adopt", Kind: KindCorrupt, Err: fmt.Errorf("range %x: next %d, floor %d", in.Issuer, in.Next, in.Floor)}
	}
	r := newRange(in.Secret)
	r.next = in.Next
	r.floor = in.Floor
	for _, p := range in.Pages {
		page := p.Page
		r.pages[p.Number] = &page
	}
	for _, rec := range in.Records {
		l.adoptRecord(in.Issuer, r, rec)
	}
	l.ranges[in.Issuer] = r
	l.evict()
	return nil
}

func (l *Ledger) adoptRecord(issuer Incarnation, r *keyRange, in Record) {
	rec := &record{fingerprint: in.Fingerprint, response: in.Response}
	switch in.Outcome {
	case OutcomeExecuted:
		rec.state = stateExecuted
	case OutcomeUnknown:
		rec.state = stateUnknown
	case OutcomeNotExecuted:
		rec.state = stateVoid
	default:
		rec.state = stateRemote
	}
	r.records[in.Seq] = rec
	l.bytes += rec.response.size()
	if rec.state != stateRemote {
		l.resolved = append(l.resolved, Key{Issuer: issuer, Seq: in.Seq})
	}
}
