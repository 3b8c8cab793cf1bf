package pimentofeed

import (
	"cmp"
	"slices"
	"time"
)

// Revision numbers the changes of everything that is published.
type Revision uint64

// Item is one published value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// Update is what one state tells another, or what a read of the platform gave.
type Update struct {
	// From is the revision after which the changes are complete. It is ignored
	// in full updates.
	From Revision
	// AsOf is the revision up to which the update is complete.
	AsOf Revision
	// Full means that items which aren't named don't exist.
	Full bool
	// Items are the changes, or all items.
	Items []Item
	// Age is the time since a reader confirmed AsOf with the platform.
	Age time.Duration
}

// maxRemoved bounds the removals that are remembered.
const maxRemoved = 4096

// State is one copy of all items. The zero value is ready to use and knows
// nothing. It isn't safe for concurrent use.
type State struct {
	items       map[string]Item
	asOf, base  Revision
	removed     int
	confirmed   bool
	confirmedAt time.Duration
}

// AsOf returns the revision up to which the state is complete, 0 if it never was.
func (s *State) AsOf() Revision { return s.asOf }

// Age returns the time since a reader has confirmed the state, and false if
// none has.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-s.confirmedAt), s.confirmed
}

// MarkUnconfirmed makes the state count as unconfirmed, because the process was paused.
func (s *State) MarkUnconfirmed() { s.confirmed = false }

// Confirm notes that a reader knows the state to be current, up to an age.
func (s *State) Confirm(now, age time.Duration) {
	at := now - age
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed = true
		s.confirmedAt = at
	}
}

// Live returns the items that exist, in the order of their keys.
func (s *State) Live() []Item {
	list := make([]Item, 0, len(s.items))
	for _, it := range s.items {
		if !it.Removed {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Merge takes an update and returns the items that have changed. An update
// that leaves a gap after what the state knows is ignored.
func (s *State) Merge(now time.Duration, u Update) []Item {
	if !u.Full && u.From > s.asOf {
		return nil
	}
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	var changed []Item
	known := s.asOf
	for _, it := range u.Items {
		// Up to known the state is complete: what it doesn't have is removed.
		if it.Revision > known && s.put(it) {
			changed = append(changed, it)
		}
	}
	if u.Full && u.AsOf > s.asOf {
		changed = append(changed, s.removeMissing(u)...)
		s.base = u.AsOf
	}
	if u.AsOf >= s.asOf {
		s.asOf = u.AsOf
		s.Confirm(now, u.Age)
	}
	s.prune()
	return changed
}

// put keeps the newer one of two items.
func (s *State) put(it Item) bool {
	old, known := s.items[it.Key]
	if known && old.Revision >= it.Revision {
		return false
	}
	if known && old.Removed {
		s.removed--
	}
	if it.Removed {
		s.removed++
		it.Value = nil
	}
	s.items[it.Key] = it
	return !it.Removed || (known && !old.Removed)
}

// removeMissing removes what a full update doesn't name.
func (s *State) removeMissing(u Update) []Item {
	named := make(map[string]bool, len(u.Items))
	for _, it := range u.Items {
		named[it.Key] = true
	}
	var gone []Item
	for key, it := range s.items {
		if it.Removed || named[key] || it.Revision > u.AsOf {
			continue
		}
		removal := Item{Key: key, Revision: u.AsOf, Removed: true}
		s.items[key] = removal
		s.removed++
		gone = append(gone, removal)
	}
	return gone
}

// prune forgets the oldest removals above maxRemoved.
func (s *State) prune() {
	if s.removed <= maxRemoved {
		return
	}
	var revisions []Revision
	for _, it := range s.items {
		if it.Removed {
			revisions = append(revisions, it.Revision)
		}
	}
	slices.Sort(revisions)
	s.base = max(s.base, revisions[len(revisions)-maxRemoved/2])
	for key, it := range s.items {
		if it.Removed && it.Revision <= s.base {
			delete(s.items, key)
			s.removed--
		}
	}
}

// Since returns what a state that is complete up to a revision lacks.
func (s *State) Since(now time.Duration, after Revision) Update {
	u := Update{From: after, AsOf: s.asOf, Full: after == 0 || after < s.base}
	u.Age, _ = s.Age(now)
	for _, it := range s.items {
		if (u.Full && !it.Removed) || (!u.Full && it.Revision > after) {
			u.Items = append(u.Items, it)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return u
}
