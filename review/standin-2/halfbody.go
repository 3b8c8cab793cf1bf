package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	halfHost     = "photos.example"
	halfBackends = 7
	halfClients  = 45
	halfDeadline = 4 * time.Second
	// killAfter is the time from a refusal of a child until it is killed, and restartTime the
	// time until it is started again.
	killAfter   = 700 * time.Millisecond
	restartTime = 100 * time.Millisecond
)

// halfBody plays the crash of one of seven backends, which starts again under its id, while it
// writes responses without a length and has turned a request away for a second.
func halfBody(d *deployment, trouble bool) (int, error) {
	d.store.putConfig(7, map[string]route{
		"photos": {Host: halfHost, PathPrefix: "/photos/", Kind: "download", Timeout: "4000ms", TargetLatency: "2000ms", Priority: 2, Service: "photovault", MaxAttempts: 2},
	}, "photovault")
	var children []*child
	for i := range halfBackends {
		c := &child{id: fmt.Sprintf("i-photo-%d", i), service: "photovault", zone: "suva-a", address: freeAddress(), rec: d.rec, ended: make(map[string]bool)}
		if err := startChild(d, c); err != nil {
			return 0, err
		}
		defer c.kill()
		children = append(children, c)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(beatInterval):
			}
			for _, c := range children {
				c.publish(d.store)
			}
		}
	}()
	a, _, err := d.startPair("suva-a")
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var broken atomic.Int64
	began := time.Now()
	for i := range halfClients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 15 * time.Millisecond)
			id := fmt.Sprintf("photo-%d", i)
			c, err := dial(a.callers, 0, 0)
			if err != nil {
				return
			}
			defer func() { _ = c.conn.Close() }()
			_, _ = c.conn.Write([]byte(request(http.MethodGet, halfHost, "/photos/1", id, halfDeadline, "")))
			got := c.read(http.MethodGet, 0)
			d.rec.printf("client got %s: status %d, signed %v, %d of %d bytes, complete %v, error %v", id, got.status, got.signed, len(got.body), childBody, got.complete, got.err)
			if got.status == http.StatusOK && got.complete && len(got.body) != childBody {
				broken.Add(1)
			}
		})
	}
	for victim := (*child)(nil); trouble && victim == nil && time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		victim = findVictim(children)
		if victim == nil {
			continue
		}
		d.rec.printf("%s is killed", victim.id)
		victim.kill()
		time.Sleep(restartTime)
		if err := startChild(d, victim); err != nil {
			return 0, err
		}
		d.rec.printf("%s has started again", victim.id)
	}
	wg.Wait()
	return int(broken.Load()), nil
}

// findVictim returns a child that turned a request away a while ago and still writes responses.
func findVictim(children []*child) *child {
	for _, c := range children {
		c.mu.Lock()
		found := !c.refused.IsZero() && time.Since(c.refused) > killAfter && time.Since(c.refused) < killAfter+100*time.Millisecond && len(c.running) > 0
		c.mu.Unlock()
		if found {
			return c
		}
	}
	return nil
}
