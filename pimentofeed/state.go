package pimentofeed

import (
	"cmp"
	"slices"
	"time"
)

// Revision numbers the changes of all published items, in order.
type Revision uint64

// Era counts how often the platform's store has come back from an older copy. Revisions of
// different eras can't be compared. It is 0 for a store that states none.
type Era uint64

// Point is a point in the history of the published items.
type Point struct {
	Era      Era
	Revision Revision
}

// Before reports whether the point precedes another one.
func (p Point) Before(other Point) bool {
	return p.Era < other.Era || (p.Era == other.Era && p.Revision < other.Revision)
}

// Item is one published value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Removed  bool
}

// Update holds the changes that another state lacks, or the result of reading the
// platform.
type Update struct {
	// Era is that of all revisions in the update.
	Era Era
	// From is the revision after which the update has all changes. It is ignored in
	// full updates.
	From Revision
	// AsOf is the revision up to which the update is complete.
	AsOf Revision
	// Full means that items that aren't listed don't exist.
	Full bool
	// Items are the changes, or all items.
	Items []Item
	// Disputes are the items that the sender keeps although the store has others, and
	// SettlesIn is how much longer it does. Updates from the store have none.
	Disputes  []Dispute
	SettlesIn time.Duration
	// Age is the time since an entry that reads the platform confirmed that AsOf is
	// current.
	Age time.Duration
}

// maxRemoved bounds the removals that are kept.
const maxRemoved = 4096

// State is one copy of all items. The zero value is empty and ready to use. It
// isn't safe for concurrent use.
type State struct {
	// Newer reports whether one value of an item was surely written after another one. It
	// is set before the first update, and may be nil.
	Newer func(key string, value, old []byte) bool
	// Restricts reports whether an item, as long as it exists, keeps requests from targets. It
	// is set before the first update, and may be nil. When the store has come back from an
	// older copy, such an item counts at once: obeying one that has ended costs less than
	// missing one that the store has acknowledged.
	Restricts func(key string, value []byte) bool

	era Era
	// disputes are by key. They end at settleAt.
	disputes map[string]Dispute
	settleAt time.Duration
	// prior are the points, before this era, at which the known items were written. It is nil
	// once the state has settled.
	prior map[string]Point
	// written has the items whose change in this era was seen. It is nil once the state has
	// settled.
	written map[string]bool
	// items includes removals. All removals after removalsSince are kept, and
	// removed counts those that are kept.
	items               map[string]Item
	asOf, removalsSince Revision
	removed             int
	confirmed           bool
	confirmedAt         time.Duration
}

// AsOf returns the revision up to which the state is complete, or 0 before the first
// update.
func (s *State) AsOf() Revision { return s.asOf }

// At returns the point up to which the state is complete.
func (s *State) At() Point { return Point{s.era, s.asOf} }

// Age returns the time since the state was last confirmed to be current, and false if
// it is unconfirmed.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	return max(0, now-s.confirmedAt), s.confirmed
}

// MarkUnconfirmed makes the state count as unconfirmed. It is called after the machine
// was suspended.
func (s *State) MarkUnconfirmed() { s.confirmed = false }

// Confirm records that the state was current at the time now-age.
func (s *State) Confirm(now, age time.Duration) {
	at := now - age
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed = true
		s.confirmedAt = at
	}
}

// Live returns the items that exist, sorted by key.
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

// Merge applies an update and returns the items that have changed. It ignores an
// update that begins after the state's revision, because changes between would be
// missing, and one of an earlier era.
func (s *State) Merge(now time.Duration, u Update) []Item {
	switch {
	case u.Era < s.era, !u.Full && (u.Era > s.era || u.From > s.asOf):
		return nil
	case u.Era > s.era && s.asOf > 0:
		return s.enterEra(now, u)
	case s.asOf == 0:
		s.era = u.Era
		s.settleAt = now + cmp.Or(u.SettlesIn, settleTime)
		s.prior, s.written = make(map[string]Point), make(map[string]bool)
	}
	return append(s.mergeItems(now, u), s.mergeDisputes(u)...)
}

// mergeItems applies an update of the state's era.
func (s *State) mergeItems(now time.Duration, u Update) []Item {
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	var changed []Item
	oldAsOf := s.asOf
	for _, it := range u.stored() {
		// The state was complete up to oldAsOf: older items that it lacks were removed.
		if it.Revision > oldAsOf && s.putNewer(it) {
			changed = append(changed, it)
		}
	}
	if u.Full && u.AsOf > s.asOf {
		changed = append(changed, s.removeMissing(u)...)
		s.removalsSince = u.AsOf
	}
	if oldAsOf > 0 {
		s.recordWritten(changed)
	}
	if u.AsOf >= s.asOf {
		s.asOf = u.AsOf
		s.Confirm(now, u.Age)
	}
	s.prune()
	return changed
}

// putNewer stores an item if its revision is higher than that of the stored one. It
// reports whether the items that exist have changed.
func (s *State) putNewer(it Item) bool {
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
	delete(s.disputes, it.Key)
	return !it.Removed || (known && !old.Removed)
}

// removeMissing removes the items that a full update doesn't list, and returns the
// removals.
func (s *State) removeMissing(u Update) []Item {
	stored := u.stored()
	listed := make(map[string]bool, len(stored))
	for _, it := range stored {
		listed[it.Key] = true
	}
	s.dropRemovedDisputes(listed, u.AsOf)
	var removals []Item
	for key, it := range s.items {
		if it.Removed || listed[key] || it.Revision > u.AsOf || s.isDisputed(key) {
			continue
		}
		removal := Item{Key: key, Revision: u.AsOf, Removed: true}
		s.items[key] = removal
		s.removed++
		removals = append(removals, removal)
	}
	return removals
}

// prune deletes the oldest removals when there are more than maxRemoved, and keeps
// about half of maxRemoved.
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
	s.removalsSince = max(s.removalsSince, revisions[len(revisions)-maxRemoved/2])
	for key, it := range s.items {
		if it.Removed && it.Revision <= s.removalsSince {
			delete(s.items, key)
			s.removed--
		}
	}
}

// Since returns what a state that is complete up to a point lacks: the changes after it, or
// all items if it is of another era, its revision is 0 or not all removals after it are kept.
func (s *State) Since(now time.Duration, at Point) Update {
	after := at.Revision
	u := Update{Era: s.era, From: after, AsOf: s.asOf, Full: at.Era != s.era || after == 0 || after < s.removalsSince}
	u.Age, _ = s.Age(now)
	u.Disputes, u.SettlesIn = s.listDisputes(), max(0, s.settleAt-now)
	for _, it := range s.items {
		if (u.Full && !it.Removed) || (!u.Full && it.Revision > after) {
			u.Items = append(u.Items, it)
		}
	}
	slices.SortFunc(u.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return u
}
