package pimentoload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendAtRate lets n requests of a priority be sent in a second while others wait.
func sendAtRate(l *Line, now time.Duration, n, priority int) {
	for i := range n {
		at := now + time.Duration(i)*time.Second/time.Duration(n)
		w := newWaiter(at, priority, "a")
		l.Arrive(at, w)
		l.Claim(at, w)
		l.Ended(at, w, true)
	}
}

// A request is shed at once when the requests before it take the room that comes before it
// would be late; one whose caller was told to return isn't.
func TestShed(t *testing.T) {
	is := is.New(t)
	var l Line
	now := time.Second
	for range 10 {
		joined(&l, newWaiter(0, 0, "a"))
	}
	is.Equal(l.Shed(0, nil), nil) // The rate isn't known.
	sendAtRate(&l, 0, 20, 2)
	w := newWaiter(now, 1, "b") // Ten before it take half a second.
	joined(&l, w)
	wait := l.ExpectedWait(now, w)
	is.True(wait > 450*ms && wait < 550*ms)
	is.Equal(l.Shed(now, w), w)
	w = newWaiter(now, 1, "b")
	w.Returned = true
	joined(&l, w)
	is.Equal(l.Shed(now, w), nil)
	l.Leave(now, w)
	w = newWaiter(now, 0, "b") // As urgent as those before it, and there is time.
	w.Objective = now + time.Second
	joined(&l, w)
	is.Equal(l.Shed(now, w), nil)
	more := newWaiter(now, 2, "c")
	more.Objective = now + 800*ms
	joined(&l, more)
	is.Equal(l.Shed(now, more), nil)
	for range 4 { // Later ones that are more urgent push it back.
		joined(&l, newWaiter(now, 0, "a"))
	}
	is.Equal(l.Shed(now, nil), more)
}

// A request for which room comes too late is shed also while others wait behind it that have
// time.
func TestShedBeforeOthers(t *testing.T) {
	is := is.New(t)
	var l Line
	now := time.Second
	for range 10 {
		joined(&l, newWaiter(0, 0, "a"))
	}
	sendAtRate(&l, 0, 20, 2)
	behind := newWaiter(now, 2, "c")
	behind.Objective = now + 5*time.Second
	joined(&l, behind)
	is.Equal(l.Shed(now, behind), nil)
	w := newWaiter(now, 1, "b") // Ten before it take half a second.
	joined(&l, w)
	is.Equal(l.Shed(now, w), w)
	is.Equal(l.Shed(now, w), nil)
}

// A request isn't shed for those of its rank that came before it but have more time left, since
// under overload its turn comes first.
func TestShedByTimeLeft(t *testing.T) {
	is := is.New(t)
	var l Line
	now := time.Second
	for range 20 {
		w := newWaiter(0, 1, "a")
		w.Objective = 4 * time.Second
		joined(&l, w)
	}
	sendAtRate(&l, 0, 20, 2)
	w := newWaiter(now, 1, "b")
	joined(&l, w)
	is.Equal(l.Shed(now, w), nil)
	is.Equal(l.Next(now, true), w)
}

// Callers return at the rate at which room comes, the most urgent first.
func TestReturnForRoom(t *testing.T) {
	is := is.New(t)
	var l Line
	is.Equal(l.Return(0, 1, Backlog{}), time.Duration(0)) // The rate isn't known.
	joined(&l, newWaiter(0, 0, "a"))
	sendAtRate(&l, 0, 20, 2)
	now := time.Second
	near := func(got, want time.Duration) bool { return got > want*9/10-ms && got < want*11/10+ms }
	is.True(near(l.Return(now, 1, Backlog{}), 100*ms)) // One waits.
	is.True(near(l.Return(now, 1, Backlog{}), 150*ms))
	is.True(near(l.Return(now, 0, Backlog{}), 100*ms)) // Before those.
	is.True(near(l.Return(now, 1, Backlog{}), 250*ms))
	is.True(near(l.Return(now, 1, Backlog{Waiting: 10, Rate: 80}), 160*ms))
	sendAtRate(&l, now, 20, 2)
	now += time.Second
	is.True(near(l.Return(now, 1, Backlog{}), 100*ms)) // The others are back.
}

// Callers that were told to return are back long after the last request waited, however many
// there were.
func TestReturnsAreForgotten(t *testing.T) {
	is := is.New(t)
	var l Line
	w := newWaiter(0, 0, "a")
	joined(&l, w)
	sendAtRate(&l, 0, 20, 2)
	for range 1000 {
		l.Return(time.Second, 1, Backlog{})
	}
	l.Leave(time.Second, w)
	later := time.Minute
	for now := time.Second; now < later; now += time.Second {
		l.Backlog(now) // As for the messages to other entries.
	}
	joined(&l, newWaiter(later, 0, "a"))
	sendAtRate(&l, later, 20, 2)
	is.True(l.Return(later+time.Second, 1, Backlog{}) < 150*ms)
}

// Room that more urgent requests take isn't expected by less urgent ones.
func TestRoomTakenByUrgent(t *testing.T) {
	is := is.New(t)
	var l Line
	joined(&l, newWaiter(0, 0, "a"))
	sendAtRate(&l, 0, 20, 0)
	sendAtRate(&l, 0, 5, 1)
	urgent, other := newWaiter(time.Second, 0, "b"), newWaiter(time.Second, 1, "b")
	joined(&l, newWaiter(time.Second, 1, "a"), urgent, other)
	is.True(l.ExpectedWait(time.Second, urgent) < 60*ms)
	is.True(l.ExpectedWait(time.Second, other) > 200*ms)
}

// The rate of room is that while requests wait.
func TestRoomRate(t *testing.T) {
	is := is.New(t)
	var r RoomRate
	is.Equal(r.Rate(0, 0), 0.0)
	for i := range 100 {
		r.Observe(time.Duration(i)*ms, 1)
	}
	is.Equal(r.Rate(100*ms, 0), 0.0)
	r.SetBusy(time.Second, true)
	is.Equal(r.Rate(time.Second+50*ms, 0), 0.0)
	is.Equal(r.Rate(time.Second+500*ms, 0), 2.0) // None came for half a second.
	for i := range 20 {
		r.Observe(time.Second+time.Duration(i)*50*ms, 1)
	}
	got := r.Rate(2*time.Second, 0)
	is.True(got > 17 && got < 23)
	r.SetBusy(2*time.Second, false)
	is.Equal(r.Rate(2*time.Second+2*rateMemory, 0), 0.0)
}
