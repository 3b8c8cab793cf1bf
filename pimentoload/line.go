package pimentoload

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// RegionSet is a set of regions, one bit for each.
type RegionSet uint64

// AllRegions is the set of a request that any region may serve.
const AllRegions = ^RegionSet(0)

// Waiter is a request that may wait in a Line. Its fields don't change while it is there, but
// for Regions, which SetRegions changes.
type Waiter struct {
	Priority int       // 0 is the highest.
	Regions  RegionSet // Those that may serve it.
	Since    time.Duration
	// Objective is the time after which a response is late, and Deadline that after which
	// its caller has left.
	Objective, Deadline time.Duration
	Work                time.Duration // That a target usually needs.
	Bytes               int           // That are held for it.
	Caller              string
	Returned            bool // Its caller was refused before, and told when to return.
	// Fair is set by Next if it is asked for out of turn, so that its kind doesn't starve.
	Fair bool

	class   *lineClass
	seq     uint64
	waiting bool
}

// latestStart returns the time until which a target has to begin so that the response is in
// time.
func (w *Waiter) latestStart() time.Duration { return w.Objective - w.Work }

// Line holds the requests to one service that wait at an entry, and decides which of them
// is next. The zero value has no bounds. It isn't safe for concurrent use.
//
// More urgent requests come first, then callers that hold or send no more than others, then
// requests that are new, since others are late anyway, then those that fewer regions may
// serve. Among equals, it is the one that has waited longest,
// and under overload the one with the least time left among those that can be in time. Each
// fairEvery-th turn goes to the kind that was passed over most often.
type Line struct {
	// MaxLength and MaxBytes bound the requests that wait, and what they hold. 0 means no
	// bound.
	MaxLength, MaxBytes int

	classes []*lineClass // In order. Empty ones are kept up to maxClasses.
	length  int
	bytes   int
	seq     uint64
	turns   int            // Since a kind was given one out of turn.
	held    map[string]int // Waiting requests by caller.
	callers Callers
	room    RoomRate
	returns returnQueue
	paused  []regionPause
}

// lineClass has the waiting requests of one rank.
type lineClass struct {
	classKey
	byAge  []*Waiter // Longest wait first.
	byTime []*Waiter // Least time left first.
	passed int       // Turns that others got while requests waited here.
	asking int       // Requests for which a target is looked for at the moment.
}

type classKey struct {
	priority int
	greedy   bool
	returned bool
	regions  RegionSet
}

// regionPause is until when no target in a set of regions is looked for for requests of a
// priority and lower ones.
type regionPause struct {
	priority int
	regions  RegionSet
	until    time.Duration
}

const (
	// fairEvery is the number of turns of which one goes to the kind that was passed over
	// most often: few enough that urgent requests keep nearly all the room.
	fairEvery = 8
	// maxClasses is the number of ranks above which empty ones are dropped.
	maxClasses = 64
	// maxPauses bounds the sets of regions that are known to have no room.
	maxPauses = 16
)

func compareKeys(a, b classKey) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compareFlags(a.greedy, b.greedy), compareFlags(a.returned, b.returned),
		cmp.Compare(bits.OnesCount64(uint64(a.regions)), bits.OnesCount64(uint64(b.regions))), cmp.Compare(a.regions, b.regions))
}

// compareFlags compares two flags; a set one comes later.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func compareAges(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.seq, b.seq))
}

func compareTimes(a, b *Waiter) int {
	return cmp.Or(cmp.Compare(a.latestStart(), b.latestStart()), cmp.Compare(a.seq, b.seq))
}

// Length returns the number of waiting requests.
func (l *Line) Length() int { return l.length }

// Bytes returns the bytes that waiting requests hold.
func (l *Line) Bytes() int { return l.bytes }

// Oldest returns when the request came that has waited longest, and false if none waits.
func (l *Line) Oldest() (time.Duration, bool) {
	var oldest time.Duration
	found := false
	for _, c := range l.classes {
		if len(c.byAge) > 0 && (!found || c.byAge[0].Since < oldest) {
			oldest, found = c.byAge[0].Since, true
		}
	}
	return oldest, found
}

// Arrive ranks a request that has come. Its rank doesn't change later, unless its regions do.
func (l *Line) Arrive(now time.Duration, w *Waiter) {
	l.seq++
	w.seq = l.seq
	l.callers.Observe(now, w.Caller)
	w.class = l.classOf(classKey{w.Priority, l.isGreedy(w.Caller), w.Returned, w.Regions})
}

// classOf returns the class of a rank.
func (l *Line) classOf(key classKey) *lineClass {
	i, found := slices.BinarySearchFunc(l.classes, key, func(c *lineClass, k classKey) int { return compareKeys(c.classKey, k) })
	if found {
		return l.classes[i]
	}
	if len(l.classes) >= maxClasses {
		l.classes = slices.DeleteFunc(l.classes, func(c *lineClass) bool { return len(c.byAge) == 0 && c.asking == 0 })
		i, _ = slices.BinarySearchFunc(l.classes, key, func(c *lineClass, k classKey) int { return compareKeys(c.classKey, k) })
	}
	c := &lineClass{classKey: key}
	l.classes = slices.Insert(l.classes, i, c)
	return c
}

// Overflow takes the last request in order out of the line if it exceeds its bounds, and
// returns it, or nil. It is called after each Join until it returns nil.
func (l *Line) Overflow(now time.Duration) *Waiter {
	if (l.MaxLength == 0 || l.length <= l.MaxLength) && (l.MaxBytes == 0 || l.bytes <= l.MaxBytes) {
		return nil
	}
	out := l.last()
	l.Leave(now, out)
	return out
}

// Join adds a request that has arrived.
func (l *Line) Join(now time.Duration, w *Waiter) {
	l.room.SetBusy(now, true)
	w.class = l.classOf(w.class.classKey)
	w.class.insert(w)
	if l.held == nil {
		l.held = make(map[string]int)
	}
	w.waiting = true
	l.held[w.Caller]++
	l.length++
	l.bytes += w.Bytes
}

// Leave removes a request. It reports false if it isn't in the line.
func (l *Line) Leave(now time.Duration, w *Waiter) bool {
	if !w.waiting {
		return false
	}
	w.class.remove(w)
	w.waiting = false
	if l.held[w.Caller]--; l.held[w.Caller] == 0 {
		delete(l.held, w.Caller)
	}
	l.length--
	l.bytes -= w.Bytes
	if l.length == 0 {
		l.room.SetBusy(now, false)
	}
	return true
}

// SetRegions changes the regions that may serve a request that has arrived, and for which no
// target is looked for now. One that waits keeps its place by its age among those of its new rank.
func (l *Line) SetRegions(w *Waiter, regions RegionSet) {
	if w.waiting {
		w.class.remove(w)
	}
	key := w.class.classKey
	key.regions = regions
	w.Regions, w.class = regions, l.classOf(key)
	if w.waiting {
		w.class.insert(w)
	}
}

// insert adds a request to the waiting ones of its rank.
func (c *lineClass) insert(w *Waiter) {
	i, _ := slices.BinarySearchFunc(c.byAge, w, compareAges)
	c.byAge = slices.Insert(c.byAge, i, w)
	i, _ = slices.BinarySearchFunc(c.byTime, w, compareTimes)
	c.byTime = slices.Insert(c.byTime, i, w)
}

// remove takes a request out of the waiting ones of its rank.
func (c *lineClass) remove(w *Waiter) {
	i, _ := slices.BinarySearchFunc(c.byAge, w, compareAges)
	c.byAge = slices.Delete(c.byAge, i, i+1)
	i, _ = slices.BinarySearchFunc(c.byTime, w, compareTimes)
	c.byTime = slices.Delete(c.byTime, i, i+1)
	if len(c.byAge) == 0 {
		c.passed = 0
	}
}

// last returns the last request in order, or nil.
func (l *Line) last() *Waiter {
	for _, c := range slices.Backward(l.classes) {
		if n := len(c.byAge); n > 0 {
			return c.byAge[n-1]
		}
	}
	return nil
}

// Next takes the request out of the line for which a target is to be looked for now, or
// returns nil. Ended tells what became of it.
func (l *Line) Next(now time.Duration, overload bool) *Waiter {
	w := l.peek(now, overload)
	if w == nil {
		return nil
	}
	l.Leave(now, w)
	w.class.asking++
	if w.Fair {
		l.turns = 0 // Others that are asked for meanwhile go in order.
	}
	return w
}

// peek returns what Next returns, and leaves it in the line.
func (l *Line) peek(now time.Duration, overload bool) *Waiter {
	var first, starved *lineClass
	for _, c := range l.classes {
		if len(c.byAge) == 0 || l.isPaused(now, c.priority, c.regions) {
			continue
		}
		if first == nil {
			first = c
		}
		if starved == nil || c.passed > starved.passed {
			starved = c
		}
	}
	if first == nil {
		return nil
	}
	fair := l.turns >= fairEvery-1 && starved != first
	if fair {
		first = starved
	}
	w := first.head(now, overload)
	w.Fair = fair
	return w
}

// head returns the first request of a class that isn't empty.
func (c *lineClass) head(now time.Duration, overload bool) *Waiter {
	if overload {
		i, _ := slices.BinarySearchFunc(c.byTime, now, func(w *Waiter, now time.Duration) int { return cmp.Compare(w.latestStart(), now) })
		if i < len(c.byTime) {
			return c.byTime[i]
		}
	}
	return c.byAge[0]
}

// Ended records the end of a look for a target for a request from Next, Ask or Claim,
// sent if it got one.
func (l *Line) Ended(now time.Duration, w *Waiter, sent bool) {
	w.class.asking--
	if !sent {
		if w.Fair {
			l.turns = fairEvery - 1 // The turn out of order is still due.
		}
		return
	}
	l.room.Observe(now, w.Priority)
	w.class.passed = 0
	if !w.Fair {
		l.turns++
	}
	for _, c := range l.classes {
		if c != w.class && len(c.byAge) > 0 {
			c.passed++
		}
	}
}

// Ask reports whether a target may be looked for at once for a request that has arrived: no
// request of the same or a higher rank waits that could use the same target, and targets
// aren't known to have no room.
func (l *Line) Ask(now time.Duration, w *Waiter) bool {
	if l.length > 0 && l.isPaused(now, w.Priority, w.Regions) {
		return false
	}
	for _, c := range l.classes {
		if compareKeys(c.classKey, w.class.classKey) > 0 {
			break
		}
		if len(c.byAge) > 0 && c.regions&w.Regions != 0 {
			return false
		}
	}
	l.Claim(now, w)
	return true
}

// Pause records that no target in a set of regions has room for a request of a priority, and
// that none is looked for in it for such and less urgent ones until the given time.
func (l *Line) Pause(now time.Duration, priority int, regions RegionSet, until time.Duration) {
	l.paused = slices.DeleteFunc(l.paused, func(p regionPause) bool {
		return p.until <= now || p.regions == regions && p.priority == priority
	})
	if len(l.paused) < maxPauses {
		l.paused = append(l.paused, regionPause{priority, regions, until})
	}
}

// isPaused reports whether none of the regions is known to have room for a priority.
func (l *Line) isPaused(now time.Duration, priority int, regions RegionSet) bool {
	for _, p := range l.paused {
		if now < p.until && p.priority <= priority && regions&^p.regions == 0 {
			return true
		}
	}
	return false
}

// Heads appends the first requests of the ranks, in order, to list: those that may use an
// offer that another one couldn't.
func (l *Line) Heads(list []*Waiter, now time.Duration, overload bool) []*Waiter {
	for _, c := range l.classes {
		if len(c.byAge) > 0 && len(list) < maxHeads {
			list = append(list, c.head(now, overload))
		}
	}
	return list
}

// maxHeads bounds the requests to which an offer is shown.
const maxHeads = 8

// Claim takes a request out of the line, if it is there, because it gets an offer or looks
// for a target out of turn. Ended tells what became of it.
func (l *Line) Claim(now time.Duration, w *Waiter) {
	l.Leave(now, w)
	w.Fair = false
	w.class = l.classOf(w.class.classKey)
	w.class.asking++
}
