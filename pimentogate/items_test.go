package pimentogate

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	"pimentoarch/pimentofeed"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoroute"
)

// publishing is one step of a history: something is published or goes, and some
// time passes.
type publishing struct {
	Target  int    // 0 means the configuration.
	Value   string // "" means that it goes.
	Outage  bool   // The platform has been away until now.
	Version uint64 // Of a configuration.
	After   time.Duration
}

func drawPublishing(t *rapid.T) publishing {
	return publishing{
		Target:  rapid.IntRange(0, 3).Draw(t, "target"),
		Value:   rapid.SampledFrom([]string{"", "ready", "ready", "leaving", "unreadable"}).Draw(t, "value"),
		Outage:  rapid.Bool().Draw(t, "outage"),
		Version: rapid.Uint64Range(1, 9).Draw(t, "version"),
		After:   rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 2100 * time.Millisecond}).Draw(t, "after"),
	}
}

var errUnreadable = errors.New("unreadable")

// decodePublishing stands in for the platform's adapter.
func decodePublishing(key string, value []byte) (pimentoroute.Record, error) {
	text := string(value)
	if text == "unreadable" {
		return pimentoroute.Record{}, errUnreadable
	}
	if key != "config" {
		return pimentoroute.Record{Target: &pimentoroute.Target{ID: pimentoroute.TargetID(key), Service: "s", Address: key, Domain: "d", Leaving: text == "leaving"}}, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return pimentoroute.Record{Config: &pimentoroute.Config{Version: pimentoroute.Version(version)}}, err
}

// publishedOracle says what must be in use, in the words of the promises: the
// newest configuration that could be read, and the targets that are ready, or
// were when they went in an outage less than lapseTerm ago.
type publishedOracle struct {
	version uint64
	ready   map[string]bool
	known   map[string]bool
	until   map[string]time.Duration
}

func (o *publishedOracle) target(now time.Duration, key string, p publishing) {
	switch p.Value {
	case "":
		if o.ready[key] && p.Outage {
			o.until[key] = now + lapseTerm
		} else {
			delete(o.until, key)
		}
		o.known[key], o.ready[key] = false, false
	default:
		delete(o.until, key)
		o.known[key], o.ready[key] = p.Value != "unreadable", p.Value == "ready"
	}
}

func (o *publishedOracle) inUse(now time.Duration) []string {
	var list []string
	for _, key := range []string{"t1", "t2", "t3"} {
		if o.ready[key] || now < o.until[key] {
			list = append(list, key)
		}
	}
	return list
}

// Whatever is published, unreadable, older or removed, in an outage or not, the
// table in force is as the oracle says, and the entry is ready while it has a
// configuration and targets.
func TestTableAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(rapid.Custom(drawPublishing), 1, 40).Draw(rt, "history")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = playHistory(history) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// playHistory returns the first difference from the oracle, or "".
func playHistory(history []publishing) string {
	g := &Gate{
		settings:   Settings{Regions: map[pimentoregister.DomainName]pimentoregister.RegionName{"d": "r"}},
		decode:     decodePublishing,
		fleet:      newFleet(pimentopeer.Member{Name: "g"}),
		log:        log.NewNopLogger(),
		metrics:    newGauges(),
		origin:     time.Now(),
		configured: make(chan struct{}),
	}
	o := &publishedOracle{ready: make(map[string]bool), known: make(map[string]bool), until: make(map[string]time.Duration)}
	for i, p := range history {
		it := pimentofeed.Item{Key: "config", Value: []byte(p.Value), Revision: pimentofeed.Revision(i + 1), Removed: p.Value == ""}
		if p.Target > 0 {
			it.Key = fmt.Sprint("t", p.Target)
			if it.Removed && !o.known[it.Key] {
				continue // What doesn't exist can't go.
			}
			o.target(g.now(), it.Key, p)
		} else if p.Value == "ready" || p.Value == "leaving" {
			it.Value = []byte(strconv.FormatUint(p.Version, 10))
			o.version = max(o.version, p.Version)
		}
		g.fleet.mu.Lock()
		g.apply(g.now(), it, p.Outage)
		g.rebuild(g.now())
		g.fleet.mu.Unlock()
		for range 2 { // At once, and after the time that passes.
			if wrong := g.differs(o); wrong != "" {
				return fmt.Sprintf("after step %d: %s", i, wrong)
			}
			time.Sleep(p.After)
			synctest.Wait()
		}
	}
	time.Sleep(2 * lapseTerm) // Let timers end within the bubble.
	return ""
}

func (g *Gate) differs(o *publishedOracle) string {
	t := g.table.Load()
	var version uint64
	if t.Config != nil {
		version = uint64(t.Config.Version)
	}
	if version != o.version {
		return fmt.Sprintf("configuration %d is in force, want %d", version, o.version)
	}
	var got []string
	for _, tg := range t.Targets["s"] {
		got = append(got, string(tg.ID))
	}
	slices.Sort(got)
	want := o.inUse(g.now())
	if !slices.Equal(got, want) {
		return fmt.Sprintf("targets %v are in use, want %v", got, want)
	}
	if ready := o.version > 0 && len(want) > 0; g.ready() != ready {
		return fmt.Sprintf("readiness %v, want %v", g.ready(), ready)
	}
	return ""
}
