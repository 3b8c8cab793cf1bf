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

// publishStep is one step of a history: an item is published or removed, then some
// time passes.
type publishStep struct {
	Target  int    // 0 means the configuration.
	Value   string // "" means that the item is removed.
	Outage  bool   // The platform was unavailable until now.
	Version uint64 // Of the configuration.
	After   time.Duration
}

func drawPublishStep(t *rapid.T) publishStep {
	return publishStep{
		Target:  rapid.IntRange(0, 3).Draw(t, "target"),
		Value:   rapid.SampledFrom([]string{"", "ready", "ready", "leaving", "unreadable"}).Draw(t, "value"),
		Outage:  rapid.Bool().Draw(t, "outage"),
		Version: rapid.Uint64Range(1, 9).Draw(t, "version"),
		After:   rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 2100 * time.Millisecond}).Draw(t, "after"),
	}
}

var errUnreadable = errors.New("unreadable")

// decodeStep decodes the items of a history.
func decodeStep(key string, value []byte) (pimentoroute.Record, error) {
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

// tableOracle computes what must be in use: the newest configuration that could be
// decoded, and the targets that are ready, or were when they were removed during an
// outage less than expiredGrace ago.
type tableOracle struct {
	version uint64
	ready   map[string]bool
	known   map[string]bool
	until   map[string]time.Duration
}

func (o *tableOracle) recordTarget(now time.Duration, key string, p publishStep) {
	switch p.Value {
	case "":
		if o.ready[key] && p.Outage {
			o.until[key] = now + expiredGrace
		} else {
			delete(o.until, key)
		}
		o.known[key], o.ready[key] = false, false
	default:
		delete(o.until, key)
		o.known[key], o.ready[key] = p.Value != "unreadable", p.Value == "ready"
	}
}

func (o *tableOracle) inUse(now time.Duration) []string {
	var list []string
	for _, key := range []string{"t1", "t2", "t3"} {
		if o.ready[key] || now < o.until[key] {
			list = append(list, key)
		}
	}
	return list
}

// Whatever is published, undecodable, older or removed, during an outage or not,
// the active table agrees with the oracle, and the entry is ready while it has a
// configuration and targets.
func TestTableAgreesWithHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := rapid.SliceOfN(rapid.Custom(drawPublishStep), 1, 40).Draw(rt, "history")
		var wrong string
		synctest.Test(t, func(*testing.T) { wrong = replayHistory(history) })
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// replayHistory returns the first difference from the oracle, or "".
func replayHistory(history []publishStep) string {
	g := &Gate{
		settings:   Settings{Regions: map[pimentoregister.DomainName]pimentoregister.RegionName{"d": "r"}},
		decode:     decodeStep,
		cluster:    newClusterState(pimentopeer.Member{Name: "g"}),
		log:        log.NewNopLogger(),
		metrics:    newGateMetrics(),
		startedAt:  time.Now(),
		configured: make(chan struct{}),
	}
	o := &tableOracle{ready: make(map[string]bool), known: make(map[string]bool), until: make(map[string]time.Duration)}
	for i, p := range history {
		it := pimentofeed.Item{Key: "config", Value: []byte(p.Value), Revision: pimentofeed.Revision(i + 1), Removed: p.Value == ""}
		if p.Target > 0 {
			it.Key = fmt.Sprint("t", p.Target)
			if it.Removed && !o.known[it.Key] {
				continue // An item that doesn't exist can't be removed.
			}
			o.recordTarget(g.now(), it.Key, p)
		} else if p.Value == "ready" || p.Value == "leaving" {
			it.Value = []byte(strconv.FormatUint(p.Version, 10))
			o.version = max(o.version, p.Version)
		}
		g.cluster.mu.Lock()
		g.applyItem(g.now(), it, p.Outage)
		g.updateTable()
		g.cluster.mu.Unlock()
		for range 2 { // At once, and after the time of the step.
			if wrong := g.compareToOracle(o); wrong != "" {
				return fmt.Sprintf("after step %d: %s", i, wrong)
			}
			time.Sleep(p.After)
			synctest.Wait()
		}
	}
	time.Sleep(2 * expiredGrace) // Lets timers end within the bubble.
	return ""
}

func (g *Gate) compareToOracle(o *tableOracle) string {
	t := g.table.Load()
	var version uint64
	if t.Config != nil {
		version = uint64(t.Config.Version)
	}
	if version != o.version {
		return fmt.Sprintf("active configuration %d, want %d", version, o.version)
	}
	var got []string
	for _, tg := range t.Targets["s"] {
		got = append(got, string(tg.ID))
	}
	slices.Sort(got)
	want := o.inUse(g.now())
	if !slices.Equal(got, want) {
		return fmt.Sprintf("targets in use %v, want %v", got, want)
	}
	if ready := o.version > 0 && len(want) > 0; g.ready() != ready {
		return fmt.Sprintf("readiness %v, want %v", g.ready(), ready)
	}
	return ""
}
