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
	packHost = "packs.example"
	// packSize is below the 4 MiB up to which a gate holds a response until it is whole.
	packSize = 4_100_000
	// lineRate is the rate of the clients' lines in bytes a second: 5.7 Mbit/s.
	lineRate     = 5_700_000 / 8
	packDeadline = 6 * time.Second
	packWork     = 100 * time.Millisecond
	// packSent is when the requests are sent, after the signal.
	packSent    = 2200 * time.Millisecond
	lineClients = 4
	// ethernetSegment is the TCP segment of a usual line, and lineWindow a small receive buffer.
	ethernetSegment = 1448
	lineWindow      = 16 << 10
	gracePeriod     = 6 * time.Second
)

// slowLine plays a planned stop of one of two gates beside clients that receive a large response
// over a line of 5.7 Mbit/s, within their deadline. Each sends one request on a connection that
// the gate has kept.
func slowLine(d *deployment, trouble bool) (int, error) {
	d.store.putConfig(7, map[string]route{
		"packs": {Host: packHost, PathPrefix: "/packs/", Kind: "download", Timeout: "6000ms", TargetLatency: "600ms", Priority: 2, Service: "photovault", MaxAttempts: 2},
	}, "photovault")
	pack := make([]byte, packSize)
	work := func(r *http.Request) (time.Duration, []byte) {
		if r.URL.Path == "/packs/small" {
			return packWork, pack[:100]
		}
		return packWork, pack
	}
	backends, stop, err := startBackends(d, 4, "photovault", "suva-a", work)
	if err != nil {
		return 0, err
	}
	defer stop()
	a, _, err := d.startPair("suva-a")
	if err != nil {
		return 0, err
	}
	clients, hangUp, err := warmClients(a, lineClients, ethernetSegment, lineWindow, func(id string) string {
		return request(http.MethodGet, packHost, "/packs/small", id, packDeadline, "")
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
			time.Sleep(time.Until(stopped.Add(packSent + time.Duration(i)*40*time.Millisecond)))
			id := fmt.Sprintf("pack-%d", i)
			sent := time.Now()
			_, err := c.conn.Write([]byte(request(http.MethodGet, packHost, "/packs/large", id, packDeadline, "")))
			d.rec.printf("client sends %s, %v after the signal (error: %v)", id, sent.Sub(stopped).Round(time.Millisecond), err)
			got := c.read(http.MethodGet, lineRate)
			ended := time.Now()
			d.rec.printf("client got %s: status %d, signed %v, %d of %d bytes, complete %v, error %v, %v after it was sent, %v after the signal",
				id, got.status, got.signed, len(got.body), got.length, got.complete, got.err,
				ended.Sub(sent).Round(time.Millisecond), ended.Sub(stopped).Round(time.Millisecond))
			// The backend had written all of its answer long before the last sixth of the
			// grace period, and neither the deadline nor the route's timeout was reached.
			written, passedOn := writtenAt(backends, id)
			if passedOn && written.Before(stopped.Add(gracePeriod*5/6)) && !got.complete &&
				ended.Before(sent.Add(packDeadline)) && ended.Before(stopped.Add(gracePeriod+time.Second)) {
				broken.Add(1)
			}
		})
	}
	wg.Wait()
	return int(broken.Load()), nil
}

// writtenAt returns when a backend had written the whole answer to a request, and false if none
// has.
func writtenAt(backends []*backend, id string) (time.Time, bool) {
	for _, b := range backends {
		b.mu.Lock()
		at, ok := b.written[id]
		b.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return time.Time{}, false
}
