package pimentogate

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoquota"
)

func sampleQuotaAsk() *pimentoquota.Ask {
	return &pimentoquota.Ask{Parent: 7, Stamp: 12 * time.Second, Items: []pimentoquota.AskItem{
		{Name: "choir", Rate: 12.5, Lots: []pimentoquota.Lot{{MintedAt: -3 * time.Second, Amount: 0.25}, {MintedAt: time.Millisecond, Amount: 2}}},
		{Name: "opera", Rate: 1, Want: 3.5},
	}}
}

func TestQuotaMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	ask, err := unmarshalQuotaAsk(marshalQuotaAsk(sampleQuotaAsk()))
	is.NoErr(err)
	is.True(reflect.DeepEqual(ask, sampleQuotaAsk()))
	sample := &pimentoquota.Reply{Run: 9, Stamp: time.Second, Items: []pimentoquota.ReplyItem{
		{Name: "choir", Rate: 12.5, Lots: []pimentoquota.Lot{{MintedAt: -time.Second, Amount: 1}}},
		{Name: "opera", Rate: 1, Short: true}, {Name: "ballet", Rate: 2, Wanted: true},
	}}
	reply, err := unmarshalQuotaReply(marshalQuotaReply(sample))
	is.NoErr(err)
	is.True(reflect.DeepEqual(reply, sample))
}

// A message never makes tokens more or younger than they are.
func TestQuotaMessageRoundsDown(t *testing.T) {
	is := is.New(t)
	lot := pimentoquota.Lot{MintedAt: -1500 * time.Microsecond, Amount: 1.0 / 3}
	ask, err := unmarshalQuotaAsk(marshalQuotaAsk(&pimentoquota.Ask{Items: []pimentoquota.AskItem{{Name: "a", Rate: 1, Lots: []pimentoquota.Lot{lot}}}}))
	is.NoErr(err)
	got := ask.Items[0].Lots[0]
	is.True(got.Amount <= lot.Amount && got.Amount > lot.Amount-1e-6)
	is.Equal(got.MintedAt, -2*time.Millisecond)
}

// FuzzQuotaAsk decodes arbitrary bytes as an ask. What is accepted has valid amounts.
func FuzzQuotaAsk(f *testing.F) {
	f.Add(marshalQuotaAsk(sampleQuotaAsk()))
	f.Fuzz(func(t *testing.T, data []byte) {
		ask, err := unmarshalQuotaAsk(data)
		if err != nil {
			return
		}
		l := pimentoquota.Ledger{Run: ask.Parent}
		l.Serve(time.Second, ask)
		for _, it := range ask.Items {
			for _, lot := range it.Lots {
				if !(lot.Amount >= 0 && lot.Amount < maxTokens) {
					t.Fatal(lot)
				}
			}
		}
	})
}
