package pimentogate

import (
	"errors"
	"math"
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentoquota"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentowire"
)

var errInvalidLots = errors.New("the numbers of times and amounts differ, or an amount is invalid")

// quotaItem is what messages about quotas say of one organisation.
type quotaItem struct {
	name  pimentoregister.OrganisationName
	rate  float64
	lots  []pimentoquota.Lot
	want  float64
	short bool
	// wanted is the Wanted of a pimentoquota.ReplyItem.
	wanted bool
}

// message QuotaItem {
//   string name = 1; double rate = 2; repeated sint64 minted_millis = 3;
//   repeated float amounts = 4; float want = 5; bool short = 6; bool wanted = 7;
// }

func (it *quotaItem) marshal(mm *easyproto.MessageMarshaler) {
	mm.AppendString(1, string(it.name))
	mm.AppendDouble(2, it.rate)
	if len(it.lots) > 0 {
		times, amounts := make([]int64, len(it.lots)), make([]float32, len(it.lots))
		for i, l := range it.lots {
			// Rounded towards older and fewer, so that no tokens come into being.
			times[i] = int64(math.Floor(l.MintedAt.Seconds() * millisPerSecond))
			amounts[i] = roundDown(l.Amount)
		}
		mm.AppendSint64s(3, times)
		mm.AppendFloats(4, amounts)
	}
	if it.want > 0 {
		mm.AppendFloat(5, float32(it.want))
	}
	if it.short {
		mm.AppendBool(6, true)
	}
	if it.wanted {
		mm.AppendBool(7, true)
	}
}

// roundDown returns the largest float32 that isn't above v.
func roundDown(v float64) float32 {
	f := float32(v)
	if float64(f) > v {
		return math.Nextafter32(f, 0)
	}
	return f
}

// maxTokens bounds the amounts in a message.
const maxTokens = 1e9

func (it *quotaItem) unmarshal(src []byte) error {
	var times []int64
	var amounts []float32
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		var f float32
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&it.name, fc)
		case 2:
			it.rate, ok = fc.Double()
		case 3:
			times, ok = fc.UnpackSint64s(times)
		case 4:
			amounts, ok = fc.UnpackFloats(amounts)
		case 5:
			f, ok = fc.Float()
			it.want = float64(f)
			ok = ok && f >= 0 && f < maxTokens
		case 6:
			it.short, ok = fc.Bool()
		case 7:
			it.wanted, ok = fc.Bool()
		default:
			ok = true
		}
		return ok
	})
	if err != nil {
		return err
	}
	if len(times) != len(amounts) || !(it.rate > 0) {
		return errInvalidLots
	}
	for i, f := range amounts {
		if !(f >= 0 && f < maxTokens) || times[i] > maxLotMillis || times[i] < -maxLotMillis {
			return errInvalidLots
		}
		it.lots = append(it.lots, pimentoquota.Lot{MintedAt: time.Duration(times[i]) * time.Millisecond, Amount: float64(f)})
	}
	return nil
}

const (
	// maxLotMillis bounds the times in a message, so that they fit a duration.
	maxLotMillis    = 1 << 40
	millisPerSecond = 1000
)

// message QuotaAsk { fixed64 parent = 1; uint64 stamp_nanos = 2; repeated QuotaItem items = 3; }
// message QuotaReply { fixed64 run = 1; uint64 stamp_nanos = 2; repeated QuotaItem items = 3; }

func marshalQuotaMessage(run uint64, stamp time.Duration, items []quotaItem) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendFixed64(1, run)
	mm.AppendUint64(2, uint64(max(0, stamp)))
	for i := range items {
		items[i].marshal(mm.AppendMessage(3))
	}
	return m.Marshal(nil)
}

func unmarshalQuotaMessage(src []byte) (run uint64, stamp time.Duration, items []quotaItem, err error) {
	var nested error
	err = pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			run, ok = fc.Fixed64()
		case 2:
			var nanos uint64
			nanos, ok = fc.Uint64()
			stamp = time.Duration(min(nanos, maxLotMillis*uint64(time.Millisecond)))
		case 3:
			var data []byte
			if data, ok = fc.MessageData(); ok {
				var it quotaItem
				nested = it.unmarshal(data)
				items = append(items, it)
				ok = nested == nil
			}
		default:
			ok = true
		}
		return ok
	})
	if nested != nil {
		err = nested
	}
	if err != nil {
		return 0, 0, nil, &Error{Op: "read quota message", Kind: KindSyncMessage, Err: err}
	}
	return run, stamp, items, nil
}

func marshalQuotaAsk(ask *pimentoquota.Ask) []byte {
	items := make([]quotaItem, len(ask.Items))
	for i, it := range ask.Items {
		items[i] = quotaItem{name: it.Name, rate: it.Rate, lots: it.Lots, want: it.Want}
	}
	return marshalQuotaMessage(ask.Parent, ask.Stamp, items)
}

func unmarshalQuotaAsk(src []byte) (*pimentoquota.Ask, error) {
	run, stamp, items, err := unmarshalQuotaMessage(src)
	if err != nil {
		return nil, err
	}
	ask := &pimentoquota.Ask{Parent: run, Stamp: stamp}
	for _, it := range items {
		ask.Items = append(ask.Items, pimentoquota.AskItem{Name: it.name, Rate: it.rate, Lots: it.lots, Want: it.want})
	}
	return ask, nil
}

func marshalQuotaReply(r *pimentoquota.Reply) []byte {
	items := make([]quotaItem, len(r.Items))
	for i, it := range r.Items {
		items[i] = quotaItem{name: it.Name, rate: it.Rate, lots: it.Lots, short: it.Short, wanted: it.Wanted}
	}
	return marshalQuotaMessage(r.Run, r.Stamp, items)
}

func unmarshalQuotaReply(src []byte) (*pimentoquota.Reply, error) {
	run, stamp, items, err := unmarshalQuotaMessage(src)
	if err != nil {
		return nil, err
	}
	r := &pimentoquota.Reply{Run: run, Stamp: stamp}
	for _, it := range items {
		r.Items = append(r.Items, pimentoquota.ReplyItem{Name: it.name, Rate: it.rate, Lots: it.lots, Short: it.short, Wanted: it.wanted})
	}
	return r, nil
}
