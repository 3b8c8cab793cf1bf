package pimentofeed

import (
	"maps"
	"strconv"
	"time"

	"pgregory.net/rapid"
)

// writtenItem is one write of an item by its owner.
type writtenItem struct {
	number int // Increases with each write of the item.
	value  string
}

// restorable models a store that comes back from copies of itself, and the owners of its
// items, which write again what they have written. It is the oracle of the test.
type restorable struct {
	publisher
	era    Era
	copied publisher
	// written has all writes of each item. Values are their numbers, "" for a removal.
	written map[string][]writtenItem
}

// newRestorable returns an empty store in its first era.
func newRestorable() *restorable {
	return &restorable{publisher: publisher{items: make(map[string]Item), rev: 1}, era: 1, written: make(map[string][]writtenItem)}
}

// write changes an item as its owner does.
func (s *restorable) write(key string, remove bool) {
	n := len(s.written[key]) + 1
	value := strconv.Itoa(n)
	if remove {
		value = ""
	}
	s.written[key] = append(s.written[key], writtenItem{n, value})
	s.change(key, value)
}

// copyNow makes a copy from which the store may come back.
func (s *restorable) copyNow() {
	s.copied = publisher{items: maps.Clone(s.items), history: append([]Item(nil), s.history...), rev: s.rev, compactedTo: s.compactedTo}
}

// restore brings the store back from its copy.
func (s *restorable) restore() {
	s.publisher = publisher{items: maps.Clone(s.copied.items), history: append([]Item(nil), s.copied.history...), rev: s.copied.rev, compactedTo: s.copied.compactedTo}
	s.era++
}

// rewrite writes again the last writes that the store has lost.
func (s *restorable) rewrite() {
	for key, writes := range s.written {
		last := writes[len(writes)-1].value
		if string(s.items[key].Value) != last {
			s.change(key, last)
		}
	}
}

func (s *restorable) readNow() Update {
	u := s.read()
	u.Era = s.era
	return u
}

// observer follows what one state shows of the items, and fails if it goes back.
type observer struct {
	state *State
	// reached is the number of the last write of each item that the state is known to have.
	reached map[string]int
	// doubted is the era in which the state last disputed an item, and showed it as removed. It
	// is deleted when the item shows again.
	doubted map[string]Era
}

func newObserver() *observer {
	newer := func(_ string, value, old []byte) bool {
		a, _ := strconv.Atoi(string(value))
		b, _ := strconv.Atoi(string(old))
		return a > b
	}
	restricts := func(key string, _ []byte) bool { return key == restriction }
	return &observer{state: &State{Newer: newer, Restricts: restricts}, reached: make(map[string]int), doubted: make(map[string]Era)}
}

// restriction is the key of the item that keeps requests from targets.
const restriction = "out"

func (o *observer) check(t *rapid.T, s *restorable) {
	shown := contents(o.state)
	for key, writes := range s.written {
		if value, ok := shown[key]; ok {
			n, err := strconv.Atoi(value)
			if err != nil || n < o.reached[key] && !o.mayReturn(key, writes) {
				t.Fatalf("item %s shows write %q after write %d", key, value, o.reached[key])
			}
			o.reached[key] = n
			delete(o.doubted, key)
			continue
		}
		if o.state.isDisputed(key) {
			o.doubted[key] = o.state.At().Era
			continue // Its removal is kept for a while.
		}
		era, doubted := o.doubted[key]
		if o.reached[key] == 0 || doubted && era < o.state.At().Era {
			continue // It may not have been known, or was lost again while it was disputed.
		}
		for _, w := range writes { // The removal that it shows is the next one.
			if w.number >= o.reached[key] && w.value == "" {
				o.reached[key] = w.number
				break
			}
		}
		if last := writes[o.reached[key]-1]; last.value != "" {
			t.Fatalf("item %s is removed after write %d, which no removal followed", key, last.number)
		}
	}
}

// mayReturn reports whether an earlier write of an item may show again: a restriction that the
// copy has may, after its removal.
func (o *observer) mayReturn(key string, writes []writtenItem) bool {
	return key == restriction && writes[o.reached[key]-1].value == ""
}

// checkCurrent fails if a state that has all changes differs from the store, but for the items
// that it disputes. A restriction that the store has is never disputed.
func (o *observer) checkCurrent(t *rapid.T, s *restorable) {
	if o.state.At() != (Point{s.era, s.rev}) {
		return
	}
	shown := contents(o.state)
	for key := range s.written {
		stored, has := s.items[key]
		hidden := has && key == restriction && shown[key] == ""
		if o.state.isDisputed(key) && !hidden {
			continue
		}
		if shown[key] != string(stored.Value) {
			t.Fatalf("a state at %v shows %q for item %s, the store has %q", o.state.At(), shown[key], key, stored.Value)
		}
	}
}

// sentUpdate is an update that one entry has told another one.
type sentUpdate struct {
	Update
	at time.Duration
}

// transitMax is the time for which a message is under way at most, unless its receiver was
// suspended. Its age isn't known to have grown meanwhile.
const transitMax = time.Second

// received returns the update as it is received again at a time.
func (u sentUpdate) received(now time.Duration) Update {
	u.Age += max(0, now-u.at-transitMax)
	return u.Update
}
