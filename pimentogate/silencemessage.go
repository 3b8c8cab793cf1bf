package pimentogate

import (
	"time"

	"github.com/VictoriaMetrics/easyproto"

	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
	"pimentoarch/pimentowire"
)

// silence is what an entry knows about a service whose targets are silent when full.
type silence struct {
	service pimentoregister.ServiceName
	length  int           // Of the targets' queues.
	age     time.Duration // Since a target was seen silent.
}

const (
	// maxSilences bounds the services that a sync message names as silent when full.
	maxSilences = 32
	// maxStatedQueue bounds a received length of a queue.
	maxStatedQueue = 1 << 16
)

// message Silence {
//   string service = 1; uint32 length = 2; uint64 age_millis = 3;
// }

func marshalSilence(mm *easyproto.MessageMarshaler, s *silence) {
	mm.AppendString(1, string(s.service))
	mm.AppendUint32(2, uint32(s.length))
	mm.AppendUint64(3, uint64(s.age.Milliseconds()))
}

func unmarshalSilence(src []byte, s *silence) error {
	return pimentowire.EachField(src, func(fc *easyproto.FieldContext) (ok bool) {
		switch fc.FieldNum {
		case 1:
			ok = pimentowire.ReadString(&s.service, fc)
		case 2:
			var n uint32
			n, ok = fc.Uint32()
			s.length = int(min(n, maxStatedQueue))
		case 3:
			s.age, ok = ageField(fc)
		default:
			ok = true
		}
		return ok
	})
}

// silences returns the services whose targets were seen silent when full, here or elsewhere, and
// not those that are only suspected. Each entry would
// otherwise lose a request of its own to learn it.
func (g *Gate) silences() []silence {
	now := g.now()
	ts := &g.traffic
	ts.mu.Lock()
	defer ts.mu.Unlock()
	var list []silence
	for name, s := range ts.services {
		if n := s.queue.Length(now); n > 0 && s.queue.Shown(now) && len(list) < maxSilences {
			list = append(list, silence{service: name, length: n, age: s.queue.Age(now)})
		}
	}
	return list
}

// mergeSilences merges what another entry knows about services that this entry serves, and passes
// on what is news.
func (g *Gate) mergeSilences(list []silence, from pimentotarget.EntryName) {
	t := g.table.Load()
	if len(list) == 0 || t == nil || t.Config == nil {
		return
	}
	news := false
	for _, s := range list {
		if t.Config.Services[s.service] == nil {
			continue
		}
		ts := &g.traffic
		ts.mu.Lock()
		isNews := ts.service(s.service).queue.Merge(g.now(), s.length, s.age)
		ts.mu.Unlock()
		if isNews {
			news = true
			g.logChange("msg", "silent targets reported by an entry", "from", from, "service", s.service, "length", s.length, "age", s.age)
		}
	}
	if news {
		g.cluster.notifyPeers()
	}
}
