package pimentofeed

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Dispute is an item that differs from the store's since the store came back from an older
// copy, and that may have been written after the copy was made. It is kept until it is
// written again, or until the state settles.
type Dispute struct {
	// Kept is the item that is in effect, with its revision in the earlier era Era.
	Kept Item
	Era  Era
	// Stored is what the store has: an older item, or a removal if it has none.
	Stored Item
	// Base is the revision, in the new era, at which the store had Stored. A change after it
	// ends the dispute.
	Base Revision
}

// settleTime is the time after the beginning of an era at which what the store has counts.
// It is longer than an item without a living writer stays published, so that a target that
// left isn't in service again.
const settleTime = 6 * time.Second

// enterEra replaces the items by those of a full update of a later era. An item is taken over
// if it was surely written after the one that is known, or is a restriction whose removal is
// known. Others are kept, as the store may have lost a change that it has acknowledged. It
// returns the items that have changed.
func (s *State) enterEra(now time.Duration, u Update) []Item {
	known, asOf, missedEra := s.items, s.asOf, u.Era > s.era+1
	s.prior, s.written = s.points(), make(map[string]bool)
	s.items, s.disputes, s.removed = make(map[string]Item), make(map[string]Dispute), 0
	s.era, s.asOf, s.removalsSince = u.Era, u.AsOf, u.AsOf
	s.settleAt = now + cmp.Or(u.SettlesIn, settleTime)
	s.confirmed = false
	s.Confirm(now, u.Age)
	var changed []Item
	for _, it := range u.stored() {
		old, ok := known[it.Key]
		delete(known, it.Key)
		if ok && !s.overridesRemoval(it, old) && !s.wasWrittenAfter(it, old) {
			s.keep(old, it)
			continue
		}
		s.items[it.Key] = it
		if ok && !old.Removed && bytes.Equal(old.Value, it.Value) {
			continue
		}
		changed = append(changed, it)
		// All changes up to asOf were known, so that this revision was given out again, in this
		// era unless one was missed.
		s.written[it.Key] = ok && it.Revision > old.Revision && it.Revision <= asOf && !missedEra
		s.prior[it.Key] = Point{Revision: it.Revision}
	}
	for key, old := range known {
		stored := Item{Key: key, Revision: u.AsOf, Removed: true}
		if old.Removed {
			s.items[key] = stored
			s.removed++
			continue
		}
		s.keep(old, stored)
	}
	s.prune()
	return append(changed, s.mergeDisputes(u)...)
}

// points returns the point at which each known item was written. Its era is 0 if that isn't
// known.
func (s *State) points() map[string]Point {
	points := make(map[string]Point, len(s.items))
	for key, it := range s.items {
		p := Point{s.era, it.Revision}
		if s.prior != nil && !s.written[key] { // It may have been in the copy.
			p = s.prior[key]
		}
		points[key] = p
	}
	for key, d := range s.disputes {
		points[key] = Point{d.Era, d.Kept.Revision}
	}
	return points
}

// stored returns the items that the store has.
func (u *Update) stored() []Item {
	if len(u.Disputes) == 0 {
		return u.Items
	}
	kept := make(map[string]bool, len(u.Disputes))
	var items []Item
	for _, d := range u.Disputes {
		kept[d.Kept.Key] = true
		if !d.Stored.Removed {
			items = append(items, d.Stored)
		}
	}
	for _, it := range u.Items {
		if !kept[it.Key] {
			items = append(items, it)
		}
	}
	return items
}

// wasWrittenAfter reports whether an item of a new era was surely written after the one that
// is known of the era before. The state had all changes up to its revision, so that a change
// of the item which it doesn't know, and whose revision is higher, is of the new era.
func (s *State) wasWrittenAfter(it, old Item) bool {
	switch {
	case !old.Removed && bytes.Equal(it.Value, old.Value):
		return true
	case it.Revision > old.Revision:
		return true
	case old.Removed || s.Newer == nil:
		return false
	}
	return s.Newer(it.Key, it.Value, old.Value)
}

// overridesRemoval reports whether an item of the store's is a restriction that holds although
// its removal is known. It may have been written since the store came back, or be older than
// the removal: their revisions can't be compared. Its owner removes it again in the second case.
func (s *State) overridesRemoval(stored, known Item) bool {
	return known.Removed && !stored.Removed && s.Restricts != nil && s.Restricts(stored.Key, stored.Value)
}

// keep keeps an item in place of what the store has.
func (s *State) keep(kept, stored Item) {
	d := Dispute{Kept: kept, Era: s.prior[kept.Key].Era, Stored: stored, Base: s.asOf}
	d.Kept.Revision = s.prior[kept.Key].Revision
	s.disputes[kept.Key] = d
	s.putKept(kept, s.asOf)
}

// putKept puts an item into effect, with a revision of the present era.
func (s *State) putKept(kept Item, base Revision) {
	if old, ok := s.items[kept.Key]; ok && old.Removed {
		s.removed--
	}
	if kept.Removed {
		s.removed++
	}
	kept.Revision = base
	s.items[kept.Key] = kept
}

// mergeDisputes takes over the disputes of another state of the same era, and returns the
// items that have changed. Of two items that are kept, the one that was surely written later
// counts.
func (s *State) mergeDisputes(u Update) []Item {
	if s.prior == nil { // The state has settled.
		return nil
	}
	var changed []Item
	for _, d := range u.Disputes {
		if s.overridesRemoval(d.Stored, d.Kept) {
			continue // The peer runs an earlier release.
		}
		it, known := s.items[d.Kept.Key]
		if known && it.Revision > d.Base || s.written[d.Kept.Key] {
			continue
		}
		if !known && !d.Stored.Removed && s.asOf >= d.Base { // Its owner has removed it since.
			continue
		}
		if s.disputes == nil {
			s.disputes = make(map[string]Dispute)
		}
		at := Point{d.Era, d.Kept.Revision}
		if prior, ok := s.prior[d.Kept.Key]; ok && known && !(prior.Era > 0 && prior.Before(at)) {
			d.Kept, d.Era = it, prior.Era
			d.Kept.Revision = prior.Revision
			s.disputes[d.Kept.Key] = d // Peers must hear of the later item.
			continue
		}
		s.prior[d.Kept.Key] = at
		s.disputes[d.Kept.Key] = d
		s.putKept(d.Kept, d.Base)
		if !known || it.Removed != d.Kept.Removed || !bytes.Equal(it.Value, d.Kept.Value) {
			changed = append(changed, s.items[d.Kept.Key])
		}
	}
	return changed
}

// recordWritten records items that were written again since the era began.
func (s *State) recordWritten(items []Item) {
	if s.written == nil {
		return
	}
	for _, it := range items {
		s.written[it.Key] = true
	}
}

// isDisputed reports whether an item is kept although the store has another one.
func (s *State) isDisputed(key string) bool {
	_, ok := s.disputes[key]
	return ok
}

// dropRemovedDisputes ends the disputes about items that the store had when its era began and
// doesn't have any more, as of a later revision: their owners have removed them since. A kept
// removal gets that revision, so that no late message revives the dispute.
func (s *State) dropRemovedDisputes(listed map[string]bool, asOf Revision) {
	for key, d := range s.disputes {
		if d.Stored.Removed || listed[key] || asOf <= d.Base {
			continue
		}
		delete(s.disputes, key)
		if d.Kept.Removed {
			s.putKept(d.Kept, asOf)
		}
	}
}

// Disputed returns the number of items that are kept although the store has others.
func (s *State) Disputed() int { return len(s.disputes) }

// DisputeDigest returns a hash of the disputes, 0 without any.
func (s *State) DisputeDigest() uint64 {
	if len(s.disputes) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, d := range s.listDisputes() {
		_, _ = h.Write([]byte(d.Kept.Key))
		_, _ = h.Write(strconv.AppendUint([]byte{0}, uint64(d.Era), 10))
		_, _ = h.Write(strconv.AppendUint([]byte{0}, uint64(d.Kept.Revision), 10))
	}
	return h.Sum64()
}

// listDisputes returns the disputes, sorted by key.
func (s *State) listDisputes() []Dispute {
	return slices.SortedFunc(maps.Values(s.disputes), func(a, b Dispute) int { return cmp.Compare(a.Kept.Key, b.Kept.Key) })
}

// Settle ends the disputes once the state is confirmed as of a moment after their time: what
// the store has counts then. It returns the items that have changed.
func (s *State) Settle() []Item {
	if s.prior == nil || !s.confirmed || s.confirmedAt < s.settleAt {
		return nil
	}
	var changed []Item
	for _, d := range s.listDisputes() {
		s.putKept(d.Stored, max(s.items[d.Kept.Key].Revision, d.Base)) // The kept removal may be pruned.
		changed = append(changed, s.items[d.Kept.Key])
	}
	s.disputes, s.prior, s.written = nil, nil, nil
	return changed
}
