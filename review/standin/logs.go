package main

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Settings of the case "logs": what reads the standard output of the gates stands still for
// a while.
const (
	logsGates     = 2
	logsBackends  = 4
	logsConns     = 30
	logsWork      = 120 * time.Millisecond
	logsObjective = 300 * time.Millisecond
	logsTimeout   = 1500 * time.Millisecond
	logsDeadline  = 3000 * time.Millisecond
	logsRate      = 15.0 // Requests a second to each gate.
	logsStopAt    = 5 * time.Second
	logsStopFor   = 25 * time.Second
	logsLength    = 40 * time.Second
	// logsGrace is how long after its route's timeout a request must have its answer.
	logsGrace = 500 * time.Millisecond
	// minOutstanding is the least number of requests for which the rule holds.
	minOutstanding = 8
)

// lateness counts requests that were unanswered at their route's timeout, and those of them
// that were still unanswered logsGrace later.
type lateness struct {
	mu                       sync.Mutex // Guards the fields below.
	sent, served, open, late int
}

func (l *lateness) add(ok bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if ok {
		l.served++
	}
	if took > logsTimeout {
		l.open++
	}
	if took > logsTimeout+logsGrace {
		l.late++
	}
}

// playLogs returns whether most of the requests that were unanswered at their route's timeout
// were so logsGrace later.
func playLogs(c *Case) bool {
	store := NewStore()
	for range logsBackends {
		b := &Backend{
			ID: "i-" + newID()[:8], Service: "plano", Zone: otherZone, Slots: 3, Queue: 12, MaxConns: logsConns,
			HealthDelay: time.Millisecond, IdleClose: 10 * time.Second,
			Work: func() time.Duration { return time.Duration(float64(logsWork) * math.Exp(0.3*rand.NormFloat64())) },
			Body: chartBody,
		}
		b.Start(c.Rec)
		b.Publish(store)
	}
	putChartConfig(store, logsConns, logsObjective, logsTimeout)
	c.collected = true
	c.startGates(store, logsGates, otherZone, map[string]string{otherZone: "bizkaia"}, 8)
	var l lateness
	start := time.Now()
	var wg sync.WaitGroup
	for _, g := range c.Gates {
		wg.Go(func() {
			for time.Since(start) < logsLength {
				time.Sleep(time.Duration(rand.ExpFloat64() / logsRate * float64(time.Second)))
				wg.Go(func() { l.add(c.keptLookup(g)) })
			}
		})
	}
	time.Sleep(logsStopAt)
	if c.Trouble {
		for _, g := range c.Gates {
			g.Collector.Stop()
		}
		c.Say("the collectors of the standard output stand still")
	}
	time.Sleep(logsStopFor)
	for _, g := range c.Gates {
		c.Say("%s: ready %t", g.Name, g.IsReady())
		if c.Trouble {
			g.Collector.Continue()
		}
	}
	wg.Wait()
	c.Say("sent %d, served %d; %d had no answer at the timeout of their route, %d of them none %v later", l.sent, l.served, l.open, l.late, logsGrace)
	return l.open >= minOutstanding && 2*l.late > l.open
}

// keptLookup sends one request, and returns whether it was served and how long it took.
func (c *Case) keptLookup(g *Gate) (bool, time.Duration) {
	conn, err := Dial(g.Callers)
	if err != nil {
		return false, 0
	}
	defer conn.Close()
	q := &Request{ID: newID(), Method: "GET", Host: chartHost, Path: chartPrefix + newID(), Deadline: logsDeadline}
	c.Rec.Note("sent %s to %s", q.ID, g.Name)
	sent := time.Now()
	a := conn.Do(q)
	c.Rec.Note("answered %s: %d %v", q.ID, a.Status, a.Err)
	return a.Status == 200, time.Since(sent)
}
