package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	bookHost     = "claims.example"
	bookDeadline = 6 * time.Second
	bodyPieces   = 30
	pieceSize    = 4 << 10
	// bodyBegin and bodyEnd are when a request begins and ends to be sent, after the signal.
	bodyBegin = 1000 * time.Millisecond
	bodyEnd   = 4250 * time.Millisecond
	usualWork = 300 * time.Millisecond
	// longWork is below the longest work of booking-commit in the site file, 1.7 s.
	longWork    = 1400 * time.Millisecond
	bookClients = 4
	// excusedSend is how long after the signal a request may be sent whose run lasts into the
	// end of the grace period.
	excusedSend = 3 * time.Second
)

// slowBody plays a planned stop of one of two gates beside clients that send the body of a
// request that isn't idempotent over a slow line, from 1 s to 4.25 s after the signal.
func slowBody(d *deployment, trouble bool) (int, error) {
	d.store.putConfig(7, map[string]route{
		"claims": {Host: bookHost, PathPrefix: "/claims/", Kind: "unsafe", Timeout: "6000ms", TargetLatency: "800ms", Priority: 1, Service: "bookpay", MaxAttempts: 2},
	}, "bookpay")
	work := func(r *http.Request) (time.Duration, []byte) {
		if r.URL.Path == "/claims/small" {
			return usualWork, []byte("done")
		}
		return longWork, []byte("done")
	}
	backends, stop, err := startBackends(d, 6, "bookpay", "suva-a", work)
	if err != nil {
		return 0, err
	}
	defer stop()
	a, _, err := d.startPair("suva-a")
	if err != nil {
		return 0, err
	}
	clients, hangUp, err := warmClients(a, bookClients, 0, 0, func(id string) string {
		return request(http.MethodPost, bookHost, "/claims/small", id, bookDeadline, "x")
	})
	if err != nil {
		return 0, err
	}
	defer hangUp()
	stopped := time.Now()
	if trouble {
		d.signal(a, syscall.SIGTERM)
	}
	var wg sync.WaitGroup
	var broken atomic.Int64
	for i, c := range clients {
		wg.Go(func() {
			id := fmt.Sprintf("claim-%d", i)
			sent, got := sendSlowly(c, stopped, id)
			ended := time.Now()
			d.rec.printf("client sent %s from %v to %v after the signal, and got status %d, signed %v, complete %v, error %v, %v after the signal",
				id, bodyBegin, sent.Sub(stopped).Round(time.Millisecond), got.status, got.signed, got.complete, got.err, ended.Sub(stopped).Round(time.Millisecond))
			// It was sent too late for the excuse of runs that last into the end of the grace
			// period, and neither the deadline nor the route's timeout was reached.
			if ranOnce(backends, id) && !(got.signed && got.complete) && sent.After(stopped.Add(excusedSend)) &&
				ended.Before(stopped.Add(bodyBegin+bookDeadline)) {
				broken.Add(1)
			}
		})
	}
	wg.Wait()
	time.Sleep(longWork) // Until the runs have ended.
	return int(broken.Load()), nil
}

// sendSlowly sends a request whose body arrives piece by piece, and reads the answer. It returns
// when the last byte was sent.
func sendSlowly(c *client, stopped time.Time, id string) (time.Time, answer) {
	time.Sleep(time.Until(stopped.Add(bodyBegin)))
	head := fmt.Sprintf("POST /claims/large HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		bookHost, id, bookDeadline.Milliseconds(), bodyPieces*pieceSize)
	_, err := c.conn.Write([]byte(head))
	for n := range bodyPieces {
		if err != nil {
			break
		}
		time.Sleep(time.Until(stopped.Add(bodyBegin + (bodyEnd-bodyBegin)*time.Duration(n)/(bodyPieces-1))))
		_, err = c.conn.Write(make([]byte, pieceSize))
	}
	sent := time.Now()
	return sent, c.read(http.MethodPost, 0)
}

// ranOnce reports whether a backend has begun to work on a request.
func ranOnce(backends []*backend, id string) bool {
	for _, b := range backends {
		b.mu.Lock()
		n := b.runs[id]
		b.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
