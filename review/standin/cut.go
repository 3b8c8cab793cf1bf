package main

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Settings of the case "cut": some backends break off some of their answers, which are large.
const (
	cutGates     = 2
	cutBackends  = 4
	cutConns     = 60
	cutWork      = 100 * time.Millisecond
	cutObjective = 500 * time.Millisecond
	cutTimeout   = 2000 * time.Millisecond
	cutDeadline  = 3000 * time.Millisecond
	cutBody      = 6 << 20 // Bytes.
	cutRate      = 10.0    // Requests a second to each gate.
	cutBackCount = 2       // 0.5 of the backends.
	cutShare     = 0.02    // Of their answers.
	cutAt        = 5 * time.Second
	cutFor       = 5500 * time.Millisecond
	cutGap       = time.Second
	cutTimes     = 6
	cutLength    = 46 * time.Second
)

// playCut returns whether a client got a success whose body isn't the backend's whole body, as
// a complete answer.
func playCut(c *Case) bool {
	store := NewStore()
	pack := make([]byte, cutBody)
	for i := range pack {
		pack[i] = byte(i >> 8)
	}
	var backends []*Backend
	for range cutBackends {
		b := &Backend{
			ID: "i-" + newID()[:8], Service: "plano", Zone: otherZone, Slots: 3, Queue: 12, MaxConns: cutConns,
			HealthDelay: time.Millisecond, IdleClose: 10 * time.Second,
			Work: func() time.Duration { return time.Duration(float64(cutWork) * (0.7 + 0.6*rand.Float64())) },
			Body: func(string) []byte { return pack },
		}
		b.Start(c.Rec)
		b.Publish(store)
		backends = append(backends, b)
	}
	putRoute(store, "download", cutConns, cutObjective, cutTimeout)
	c.startGates(store, cutGates, otherZone, map[string]string{otherZone: "bizkaia"}, 8)

	var sent, whole, wrong, failed atomic.Int64
	var clients sync.WaitGroup
	start := time.Now()
	for _, g := range c.Gates {
		clients.Go(func() {
			for time.Since(start) < cutLength {
				time.Sleep(time.Duration(rand.ExpFloat64() / cutRate * float64(time.Second)))
				clients.Go(func() {
					sent.Add(1)
					switch c.download(g, pack) {
					case gotWhole:
						whole.Add(1)
					case gotWrong:
						wrong.Add(1)
					case gotNone:
						failed.Add(1)
					}
				})
			}
		})
	}
	if c.Trouble {
		time.Sleep(cutAt)
		for range cutTimes {
			for _, b := range backends[:cutBackCount] {
				b.SetCut(cutShare)
			}
			c.Say("%d of %d backends break off %v of their answers", cutBackCount, cutBackends, cutShare)
			time.Sleep(cutFor)
			for _, b := range backends {
				b.SetCut(0)
			}
			time.Sleep(cutGap)
		}
	}
	clients.Wait()
	c.Say("sent %d, whole answers %d, refused or failed or seen to be cut off %d, wrong answers that look complete %d", sent.Load(), whole.Load(), failed.Load(), wrong.Load())
	return wrong.Load() > 0
}

// got is what a client got for a download.
type got int

const (
	gotWhole got = iota
	gotWrong     // A success that looks complete, with another body.
	gotNone
)

// download sends one request on a new connection.
func (c *Case) download(g *Gate, pack []byte) got {
	conn, err := Dial(g.Callers)
	if err != nil {
		return gotNone
	}
	defer conn.Close()
	q := &Request{ID: newID(), Method: "GET", Host: chartHost, Path: chartPrefix + newID(), Deadline: cutDeadline}
	c.Rec.Note("sent %s to %s", q.ID, g.Name)
	a := conn.Do(q)
	sign := a.Header.Get("X-Response-Signature")
	c.Rec.Note("answered %s: %d, signature %s, body of %d bytes, %v", q.ID, a.Status, sign, len(a.Body), a.Err)
	switch {
	case a.Err != nil || a.Status != 200:
		return gotNone
	case bytes.Equal(a.Body, pack):
		return gotWhole
	}
	c.Say("wrong answer to %s: status %d, X-Response-Signature %s, Content-Length %s, body %.80q", q.ID, a.Status, sign, a.Header.Get("Content-Length"), a.Body)
	return gotWrong
}
