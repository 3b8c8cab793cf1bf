package pimentogate

import (
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentoroute"
	"pimentoarch/pimentospread"
	"pimentoarch/pimentowire"
)

// maxFigures bounds the figures of each kind in a message. Of more, others are sent each time.
const maxFigures = 128

// roomFigure is the room of one domain in a message. The time in its stamp is relative to the
// message, as that in a shortageFigure.
type roomFigure struct {
	key  pimentospread.RoomKey
	room pimentospread.Room
}

// shortageFigure is one shortage in a message.
type shortageFigure struct {
	key      pimentospread.RegionKey
	shortage pimentospread.Shortage
}

// message Room {
//   string service = 1; string domain = 2; fixed32 origin = 3; uint32 number = 4;
//   uint64 age_millis = 5; uint32 busy_permille = 6; uint32 slowdown_percent = 7;
// }

func marshalRoom(mm *easyproto.MessageMarshaler, f *roomFigure) {
	mm.AppendString(1, string(f.key.Service))
	mm.AppendString(2, string(f.key.Domain))
	marshalStamp(mm, f.room.Stamp)
	mm.AppendUint32(6, uint32(f.room.Busy))
	mm.AppendUint32(7, uint32(f.room.Slowdown))
}

// message Shortage {
//   string service = 1; string region = 2; fixed32 origin = 3; uint32 number = 4;
//   uint64 age_millis = 5; uint32 refused_permille = 6;
// }

func marshalShortage(mm *easyproto.MessageMarshaler, f *shortageFigure) {
	mm.AppendString(1, string(f.key.Service))
	mm.AppendString(2, string(f.key.Region))
	marshalStamp(mm, f.shortage.Stamp)
	mm.AppendUint32(6, uint32(f.shortage.Refused))
}

func marshalStamp(mm *easyproto.MessageMarshaler, s pimentospread.Stamp) {
	mm.AppendFixed32(3, s.Origin)
	mm.AppendUint32(4, s.Number)
	mm.AppendUint64(5, uint64(max(0, -s.At.Milliseconds())))
}

// stampField reads a field of a stamp, and reports whether it is valid.
func stampField(fc *easyproto.FieldContext, s *pimentospread.Stamp) (ok bool) {
	switch fc.FieldNum {
	case 3:
		s.Origin, ok = fc.Fixed32()
	case 4:
		s.Number, ok = fc.Uint32()
	case 5:
		var age time.Duration
		age, ok = ageField(fc)
		s.At = -age
	default:
		ok = true
	}
	return ok
}

func roomField(fc *easyproto.FieldContext) (f roomFigure, ok bool) {
	data, ok := fc.MessageData()
	if !ok {
		return f, false
	}
	err := pimentowire.EachField(data, func(fc *easyproto.FieldContext) (ok bool) {
		var n uint32
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&f.key.Service, fc)
		case 2:
			return pimentowire.ReadString(&f.key.Domain, fc)
		case 6:
			n, ok = fc.Uint32()
			f.room.Busy = pimentospread.Permille(min(n, uint32(pimentospread.MaxPermille)))
		case 7:
			n, ok = fc.Uint32()
			f.room.Slowdown = pimentospread.Percent(min(n, uint32(pimentospread.MaxSlowdown)))
		default:
			ok = stampField(fc, &f.room.Stamp)
		}
		return ok
	})
	return f, err == nil
}

func shortageField(fc *easyproto.FieldContext) (f shortageFigure, ok bool) {
	data, ok := fc.MessageData()
	if !ok {
		return f, false
	}
	err := pimentowire.EachField(data, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&f.key.Service, fc)
		case 2:
			return pimentowire.ReadString(&f.key.Region, fc)
		case 6:
			var n uint32
			n, ok = fc.Uint32()
			f.shortage.Refused = pimentospread.Permille(min(n, uint32(pimentospread.MaxPermille)))
		default:
			ok = stampField(fc, &f.shortage.Stamp)
		}
		return ok
	})
	return f, err == nil
}

// addFigures adds the fresh figures to a message while the table is uneven.
func (g *Gate) addFigures(msg *syncMessage) {
	if !g.spreads() {
		return
	}
	now := g.now()
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.view.EachRoom(now, maxFigures, func(key pimentospread.RoomKey, r pimentospread.Room) {
		r.At -= now
		msg.rooms = append(msg.rooms, roomFigure{key, r})
	})
	sp.view.EachShortage(now, maxFigures, func(key pimentospread.RegionKey, s pimentospread.Shortage) {
		s.At -= now
		msg.shortages = append(msg.shortages, shortageFigure{key, s})
	})
}

// mergeFigures merges the figures in a message. Those of services and domains that this
// entry doesn't know are left out.
func (g *Gate) mergeFigures(msg *syncMessage) {
	t := g.table.Load()
	if t == nil || !t.Uneven() {
		return
	}
	now := g.now()
	sp := &g.spread
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, f := range msg.rooms {
		if isPublished(t, f) {
			f.room.At += now
			sp.view.MergeRoom(f.key, f.room)
		}
	}
	for _, f := range msg.shortages {
		if t.Targets[f.key.Service] != nil && g.settings.hasRegion(f.key.Region) {
			f.shortage.At += now
			sp.view.MergeShortage(f.key, f.shortage)
		}
	}
}

// isPublished reports whether the table has targets for a figure.
func isPublished(t *pimentoroute.Table, f roomFigure) bool {
	return len(t.InDomain(f.key.Service, f.key.Domain)) > 0
}
