package pimentogate

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoload"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
)

func sampleSyncMessage() *syncMessage {
	return &syncMessage{
		sender:      pimentopeer.Member{Name: "a", Address: "10.0.0.1:7", Region: "r", Domain: "d", RunID: 7, Version: 9, Stopping: true},
		membersHash: 5,
		sums:        &pimentopeer.Checksums{1, 0, 7},
		members:     []pimentopeer.Member{{Name: "b", Version: 3, Down: true}, {Name: "c", RunID: 1}},
		at:          pimentofeed.Point{Era: 2, Revision: 12},
		update: &pimentofeed.Update{
			Era: 2, From: 3, AsOf: 12, Items: []pimentofeed.Item{{Key: "k", Value: []byte("v"), Revision: 4}, {Key: "x", Revision: 5, Removed: true}},
			Disputes:  []pimentofeed.Dispute{{Kept: pimentofeed.Item{Key: "k", Value: []byte("w"), Revision: 9}, Era: 1, Stored: pimentofeed.Item{Key: "k", Value: []byte("v"), Revision: 4}, Base: 10}},
			SettlesIn: 3 * time.Second,
		},
		disputeDigest: 17,
		ageMillis:     -1,
		readings:      []reading{{run: 7, number: 3}, {run: 8, number: 1 << 40, at: -1200 * time.Millisecond}},
		crashes:       []pimentoretry.Report{{Fingerprint: 8, Crash: pimentoretry.Crash{Target: "t", Count: 2, Cleared: 1}, Age: time.Second}},
		crashDigest:   99,
		silences:      []silence{{service: "s", length: 24, age: time.Second}},
		failures:      []failure{{run: 9, number: 1 << 33, at: -2999 * time.Millisecond}, {run: 10, number: 1}},
		entries:       140,
		confirmation:  &pimentofeed.Statement{Stamp: 1 << 60, Echo: 9, Age: 1234 * time.Millisecond, Known: true},
		backlogs:      []serviceBacklog{{"s", pimentoload.Backlog{Waiting: 2.5, Rate: 17.25}, 300 * time.Millisecond}, {service: "t"}},
	}
}

func TestSyncMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	msg := sampleSyncMessage()
	got, err := unmarshalSyncMessage(msg.marshal())
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, msg))
}

func TestSyncMessageWithTooFewSums(t *testing.T) {
	is := is.New(t)
	m := marshalers.Get()
	mm := m.MessageMarshaler()
	self := sampleSyncMessage().sender
	marshalMember(mm.AppendMessage(1), &self)
	mm.AppendFixed32s(9, []uint32{1, 2, 3})
	_, err := unmarshalSyncMessage(m.Marshal(nil))
	is.True(err != nil)
}

func TestSyncMessageWithoutSender(t *testing.T) {
	is := is.New(t)
	_, err := unmarshalSyncMessage(nil)
	is.True(err != nil)
}

// A message with more failures than an entry forwards keeps the first ones.
func TestSyncMessageWithTooManyFailures(t *testing.T) {
	is := is.New(t)
	msg := sampleSyncMessage()
	for i := range uint64(3 * maxFailures) {
		msg.failures = append(msg.failures, failure{run: i, number: 1})
	}
	got, err := unmarshalSyncMessage(msg.marshal())
	is.NoErr(err)
	is.True(reflect.DeepEqual(got.failures, msg.failures[:maxFailures]))
}

// A failure can't be of the future, whatever its age says, and its age is bounded.
func TestFailureAgeIsBounded(t *testing.T) {
	is := is.New(t)
	m := marshalers.Get()
	mm := m.MessageMarshaler()
	self := sampleSyncMessage().sender
	marshalMember(mm.AppendMessage(1), &self)
	mm.AppendMessage(21).AppendUint64(3, 1<<64-1)
	got, err := unmarshalSyncMessage(m.Marshal(nil))
	is.NoErr(err)
	is.Equal(got.failures[0].at, -maxAgeMillis*time.Millisecond)
}

// FuzzNote decodes arbitrary bytes as a sync message. One without a sender must be
// refused, and any other keeps its point, digest and disputes when it is encoded again.
func FuzzNote(f *testing.F) {
	f.Add(sampleSyncMessage().marshal())
	noEra, removal, high := sampleSyncMessage(), sampleSyncMessage(), sampleSyncMessage()
	noEra.at.Era, noEra.disputeDigest, noEra.update = 0, 0, nil
	removal.update.Disputes[0].Stored = pimentofeed.Item{Key: "k", Revision: 12, Removed: true}
	high.at, high.update.Era = pimentofeed.Point{Era: 1 << 63, Revision: 1 << 63}, 1<<63
	high.update.SettlesIn = 1 << 60
	for _, msg := range []*syncMessage{noEra, removal, high} {
		f.Add(msg.marshal())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := unmarshalSyncMessage(data)
		if err == nil && msg.sender.Name == "" {
			t.Fatal("accepted a sync message without a sender")
		}
		if err != nil || msg.at.Era == 0 {
			return
		}
		again, err := unmarshalSyncMessage(msg.marshal())
		if err != nil {
			t.Fatalf("own message: %v", err)
		}
		if again.at != msg.at || again.disputeDigest != msg.disputeDigest {
			t.Fatalf("point %v and digest %d became %v and %d", msg.at, msg.disputeDigest, again.at, again.disputeDigest)
		}
		if !reflect.DeepEqual(again.failures, msg.failures) {
			t.Fatalf("failures %v became %v", msg.failures, again.failures)
		}
		if msg.update != nil && !reflect.DeepEqual(again.update, msg.update) {
			t.Fatalf("update %+v became %+v", msg.update, again.update)
		}
	})
}

func TestLineBudget(t *testing.T) {
	is := is.New(t)
	b := lineBudget{linesPerSecond: 2}
	for range 2 {
		ok, _ := b.allow(0, false)
		is.True(ok)
	}
	ok, _ := b.allow(0, false)
	is.True(!ok)
	ok, out := b.allow(0, true) // Urgent lines have a budget of their own.
	is.True(ok)
	is.Equal(out, 1)
	ok, out = b.allow(time.Second, false)
	is.True(ok)
	is.Equal(out, 0)
}
