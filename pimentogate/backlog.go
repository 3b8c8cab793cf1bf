package pimentogate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentoload"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
	"pimentoarch/pimentowire"
)

// serviceBacklog is the backlog of one service at one entry, as in a sync message.
type serviceBacklog struct {
	service pimentoregister.ServiceName
	pimentoload.Backlog
	age time.Duration
}

const (
	// maxBacklogs bounds the services of one message: those with the longest backlogs.
	maxBacklogs = 8
	// maxBacklogEntries bounds the entries whose backlogs are known.
	maxBacklogEntries = 64
	// backlogMemory is the age up to which another entry's backlog counts: a few messages.
	backlogMemory = 2 * time.Second
	// milli is the unit of fractions in messages.
	milli = 1000
	// maxBacklogFigure bounds a received number of requests, or of requests a second.
	maxBacklogFigure = 1 << 20
)

// peerBacklogs are the last backlogs that other entries have stated. The zero value is ready
// to use.
type peerBacklogs struct {
	mu      sync.Mutex // Guards entries.
	entries map[pimentotarget.EntryName]entryBacklogs
}

// entryBacklogs are those of one entry. Their ages are as of at.
type entryBacklogs struct {
	at   time.Duration
	list []serviceBacklog
}

// set replaces the backlogs of an entry.
func (p *peerBacklogs) set(now time.Duration, from pimentotarget.EntryName, list []serviceBacklog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, e := range p.entries {
		if now-e.at > backlogMemory {
			delete(p.entries, name)
		}
	}
	if len(list) == 0 {
		delete(p.entries, from)
		return
	}
	if p.entries == nil {
		p.entries = make(map[pimentotarget.EntryName]entryBacklogs)
	}
	if _, known := p.entries[from]; !known && len(p.entries) >= maxBacklogEntries {
		return
	}
	p.entries[from] = entryBacklogs{now, list}
}

// of returns the backlog of a service at the other entries together, without old figures.
func (p *peerBacklogs) of(now time.Duration, service pimentoregister.ServiceName) pimentoload.Backlog {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum pimentoload.Backlog
	for _, e := range p.entries {
		for i := range e.list {
			if b := &e.list[i]; b.service == service && now-e.at+b.age <= backlogMemory {
				sum.Waiting += b.Waiting
				sum.Rate += b.Rate
			}
		}
	}
	return sum
}

// ownBacklogs returns the longest backlogs of this entry's lines with a known rate.
func (g *Gate) ownBacklogs() []serviceBacklog {
	now := g.now()
	var list []serviceBacklog
	g.linesMu.Lock()
	defer g.linesMu.Unlock()
	for name, l := range g.lines {
		l.mu.Lock()
		b, age := l.line.Backlog(now)
		l.mu.Unlock()
		if b.Rate > 0 {
			list = append(list, serviceBacklog{name, b, age})
		}
	}
	slices.SortFunc(list, func(a, b serviceBacklog) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.service, b.service))
	})
	return list[:min(len(list), maxBacklogs)]
}

// message Backlog {
//   string service = 1; uint64 waiting_milli = 2; uint64 rate_milli = 3; uint64 age_millis = 4;
// }
//
// waiting_milli is a number of requests, and rate_milli one in a second, both times 1000.

func marshalBacklog(mm *easyproto.MessageMarshaler, b *serviceBacklog) {
	mm.AppendString(1, string(b.service))
	mm.AppendUint64(2, uint64(b.Waiting*milli))
	mm.AppendUint64(3, uint64(b.Rate*milli))
	mm.AppendUint64(4, uint64(b.age.Milliseconds()))
}

func unmarshalBacklog(src []byte, b *serviceBacklog) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			return pimentowire.ReadString(&b.service, fc)
		case 2:
			b.Waiting, ok = milliField(fc)
		case 3:
			b.Rate, ok = milliField(fc)
		case 4:
			b.age, ok = ageField(fc)
		default:
			ok = true
		}
		return ok
	})
}

// milliField reads a figure that was written in thousandths.
func milliField(fc *easyproto.FieldContext) (float64, bool) {
	n, ok := fc.Uint64()
	return float64(min(n, maxBacklogFigure*milli)) / milli, ok
}

// backlogField reads a Backlog.
func backlogField(fc *easyproto.FieldContext) (serviceBacklog, bool) {
	var b serviceBacklog
	data, ok := fc.MessageData()
	ok = ok && unmarshalBacklog(data, &b) == nil
	return b, ok
}
