package pimentofeed

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/easyproto"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// publisher models the platform: the published items with their history. It is the
// oracle of the test.
type publisher struct {
	items       map[string]Item
	history     []Item
	rev         Revision
	compactedTo Revision // Changes up to here are no longer available.
}

func (s *publisher) change(key, value string) {
	s.rev++
	it := Item{Key: key, Value: []byte(value), Revision: s.rev, Removed: value == ""}
	if it.Removed {
		it.Value = nil
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
}

func (s *publisher) read() Update {
	u := Update{Full: true, AsOf: s.rev}
	for _, it := range s.items {
		u.Items = append(u.Items, it)
	}
	return u
}

// watch returns the changes after a revision, or false if some were compacted.
func (s *publisher) watch(after Revision) (Update, bool) {
	if after < s.compactedTo {
		return Update{}, false
	}
	u := Update{From: after, AsOf: s.rev}
	for _, it := range s.history {
		if it.Revision > after {
			u.Items = append(u.Items, it)
		}
	}
	return u, true
}

// at returns the items that existed at a revision.
func (s *publisher) at(rev Revision) map[string]string {
	m := make(map[string]string)
	for _, it := range s.history {
		if it.Revision > rev {
			break
		}
		if it.Removed {
			delete(m, it.Key)
		} else {
			m[it.Key] = string(it.Value)
		}
	}
	return m
}

func contents(s *State) map[string]string {
	m := make(map[string]string)
	for _, it := range s.Live() {
		m[it.Key] = string(it.Value)
	}
	return m
}

// transfer encodes and decodes an update.
func transfer(t interface{ Fatalf(string, ...any) }, u Update) Update {
	var mp easyproto.MarshalerPool
	m := mp.Get()
	u.Marshal(m.MessageMarshaler())
	var out Update
	if err := out.Unmarshal(m.Marshal(nil)); err != nil {
		t.Fatalf("unmarshal: %v", err)
	}
	return out
}

// Copies read the platform, merge each other's updates in any order, merge old
// updates again, and restart. Their revisions never decrease, and each copy holds
// exactly what was published at its revision.
func TestCopiesAgreeWithHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &publisher{items: make(map[string]Item)}
		copies := make([]*State, 4)
		for i := range copies {
			copies[i] = new(State)
		}
		var sent []Update
		key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		copyIndex := rapid.IntRange(0, len(copies)-1)
		now := time.Duration(0)
		merge := func(s *State, u Update) {
			before := s.AsOf()
			s.Merge(now, transfer(t, u))
			if s.AsOf() < before {
				t.Fatalf("revision fell from %d to %d", before, s.AsOf())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"set":     func(t *rapid.T) { src.change(key.Draw(t, "key"), fmt.Sprint(src.rev)) },
			"remove":  func(t *rapid.T) { src.change(key.Draw(t, "key"), "") },
			"compact": func(t *rapid.T) { src.compactedTo = src.rev },
			"read":    func(t *rapid.T) { merge(copies[copyIndex.Draw(t, "copy")], src.read()) },
			"watch": func(t *rapid.T) {
				s := copies[copyIndex.Draw(t, "copy")]
				if u, ok := src.watch(s.AsOf()); ok && s.AsOf() > 0 {
					merge(s, u)
				}
			},
			"tell": func(t *rapid.T) {
				from, to := copies[copyIndex.Draw(t, "from")], copies[copyIndex.Draw(t, "to")]
				u := from.Since(now, to.At())
				sent = append(sent, u)
				merge(to, u)
			},
			"replay": func(t *rapid.T) {
				if len(sent) > 0 {
					merge(copies[copyIndex.Draw(t, "to")], sent[rapid.IntRange(0, len(sent)-1).Draw(t, "old")])
				}
			},
			"restart": func(t *rapid.T) { copies[copyIndex.Draw(t, "copy")] = new(State) },
			"": func(t *rapid.T) {
				now += time.Millisecond
				for i, s := range copies {
					want := src.at(s.AsOf())
					if got := contents(s); s.AsOf() > 0 && !maps.Equal(got, want) {
						t.Fatalf("copy %d as of %d has %v, want %v", i, s.AsOf(), got, want)
					}
				}
			},
		})
	})
}

// A removal that a full read shows only by a missing item reaches a copy that is
// older than that read.
func TestRemovalReachesOlderCopyAfterFullRead(t *testing.T) {
	is := is.New(t)
	var a, b State
	full := Update{Full: true, AsOf: 10, Items: []Item{{Key: "x", Revision: 3}, {Key: "y", Revision: 4}}}
	a.Merge(0, full)
	b.Merge(0, full)
	a.Merge(0, Update{Full: true, AsOf: 20, Items: []Item{{Key: "y", Revision: 4}}})
	u := a.Since(0, b.At())
	is.True(u.Full) // a doesn't have the changes between 10 and 20.
	changed := b.Merge(0, u)
	is.Equal(len(changed), 1)
	is.Equal(len(b.Live()), 1)
	is.Equal(b.Live()[0].Key, "y")
}

// An old full update doesn't restore an item that was removed before the copy's own
// full read. The copy never had that item.
func TestOldUpdateRestoresNoRemovedItem(t *testing.T) {
	is := is.New(t)
	var s State
	s.Merge(0, Update{Full: true, AsOf: 2})
	changed := s.Merge(0, Update{Full: true, AsOf: 1, Items: []Item{{Key: "a", Value: []byte("0"), Revision: 1}}})
	is.Equal(len(changed), 0)
	is.Equal(len(s.Live()), 0)
	is.Equal(s.AsOf(), Revision(2))
}

// An update that begins after the state's revision leaves a gap, so it is ignored.
func TestUpdateAfterGapIsIgnored(t *testing.T) {
	is := is.New(t)
	var s State
	s.Merge(0, Update{Full: true, AsOf: 5})
	s.Merge(0, Update{From: 7, AsOf: 9, Items: []Item{{Key: "x", Revision: 8}}})
	is.Equal(s.AsOf(), Revision(5))
	is.Equal(len(s.Live()), 0)
}

// The number of removals kept is bounded, and copies that may lack deleted ones get a
// full update.
func TestRemovalsAreBounded(t *testing.T) {
	is := is.New(t)
	var s State
	s.Merge(0, Update{Full: true, AsOf: 1})
	for i := range 3 * maxRemoved {
		rev := Revision(2 + 2*i)
		key := fmt.Sprint("k", i)
		s.Merge(0, Update{From: rev - 1, AsOf: rev, Items: []Item{{Key: key, Revision: rev}}})
		s.Merge(0, Update{From: rev, AsOf: rev + 1, Items: []Item{{Key: key, Revision: rev + 1, Removed: true}}})
	}
	is.True(len(s.items) <= maxRemoved+1)
	is.True(s.Since(0, Point{Revision: 1}).Full)
	is.True(!s.Since(0, Point{Revision: s.AsOf() - 2}).Full)
}

// The age is the lowest that any update or call of Confirm has given.
func TestAge(t *testing.T) {
	is := is.New(t)
	var s State
	_, known := s.Age(0)
	is.True(!known)
	s.Merge(10*time.Second, Update{Full: true, AsOf: 5, Age: 3 * time.Second})
	age, known := s.Age(11 * time.Second)
	is.True(known)
	is.Equal(age, 4*time.Second)
	s.Confirm(12*time.Second, 6*time.Second) // Older than the last confirmation.
	age, _ = s.Age(12 * time.Second)
	is.Equal(age, 5*time.Second)
	s.MarkUnconfirmed()
	_, known = s.Age(12 * time.Second)
	is.True(!known)
}

// Since returns items sorted by revision, so that equal states give equal messages.
func TestSinceIsOrdered(t *testing.T) {
	is := is.New(t)
	var s State
	s.Merge(0, Update{Full: true, AsOf: 9, Items: []Item{{Key: "b", Revision: 7}, {Key: "a", Revision: 3}, {Key: "c", Revision: 5}}})
	u := s.Since(0, Point{})
	is.True(slices.IsSortedFunc(u.Items, func(a, b Item) int { return int(a.Revision) - int(b.Revision) }))
}

// FuzzUpdate decodes arbitrary bytes, and merges those that are valid updates into a fresh
// state, one of the same era and one of an earlier era. Their items stay under their own keys,
// and what they tell others can be decoded.
func FuzzUpdate(f *testing.F) {
	config, left := Item{Key: "config", Value: []byte("2"), Revision: 9}, Item{Key: "left", Revision: 8, Removed: true}
	older, back := Item{Key: "config", Value: []byte("1"), Revision: 3}, Item{Key: "left", Value: []byte("1"), Revision: 4}
	for _, u := range []Update{
		{From: 3, AsOf: 9, Items: []Item{{Key: "k", Value: []byte("v"), Revision: 5}}},
		{Era: 2, Full: true, AsOf: 6, Items: []Item{older, back}},
		{Era: 2, Full: true, AsOf: 6, Items: []Item{config}, Disputes: []Dispute{{Kept: config, Era: 1, Stored: older, Base: 5}, {Kept: left, Era: 1, Stored: back, Base: 5}}, SettlesIn: time.Second},
		{Era: 2, From: 5, AsOf: 5, Disputes: []Dispute{{Kept: config, Stored: Item{Key: "config", Revision: 5, Removed: true}, Base: 5}}, SettlesIn: 1 << 60},
		{Era: 1 << 63, Full: true, AsOf: 1 << 63, Disputes: []Dispute{{Kept: config, Era: 1 << 63, Stored: left, Base: 1 << 63}, {}}},
	} {
		f.Add(marshal(u))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u Update
		if u.Unmarshal(data) != nil {
			return
		}
		for _, known := range []Era{0, 1, 2} {
			s := State{Newer: func(_ string, value, old []byte) bool { return bytes.Compare(value, old) > 0 }}
			if known > 0 {
				s.Merge(0, Update{Era: known, Full: true, AsOf: 9, Items: []Item{config, {Key: "new", Value: []byte("1"), Revision: 7}}})
			}
			s.Merge(0, u)
			checkKeys(t, &s)
			told := s.Since(0, Point{})
			if err := new(Update).Unmarshal(marshal(told)); err != nil {
				t.Fatalf("own update: %v", err)
			}
			s.Confirm(settleTime, 0)
			s.Settle()
			checkKeys(t, &s)
			if s.Disputed() > 0 {
				t.Fatal("disputes after the state has settled")
			}
		}
	})
}

// checkKeys checks that items are under their own keys.
func checkKeys(t *testing.T, s *State) {
	t.Helper()
	for key, it := range s.items {
		if it.Key != key {
			t.Fatalf("item %q is under key %q", it.Key, key)
		}
	}
}

// marshal encodes an update.
func marshal(u Update) []byte {
	var mp easyproto.MarshalerPool
	m := mp.Get()
	u.Marshal(m.MessageMarshaler())
	return m.Marshal(nil)
}
