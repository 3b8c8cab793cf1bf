package pimentopeer

import (
	"slices"
	"sort"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

// Cursor is a position in a Journal. Zero is its beginning.
type Cursor uint64

// Change is one piece of news: either a target's mark, or a request's crashes.
type Change struct {
	// Service and Target name the target whose Mark has changed. They are
	// empty in news of a request.
	Service pimentoregister.ServiceName
	Target  pimentoregister.VMName
	Phase   pimentotarget.Mark

	// Fingerprint identifies a request that has crashed a target.
	Fingerprint pimentoretry.Print
	Crash       pimentoretry.Crash
	// Regions limits where the news of a request may be sent and kept. Empty
	// means anywhere.
	Regions []pimentoregister.RegionName
}

// subject is what a change is about.
type subject struct {
	service     pimentoregister.ServiceName
	target      pimentoregister.VMName
	fingerprint pimentoretry.Print
	crashTarget string
}

func (c *Change) subject() subject {
	return subject{service: c.Service, target: c.Target, fingerprint: c.Fingerprint, crashTarget: c.Crash.Target}
}

// Origin says where an entry has a change from.
type Origin uint8

const (
	// OriginSelf changes were made by this entry.
	OriginSelf Origin = iota
	// OriginRegion changes came from a peer of the own region.
	OriginRegion
	// OriginRemote changes came from a peer of another region.
	OriginRemote
)

type logEntry struct {
	at     Cursor
	origin Origin
	change Change
}

// ChangeLog holds the newest change of each subject in the order of arrival. The
// zero value is ready to use. It isn't safe for concurrent use.
type ChangeLog struct {
	entries []logEntry
	newest  map[subject]Cursor
	last    Cursor
}

// maxSubjects bounds the subjects that a journal remembers.
const maxSubjects = 16384

// Add appends a change.
func (l *ChangeLog) Add(c Change, origin Origin) {
	if l.newest == nil {
		l.newest = make(map[subject]Cursor)
	}
	l.last++
	l.newest[c.subject()] = l.last
	l.entries = append(l.entries, logEntry{at: l.last, origin: origin, change: c})
	if len(l.entries) > 2*len(l.newest)+64 {
		l.compact()
	}
	if len(l.newest) > maxSubjects {
		l.dropOldest()
	}
}

// compact removes changes that a newer one of the same subject has replaced.
func (l *ChangeLog) compact() {
	kept := l.entries[:0]
	for _, it := range l.entries {
		if l.newest[it.change.subject()] == it.at {
			kept = append(kept, it)
		}
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

func (l *ChangeLog) dropOldest() {
	l.compact()
	delete(l.newest, l.entries[0].change.subject())
	l.entries = l.entries[1:]
}

// Last returns the cursor after the newest change.
func (l *ChangeLog) Last() Cursor { return l.last }

// Recipient is a peer for which changes are selected.
type Recipient struct {
	// Region is the peer's region.
	Region pimentoregister.RegionName
	// SameRegion is set if that is this entry's own region.
	SameRegion bool
	// FullSync is set if the peer needs the changes that others have told as well.
	FullSync bool
	// MaxChanges bounds the number of changes.
	MaxChanges int
}

// Since returns changes after the cursor that the audience may hear and hasn't
// heard from others, and the cursor for the next call.
func (l *ChangeLog) Since(from Cursor, a Recipient) ([]Change, Cursor) {
	var list []Change
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].at > from })
	for i := first; i < len(l.entries); i++ {
		it := &l.entries[i]
		if len(list) == a.MaxChanges {
			return list, it.at - 1
		}
		if l.newest[it.change.subject()] == it.at && a.accepts(it) {
			list = append(list, it.change)
		}
	}
	return list, l.last
}

// accepts reports whether a change is for the audience. Within a region every
// entry tells its own news to every other, so only news from other regions are
// passed on.
func (a *Recipient) accepts(it *logEntry) bool {
	if len(it.change.Regions) > 0 && !slices.Contains(it.change.Regions, a.Region) {
		return false
	}
	if a.FullSync || it.origin == OriginSelf {
		return true
	}
	if a.SameRegion {
		return it.origin == OriginRemote
	}
	return it.origin == OriginRegion
}
