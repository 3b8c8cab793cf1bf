package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Settings of the case "odd": another writer puts an entry into the store that lacks fields.
const (
	oddGates     = 2
	oddBackends  = 4
	oddConns     = 30
	oddWork      = 120 * time.Millisecond
	oddObjective = 400 * time.Millisecond
	oddTimeout   = 2000 * time.Millisecond
	oddDeadline  = 4000 * time.Millisecond
	oddRate      = 8.0 // Requests a second to each gate.
	oddAt        = 5 * time.Second
	oddLength    = 30 * time.Second
	// deniedFixed and deniedShare give the number of requests that may be ended with a 3xx or
	// 4xx of the system's own.
	deniedFixed = 5
	deniedShare = 500
)

// playOdd returns whether too many proper requests were ended with a 4xx that no backend gave.
func playOdd(c *Case) bool {
	store := NewStore()
	for range oddBackends {
		b := &Backend{
			ID: "i-" + newID()[:8], Service: "plano", Zone: otherZone, Slots: 3, Queue: 12, MaxConns: oddConns,
			HealthDelay: time.Millisecond, IdleClose: 10 * time.Second,
			Work: func() time.Duration { return time.Duration(float64(oddWork) * (0.7 + 0.6*rand.Float64())) },
			Body: chartBody,
		}
		b.Start(c.Rec)
		b.Publish(store)
	}
	putRoute(store, "unsafe", oddConns, oddObjective, oddTimeout)
	foreign := c.startForeign()
	c.startGates(store, oddGates, otherZone, map[string]string{otherZone: "bizkaia"}, 8)

	var mu sync.Mutex
	sent, served, denied := 0, 0, 0
	start := time.Now()
	var clients sync.WaitGroup
	for _, g := range c.Gates {
		clients.Go(func() {
			for time.Since(start) < oddLength {
				time.Sleep(time.Duration(rand.ExpFloat64() / oddRate * float64(time.Second)))
				clients.Go(func() {
					a := c.book(g)
					mu.Lock()
					defer mu.Unlock()
					sent++
					switch {
					case a.Status == 200:
						served++
					case a.Status >= 300 && a.Status < 500 && a.Header.Get("X-Response-Signature") == "":
						denied++
					}
				})
			}
		})
	}
	if c.Trouble {
		time.Sleep(oddAt)
		store.Put("servers/cron-7", map[string]any{"service": "plano", "address": foreign, "zone": otherZone, "slots": 3, "state": "ready"})
		c.Say("another writer has put servers/cron-7 into the store, without version, warmupLeft and sequence")
	}
	clients.Wait()
	allowed := deniedFixed + sent/deniedShare
	c.Say("sent %d, served %d, ended with a 3xx or 4xx of no backend: %d, %d are allowed", sent, served, denied, allowed)
	return denied > allowed
}

// startForeign starts a web server that has nothing to do with the system, and returns its
// address.
func (c *Case) startForeign() string {
	ln := listen()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		c.Rec.Note("the foreign server gets %s %s, id %s", r.Method, r.URL.Path, r.Header.Get("X-Request-Id"))
		http.NotFound(w, r)
	})
	go func() { _ = http.Serve(ln, mux) }()
	return ln.Addr().String()
}

// book sends one request that may run once.
func (c *Case) book(g *Gate) Answer {
	conn, err := Dial(g.Callers)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	q := &Request{ID: newID(), Method: "POST", Host: chartHost, Path: chartPrefix + newID(), Body: []byte("seat 14"), Deadline: oddDeadline}
	c.Rec.Note("sent %s to %s", q.ID, g.Name)
	a := conn.Do(q)
	c.Rec.Note("answered %s: %d, signature %q, %.40q, %v", q.ID, a.Status, a.Header.Get("X-Response-Signature"), a.Body, a.Err)
	return a
}
