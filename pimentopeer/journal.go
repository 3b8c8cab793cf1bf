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
	Phase   pimentotarget.VersionedPhase

	// Fingerprint identifies a request that has crashed a target.
	Fingerprint pimentoretry.Fingerprint
	Crash       pimentoretry.Crash
	// Regions limits where the news of a request may be sent and kept. Empty
	// means anywhere.
	Regions []pimentoregister.RegionName
}

// subject is what a change is about.
type subject struct {
	service pimentoregister.ServiceName
	target  pimentoregister.VMName
	print   pimentoretry.Fingerprint
	crashed string
}

func (c *Change) subject() subject {
	return subject{service: c.Service, target: c.Target, print: c.Fingerprint, crashed: c.Crash.Target}
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

type journalItem struct {
	at     Cursor
	origin Origin
	change Change
}

// ChangeLog holds the newest change of each subject in the order of arrival. The
// zero value is ready to use. It isn't safe for concurrent use.
type ChangeLog struct {
	items  []journalItem
	newest map[subject]Cursor
	last   Cursor
}

// maxSubjects bounds the subjects that a journal remembers.
const maxSubjects = 16384

// Add appends a change.
func (j *ChangeLog) Add(c Change, origin Origin) {
	if j.newest == nil {
		j.newest = make(map[subject]Cursor)
	}
	j.last++
	j.newest[c.subject()] = j.last
	j.items = append(j.items, journalItem{at: j.last, origin: origin, change: c})
	if len(j.items) > 2*len(j.newest)+64 {
		j.compact()
	}
	if len(j.newest) > maxSubjects {
		j.dropOldest()
	}
}

// compact removes changes that a newer one of the same subject has replaced.
func (j *ChangeLog) compact() {
	kept := j.items[:0]
	for _, it := range j.items {
		if j.newest[it.change.subject()] == it.at {
			kept = append(kept, it)
		}
	}
	clear(j.items[len(kept):])
	j.items = kept
}

func (j *ChangeLog) dropOldest() {
	j.compact()
	delete(j.newest, j.items[0].change.subject())
	j.items = j.items[1:]
}

// Last returns the cursor after the newest change.
func (j *ChangeLog) Last() Cursor { return j.last }

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
func (j *ChangeLog) Since(from Cursor, a Recipient) ([]Change, Cursor) {
	var list []Change
	first := sort.Search(len(j.items), func(i int) bool { return j.items[i].at > from })
	for i := first; i < len(j.items); i++ {
		it := &j.items[i]
		if len(list) == a.MaxChanges {
			return list, it.at - 1
		}
		if j.newest[it.change.subject()] == it.at && a.wants(it) {
			list = append(list, it.change)
		}
	}
	return list, j.last
}

// wants reports whether a change is for the audience. Within a region every
// entry tells its own news to every other, so only news from other regions are
// passed on.
func (a *Recipient) wants(it *journalItem) bool {
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
