package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Settings of the case "slots". Two gates stand in a zone that has one backend of the
// service; the other backends stand in another region, as in a small zone of the sites. The
// backend in the zone is slow for some seconds, several times. Then the zone is evacuated.
const (
	slotsGates  = 2
	slotsRemote = 2
	// slotsConns is the limit on connections of a backend. It gives each gate the least share
	// that a gate takes, 4 connections, as at the size that the site file names as target.
	slotsConns = 10
	slotsWork  = 120 * time.Millisecond
	// slotsSpread is the relative spread of the work.
	slotsSpread    = 0.1
	slotsObjective = 250 * time.Millisecond
	slotsTimeout   = 1500 * time.Millisecond
	slotsDeadline  = 3000 * time.Millisecond
	slotsRate      = 8.0 // Requests a second to each gate.
	slotsSlow      = 2.5 // Factor on the work.
	slotsSlowAt    = 5 * time.Second
	slotsSlowFor   = 3 * time.Second
	slotsSlowGap   = 2500 * time.Millisecond
	slotsSlowTimes = 7
	slotsEvacAt    = 43 * time.Second
	slotsLength    = 103 * time.Second // The evacuation lasts 60 s.
	slotsWindow    = 5 * time.Second   // Of the lines in the record.
	// regionDelay is the one-way delay between two regions.
	regionDelay = 30 * time.Millisecond
	// maxUnserved is the part of the requests that may be refused or fail in a day.
	maxUnserved = 0.6
)

const (
	ownZone     = "gijon-muelle"
	otherZone   = "bilbao-ria"
	chartHost   = "chart.example"
	chartPrefix = "/chart/"
)

// tally counts requests by the window in which they were sent.
type tally struct {
	mu           sync.Mutex // Guards the fields below.
	sent, served map[int]int
}

func (t *tally) add(window int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[window]++
	if ok {
		t.served[window]++
	}
}

func (t *tally) window(i int) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent[i], t.served[i]
}

// playSlots returns whether more than maxUnserved of the requests were refused or failed.
func playSlots(c *Case) bool {
	store := NewStore()
	backends := slotsBackends(c, store)
	putChartConfig(store, slotsConns, slotsObjective, slotsTimeout)
	c.startGates(store, slotsGates, ownZone, map[string]string{ownZone: "asturias", otherZone: "bizkaia"}, 8)

	t := &tally{sent: make(map[int]int), served: make(map[int]int)}
	start := time.Now()
	var wg sync.WaitGroup
	for _, g := range c.Gates {
		wg.Go(func() {
			for time.Since(start) < slotsLength {
				time.Sleep(time.Duration(rand.ExpFloat64() / slotsRate * float64(time.Second)))
				wg.Go(func() {
					at := int(time.Since(start) / slotsWindow)
					t.add(at, c.chartLookup(g, slotsDeadline))
				})
			}
		})
	}
	if c.Trouble {
		wg.Go(func() {
			time.Sleep(slotsSlowAt)
			for range slotsSlowTimes {
				backends[0].SetSlow(slotsSlow)
				c.Say("the backend in %s is slow", ownZone)
				time.Sleep(slotsSlowFor)
				backends[0].SetSlow(1)
				c.Say("the backend in %s isn't slow", ownZone)
				time.Sleep(slotsSlowGap)
			}
		})
	}
	wg.Go(func() {
		time.Sleep(slotsEvacAt)
		store.Put("op/evacuate/"+ownZone, map[string]any{})
		c.Say("%s is evacuated", ownZone)
	})
	for i := range int(slotsLength / slotsWindow) {
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * slotsWindow)))
		c.saySlots(t, backends, i)
	}
	wg.Wait()
	sent, served := 0, 0
	for i := range t.sent {
		sent += t.sent[i]
		served += t.served[i]
	}
	unserved := 1 - float64(served)/float64(sent)
	c.Say("sent %d, served %d: %.3f were refused or failed, %.1f is allowed", sent, served, unserved, maxUnserved)
	return unserved > maxUnserved
}

// slotsBackends starts the backends, the one in the gates' zone first.
func slotsBackends(c *Case, store *Store) []*Backend {
	var list []*Backend
	for i := range 1 + slotsRemote {
		b := &Backend{
			ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: "plano", Zone: ownZone, Slots: 3, Queue: 12, MaxConns: slotsConns,
			HealthDelay: time.Millisecond, IdleClose: 10 * time.Second,
			Work: func() time.Duration {
				return time.Duration(float64(slotsWork) * math.Exp(slotsSpread*rand.NormFloat64()))
			},
			Body: chartBody,
		}
		b.Start(c.Rec)
		if i > 0 {
			b.Zone, b.Addr = otherZone, delayProxy(b.Addr, regionDelay)
		}
		b.Publish(store)
		list = append(list, b)
	}
	return list
}

// saySlots prints a window, and what the gates and the backends count as open.
func (c *Case) saySlots(t *tally, backends []*Backend, window int) {
	sent, served := t.window(window)
	counted, open, ready := 0.0, 0, 0
	for _, g := range c.Gates {
		counted += g.Metric("pimento_targets_open")
		if g.IsReady() {
			ready++
		}
	}
	for _, b := range backends {
		n, _, _ := b.Conns()
		open += n
	}
	until := time.Duration(window+1) * slotsWindow
	c.Say("%4v: sent %d, served %d; %d gates are ready; open connections: %.0f by the gates' count, %d at the backends", until, sent, served, ready, counted, open)
}

func chartBody(id string) []byte { return []byte("chart for " + id) }

// putChartConfig writes a configuration with one route.
func putChartConfig(store *Store, conns int, objective, timeout time.Duration) {
	putRoute(store, "safe", conns, objective, timeout)
}

// putRoute writes a configuration with one route of a kind.
func putRoute(store *Store, kind string, conns int, objective, timeout time.Duration) {
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	store.Put("op/config", map[string]any{
		"version": "00000007",
		"routes": map[string]any{"r-chart": map[string]any{
			"host": chartHost, "pathPrefix": chartPrefix, "kind": kind, "timeout": ms(timeout), "targetLatency": ms(objective),
			"priority": 2, "service": "plano", "maxAttempts": 2, "allowedRegions": []string{},
		}},
		"services": map[string]any{"plano": map[string]any{
			"healthCheckPath": "/health", "maxConnections": conns, "protocol": "h1", "tls": false, "warmup": "3s", "warmupPerS": 7.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
}

// chartLookup sends a request on new connections, again after a refusal or a failure as the
// clients do, and reports whether it was served.
func (c *Case) chartLookup(g *Gate, deadline time.Duration) bool {
	const attempts = 3
	until := time.Now().Add(deadline)
	for attempt := range attempts {
		left := time.Until(until)
		if left < 5*time.Millisecond {
			return false
		}
		q := &Request{ID: newID(), Method: "GET", Host: chartHost, Path: fmt.Sprintf("%s%x", chartPrefix, rand.Uint32()), Deadline: left}
		conn, err := Dial(g.Callers)
		if err != nil {
			c.Rec.Note("no connection to %s: %v", g.Name, err)
			continue
		}
		c.Rec.Note("sent %s to %s, attempt %d", q.ID, g.Name, attempt+1)
		a := conn.Do(q)
		_ = conn.Close()
		c.Rec.Note("answered %s: %d %v", q.ID, a.Status, a.Err)
		if a.Status == 200 && string(a.Body) == string(chartBody(q.ID)) {
			return true
		}
		time.Sleep(min(a.RetryAfter, left/3))
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
