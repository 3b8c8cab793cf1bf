package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	evacHost     = "tags.example"
	evacZone     = "nadi-b"
	evacKey      = "op/evacuate/" + evacZone
	evacDeadline = 3 * time.Second
	evacWork     = 20 * time.Millisecond
	// evacBound is the bound `evacuation` of the site.
	evacBound = 5 * time.Second
	// evacFor is how long the zone is evacuated first, copyAge the age of the copy from which
	// the store comes back, and awayTime how long it is away.
	evacFor  = 3 * time.Second
	copyAge  = 5 * time.Second
	awayTime = 300 * time.Millisecond
	// operatorRetry is the time between two tries of the operator while the store is away.
	operatorRetry = 5 * time.Millisecond
	evacClients   = 4
	// evacWatch is how long the clients send after the second evacuation.
	evacWatch = 9 * time.Second
)

// restore plays a drill in which the store comes back from an older copy, between the end of an
// evacuation and the next one.
func restore(d *deployment, trouble bool) (int, error) {
	d.store.putConfig(7, map[string]route{
		"tags": {Host: evacHost, PathPrefix: "/tags/", Kind: "safe", Timeout: "2500ms", TargetLatency: "600ms", Priority: 2, Service: "tagdesk", MaxAttempts: 2},
	}, "tagdesk")
	work := func(*http.Request) (time.Duration, []byte) { return evacWork, []byte("tag") }
	near, stopNear, err := startBackends(d, 4, "tagdesk", evacZone, work)
	if err != nil {
		return 0, err
	}
	defer stopNear()
	_, stopFar, err := startBackends(d, 4, "tagdesk", "labasa-a", work)
	if err != nil {
		return 0, err
	}
	defer stopFar()
	a, b, err := d.startPair(evacZone)
	if err != nil {
		return 0, err
	}
	old := d.store.copy()
	time.Sleep(copyAge - evacFor - awayTime - 500*time.Millisecond)
	d.store.put(evacKey, []byte("{}"))
	d.rec.printf("operator evacuates %s", evacZone)
	time.Sleep(evacFor)
	d.store.remove(evacKey)
	d.rec.printf("operator takes %s back", evacZone)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.rec.printf("the store is away")
		d.store.leave()
		time.AfterFunc(awayTime, func() {
			d.store.comeBack(old)
			d.rec.printf("the store is back from a copy that is %v old", copyAge)
		})
	}
	for d.store.isAway() {
		time.Sleep(operatorRetry)
	}
	d.store.put(evacKey, []byte("{}"))
	evacuated := time.Now()
	d.rec.printf("operator evacuates %s again; acknowledged", evacZone)
	late := sendToZone(d, []*gate{a, b}, near, evacuated)
	return late, nil
}

// sendToZone sends requests to the gates for a while, and returns how many of those that were sent
// after the bound ran in the zone that was evacuated.
func sendToZone(d *deployment, gates []*gate, zone []*backend, evacuated time.Time) int {
	var wg sync.WaitGroup
	var late atomic.Int64
	for i := range evacClients {
		g := gates[i%len(gates)]
		wg.Go(func() {
			for n := 0; time.Since(evacuated) < evacWatch; n++ {
				time.Sleep(25 * time.Millisecond)
				c, err := dial(g.callers, 0, 0)
				if err != nil {
					continue
				}
				id := fmt.Sprintf("tag-%d-%d", i, n)
				sent := time.Now()
				_, _ = c.conn.Write([]byte(request(http.MethodGet, evacHost, "/tags/1", id, evacDeadline, "")))
				got := c.read(http.MethodGet, 0)
				_ = c.conn.Close()
				inZone := ranOnce(zone, id)
				d.rec.printf("client got %s from %s, sent %v after the acknowledgement: status %d, ran in %s: %v", id, g.name, sent.Sub(evacuated).Round(time.Millisecond), got.status, evacZone, inZone)
				if inZone && sent.After(evacuated.Add(evacBound)) {
					late.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(late.Load())
}
