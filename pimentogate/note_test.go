package pimentogate

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoretry"
)

func sampleNote() *note {
	return &note{
		self:    pimentopeer.Member{Name: "a", Address: "10.0.0.1:7", Region: "r", Domain: "d", RunID: 7, Version: 9, Stopping: true},
		hash:    5,
		sums:    &pimentopeer.Checksums{1, 0, 7},
		members: []pimentopeer.Member{{Name: "b", Version: 3, Down: true}, {Name: "c", RunID: 1}},
		asOf:    12,
		update:  &pimentofeed.Update{From: 3, AsOf: 12, Items: []pimentofeed.Item{{Key: "k", Value: []byte("v"), Revision: 4}, {Key: "x", Revision: 5, Removed: true}}},
		age:     -1,
		reads:   true,
		crashes: []crashNews{{print: 8, crash: pimentoretry.Crash{Target: "t", Count: 2}}},
	}
}

func TestNoteSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	n := sampleNote()
	got, err := unmarshalNote(n.marshal())
	is.NoErr(err)
	is.True(reflect.DeepEqual(got, n))
}

func TestNoteWithTooFewSumsIsAnError(t *testing.T) {
	is := is.New(t)
	m := marshalers.Get()
	mm := m.MessageMarshaler()
	self := sampleNote().self
	marshalMember(mm.AppendMessage(1), &self)
	mm.AppendFixed32s(9, []uint32{1, 2, 3})
	_, err := unmarshalNote(m.Marshal(nil))
	is.True(err != nil)
}

func TestNoteWithoutSenderIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := unmarshalNote(nil)
	is.True(err != nil)
}

func FuzzNote(f *testing.F) {
	f.Add(sampleNote().marshal())
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := unmarshalNote(data)
		if err == nil && n.self.Name == "" {
			t.Fatal("a note without a sender")
		}
	})
}

func TestLineBudget(t *testing.T) {
	is := is.New(t)
	b := lineBudget{lines: 2}
	for range 2 {
		ok, _ := b.allow(0, false)
		is.True(ok)
	}
	ok, _ := b.allow(0, false)
	is.True(!ok)
	ok, out := b.allow(0, true) // Urgent lines have room of their own.
	is.True(ok)
	is.Equal(out, 1)
	ok, out = b.allow(time.Second, false)
	is.True(ok)
	is.Equal(out, 0)
}
