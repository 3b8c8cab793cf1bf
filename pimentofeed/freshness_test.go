package pimentofeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleetOracle is a fleet of entries that read a store and tell each other, with messages that
// arrive late, twice or never. It knows when the store acknowledged each revision.
type fleetOracle struct {
	now     time.Duration   // True time.
	acked   []time.Duration // Of revision i+1.
	entries []*oracleEntry
	transit []oracleMessage
}

// oracleEntry is one entry. Its clock differs from the true time by offset.
type oracleEntry struct {
	offset    time.Duration
	revision  Revision
	freshness Freshness
	stamps    Stamps
	echoes    map[int]uint64 // The last stamp of each other entry.
}

// oracleMessage is a message between entries, or an answer of the store if asked is set.
type oracleMessage struct {
	from, to  int
	statement Statement
	revision  Revision
	asked     bool
	sentAt    time.Duration // By the reader's clock.
}

func (e *oracleEntry) clock(now time.Duration) time.Duration { return now + e.offset }

// message returns what an entry sends to another one now.
func (o *fleetOracle) message(from, to int) oracleMessage {
	e := o.entries[from]
	now := e.clock(o.now)
	st := Statement{Stamp: e.stamps.Issue(now), Echo: e.echoes[to]}
	st.Age, st.Known = e.freshness.Age(now)
	return oracleMessage{from: from, to: to, statement: st, revision: e.revision}
}

func (o *fleetOracle) deliver(m oracleMessage) {
	e := o.entries[m.to]
	e.revision = max(e.revision, m.revision)
	if m.asked {
		e.freshness.Confirm(m.sentAt)
		return
	}
	e.echoes[m.from] = m.statement.Stamp
	if at, ok := e.stamps.ConfirmedAt(m.statement, e.clock(o.now)); ok {
		e.freshness.Confirm(at)
	}
}

// askStore lets an entry watch the store. The question arrives after a while, and the store
// answers at the first change, after the wait, or earlier without one. The answer is dated as
// if it arrived at once, and is applied later or never.
func (o *fleetOracle) askStore(t *rapid.T, i int) {
	e := o.entries[i]
	ms := func(most int, what string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, what)) * time.Millisecond
	}
	asked, wait := e.clock(o.now), ms(2500, "to wait")
	o.now += ms(500, "way")
	u := Update{AsOf: Revision(len(o.acked))}
	switch full := u.AsOf > e.revision; {
	case full, rapid.IntRange(0, 2).Draw(t, "changes") == 0:
		if !full {
			o.now += ms(int(wait.Milliseconds()), "until the change")
			o.acked = append(o.acked, o.now)
			u.AsOf++
		}
		u.Items = []Item{{Revision: u.AsOf}}
	case rapid.IntRange(0, 3).Draw(t, "early") == 0:
		o.now += min(wait, ms(200, "early after"))
	default:
		o.now += wait
	}
	at := CurrentAt(&u, asked, e.clock(o.now), wait)
	o.transit = append(o.transit, oracleMessage{to: i, asked: true, sentAt: at, revision: u.AsOf})
}

// check fails if an entry may send with a key that was taken away longer ago than allowed.
func (o *fleetOracle) check(t *rapid.T, bound AgeBound) {
	for i, e := range o.entries {
		age, known := e.freshness.Age(e.clock(o.now))
		if !bound.Allows(age, known) {
			continue
		}
		for rev, at := range o.acked {
			if Revision(rev+1) > e.revision && o.now-at > bound.After {
				t.Fatalf("at %v entry %d at revision %d still sends, revision %d was acknowledged at %v", o.now, i, e.revision, rev+1, at)
			}
		}
	}
}

// Whatever is cut, delayed, delivered twice or restarted: no entry sends with a key longer
// than the bound after the store acknowledged its removal.
func TestNoEntrySendsWithOldKeys(t *testing.T) {
	bound := AgeBound{After: 5 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		o := &fleetOracle{now: time.Hour}
		size := rapid.IntRange(1, 4).Draw(t, "entries")
		for range size {
			o.entries = append(o.entries, &oracleEntry{
				offset: time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "offset")) * time.Second,
				stamps: Stamps{Nonce: rapid.Uint64().Draw(t, "nonce")}, echoes: make(map[int]uint64),
			})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			o.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pass")) * time.Millisecond
			i := rapid.IntRange(0, size-1).Draw(t, "entry")
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0:
				o.acked = append(o.acked, o.now)
			case 1, 2:
				o.askStore(t, i)
			case 3, 4, 5:
				if j := rapid.IntRange(0, size-1).Draw(t, "peer"); j != i {
					o.transit = append(o.transit, o.message(i, j))
				}
			case 6: // Delivered, and kept for a second time.
				if len(o.transit) > 0 {
					o.deliver(o.transit[rapid.IntRange(0, len(o.transit)-1).Draw(t, "message")])
				}
			case 7, 8:
				if n := len(o.transit); n > 0 {
					k := rapid.IntRange(0, n-1).Draw(t, "message")
					m := o.transit[k]
					o.transit = append(o.transit[:k:k], o.transit[k+1:]...)
					o.deliver(m)
				}
			case 10, 11, 12: // A question and its answer, which takes a while.
				if j := rapid.IntRange(0, size-1).Draw(t, "peer"); j != i {
					o.deliver(o.message(i, j))
					answer := o.message(j, i)
					o.now += time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond
					o.deliver(answer)
				}
			case 9: // Started again, with what was on its way still arriving.
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					e := o.entries[i]
					e.revision, e.freshness, e.echoes = 0, Freshness{}, make(map[int]uint64)
					e.stamps.Nonce = rapid.Uint64().Draw(t, "nonce")
					kept := o.transit[:0:0]
					for _, m := range o.transit {
						if !m.asked || m.to != i {
							kept = append(kept, m)
						}
					}
					o.transit = kept
				}
			}
			o.check(t, bound)
		}
	})
}

// An answer without changes confirms the copy as of the end of the wait, and not only as of
// the question. One that came too early, has changes or is a read confirms less.
func TestWaitedAnswerConfirmsAsOfItsEnd(t *testing.T) {
	is := is.New(t)
	const asked, wait = 10 * time.Second, 2 * time.Second
	is.Equal(CurrentAt(&Update{AsOf: 7}, asked, asked+wait, wait), asked+wait)
	is.Equal(CurrentAt(&Update{AsOf: 7}, asked, asked+time.Minute, wait), asked+wait)
	is.Equal(CurrentAt(&Update{AsOf: 7}, asked, asked+wait-1, wait), asked)
	is.Equal(CurrentAt(&Update{AsOf: 7, Items: []Item{{}}}, asked, asked+wait, wait), asked)
	is.Equal(CurrentAt(&Update{AsOf: 7, Full: true}, asked, asked+wait, 0), asked)
	is.Equal(CurrentAt(&Update{AsOf: 7}, asked, asked+wait, 1500*time.Microsecond), asked+time.Millisecond)
}

// An exchange confirms the receiver as of its question, less the age that the answer states.
func TestAnswerConfirmsAsOfQuestion(t *testing.T) {
	is := is.New(t)
	s := Stamps{Nonce: 1<<64 - 5} // It wraps around.
	asked := s.Issue(10 * time.Second)
	at, ok := s.ConfirmedAt(Statement{Echo: asked, Age: time.Second, Known: true}, 14*time.Second)
	is.True(ok)
	is.Equal(at, 9*time.Second)
	for _, st := range []Statement{
		{Age: time.Second, Known: true}, // It answers nothing.
		{Echo: asked},                   // Its sender isn't confirmed.
		{Echo: Stamps{Nonce: 1 << 40}.Issue(10 * time.Second), Known: true}, // Of another start.
		{Echo: s.Issue(20 * time.Second), Known: true},                      // Not issued yet.
		{Echo: asked, Age: -time.Second, Known: true},
	} {
		_, ok := s.ConfirmedAt(st, 14*time.Second)
		is.True(!ok)
	}
}

func TestAgeBound(t *testing.T) {
	is := is.New(t)
	b := AgeBound{After: 5 * time.Second}
	is.True(b.Allows(4500*time.Millisecond, true))
	is.True(!b.Allows(4501*time.Millisecond, true))
	is.True(!b.Allows(0, false))
	is.True(AgeBound{}.Allows(time.Hour, false)) // Not in force.
	is.Equal(b.WatchWait(2*time.Second), 2*time.Second)
	is.Equal(AgeBound{After: 2 * time.Second}.WatchWait(2*time.Second), 800*time.Millisecond)
	is.Equal(AgeBound{}.WatchWait(2*time.Second), 2*time.Second)
}
