package pimentogate

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// newPlainGate returns a gate that isn't run. Its items are targets, unless their value is
// empty.
func newPlainGate(t testing.TB, logger log.Logger) *Gate {
	t.Helper()
	s := DefaultSettings()
	s.Name, s.Domain, s.PeersAddr = "a", "d", "10.0.0.1:7"
	s.Regions = map[pimentoregister.DomainName]pimentoregister.RegionName{"d": "r"}
	g, cleanup, err := New(s, PlatformAdapter{
		Decode: func(key string, value []byte) (pimentoroute.Record, error) {
			if len(value) == 0 {
				return pimentoroute.Record{}, errUnreadable
			}
			return pimentoroute.Record{Target: &pimentoroute.Target{ID: pimentoroute.TargetID(key), Service: "s", Domain: "d", Address: string(value)}}, nil
		},
	}, logger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return g
}

// A panic while a request is handled leads to a response that promises nothing if the
// request was sent, and to a line with the stack.
func TestPanicInRequest(t *testing.T) {
	is := is.New(t)
	for sends, status := range map[int]int{0: fasthttp.StatusServiceUnavailable, 1: fasthttp.StatusBadGateway} {
		var lines strings.Builder
		g := newPlainGate(t, log.NewLogfmtLogger(&lines))
		g.table.Store(&pimentoroute.Table{Config: &pimentoroute.Config{}})
		c := newCall(new(fasthttp.Request), &g.dialect, "10.9.9.9", time.Now())
		c.id, c.sends = "r1", sends
		c.req = nil // Makes the handler panic.
		resp := g.serveRequest(c)
		is.Equal(resp.http.StatusCode(), status)
		is.True(strings.Contains(lines.String(), `msg=panic in=request id=r1`))
		is.True(strings.Contains(lines.String(), "handleSafely"))
	}
}

// FuzzSync lets a gate handle arbitrary bytes as a sync message, and applies those that it
// can decode. Its own messages must stay readable.
func FuzzSync(f *testing.F) {
	f.Add(sampleSyncMessage().marshal())
	full := sampleSyncMessage()
	full.update = &pimentofeed.Update{Full: true, AsOf: 1 << 62, Items: []pimentofeed.Item{{Key: "k", Value: []byte("10.0.0.2:1"), Revision: 1 << 63}, {Key: "k", Revision: 4}, {Removed: true}}}
	full.ageMillis = 1 << 62
	f.Add(full.marshal())
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newPlainGate(t, log.NewNopLogger())
		for range 2 {
			reply, err := g.handleSync(data)
			if err != nil {
				return
			}
			if _, err := unmarshalSyncMessage(reply); err != nil {
				t.Fatalf("own message: %v", err)
			}
			g.updateMembership()
			g.dropExpired()
			_ = g.decideReading()
			_ = g.status()
		}
	})
}
