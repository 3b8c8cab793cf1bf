package pimentopeer

import (
	"slices"
	"sort"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// Cursor is a position in a ChangeLog. Zero is its start.
type Cursor uint64

// Change is one update: either the versioned phase of a target, or the number of times
// that a request has crashed a target.
type Change struct {
	// Service and Target name the target whose Phase has changed. They are empty
	// in a change about a request.
	Service pimentoregister.ServiceName
	Target  pimentoregister.VMName
	Phase   pimentotarget.VersionedPhase

	// Fingerprint identifies a request that has crashed a target.
	Fingerprint pimentoretry.Fingerprint
	// Crash names that target and counts its crashes.
	Crash pimentoretry.Crash
	// Regions lists the regions in which a change about a request may be sent and
	// stored. Empty means any region.
	Regions []pimentoregister.RegionName
}

// subject is the key of a change: a newer change of the same subject replaces it.
type subject struct {
	service     pimentoregister.ServiceName
	target      pimentoregister.VMName
	fingerprint pimentoretry.Fingerprint
	crashTarget string
}

func (c *Change) subject() subject {
	return subject{service: c.Service, target: c.Target, fingerprint: c.Fingerprint, crashTarget: c.Crash.Target}
}

// Origin is the source of a change.
type Origin uint8

const (
	// OriginSelf is for changes made by this entry.
	OriginSelf Origin = iota
	// OriginRegion is for changes received from a peer of this entry's region.
	OriginRegion
	// OriginRemote is for changes received from a peer of another region.
	OriginRemote
)

type loggedChange struct {
	cursor Cursor
	origin Origin
	change Change
}

// ChangeLog holds the newest change of each subject in order of arrival. The zero
// value is ready to use. It isn't safe for concurrent use.
type ChangeLog struct {
	changes []loggedChange
	newest  map[subject]Cursor
	last    Cursor
}

// maxSubjects limits the number of subjects of a ChangeLog.
const maxSubjects = 16384

// Add appends a change. Above maxSubjects it drops the subject whose newest change is
// oldest.
func (l *ChangeLog) Add(c Change, origin Origin) {
	if l.newest == nil {
		l.newest = make(map[subject]Cursor)
	}
	l.last++
	l.newest[c.subject()] = l.last
	l.changes = append(l.changes, loggedChange{cursor: l.last, origin: origin, change: c})
	if len(l.changes) > 2*len(l.newest)+64 {
		l.compact()
	}
	if len(l.newest) > maxSubjects {
		l.dropOldest()
	}
}

// compact removes changes that were replaced by a newer one of the same subject.
func (l *ChangeLog) compact() {
	kept := l.changes[:0]
	for _, e := range l.changes {
		if l.newest[e.change.subject()] == e.cursor {
			kept = append(kept, e)
		}
	}
	clear(l.changes[len(kept):])
	l.changes = kept
}

func (l *ChangeLog) dropOldest() {
	l.compact()
	delete(l.newest, l.changes[0].change.subject())
	l.changes = l.changes[1:]
}

// Last returns the cursor of the newest change.
func (l *ChangeLog) Last() Cursor { return l.last }

// Recipient describes a peer for which changes are selected.
type Recipient struct {
	// Region is the peer's region.
	Region pimentoregister.RegionName
	// SameRegion is set if that is also this entry's region.
	SameRegion bool
	// FullSync is set if the peer also needs the changes that it otherwise receives
	// from other entries.
	FullSync bool
	// MaxChanges limits the number of changes.
	MaxChanges int
}

// Since returns the changes after the cursor from, of those that are sent to the
// recipient, at most MaxChanges, and the cursor for the next call.
func (l *ChangeLog) Since(from Cursor, to Recipient) ([]Change, Cursor) {
	var list []Change
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].cursor > from })
	for i := first; i < len(l.changes); i++ {
		e := &l.changes[i]
		if len(list) == to.MaxChanges {
			return list, e.cursor - 1
		}
		if l.newest[e.change.subject()] == e.cursor && to.accepts(e) {
			list = append(list, e.change)
		}
	}
	return list, l.last
}

// accepts reports whether a change is sent to the recipient. Within a region every
// entry sends its own changes to every other, so only changes from other regions are
// forwarded. A peer of another region exchanges heartbeats with only some entries of
// this region, so changes from this region are forwarded to it. Changes from other
// regions are not, except in a full sync.
func (r *Recipient) accepts(e *loggedChange) bool {
	if len(e.change.Regions) > 0 && !slices.Contains(e.change.Regions, r.Region) {
		return false
	}
	if r.FullSync || e.origin == OriginSelf {
		return true
	}
	if r.SameRegion {
		return e.origin == OriginRemote
	}
	return e.origin == OriginRegion
}
