package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/platform/standin"
)

// soakStoreAway is the time that the store is away before it comes back from a copy.
const soakStoreAway = 300 * time.Millisecond

// restoreStore brings the store back from a copy of an age. A configuration and the item of a
// target that joined are written after the copy, and again when they have been lost for a
// time.
func (s *soak) restoreStore(age, lost time.Duration) {
	joins := len(s.targets) - 1
	publish := func() { s.publish(joins, s.addresses[joins], "b1", "ready") }
	s.store.Delete(fmt.Sprint("servers/i-", joins))
	s.store.Copy()
	publish()
	s.publishConfig()
	time.Sleep(age)
	s.store.SetFault(standin.StoreFaultReset, nil)
	time.Sleep(soakStoreAway)
	s.store.Restore()
	s.store.SetFault(standin.StoreFaultNone, nil)
	s.restores++
	time.Sleep(lost)
	publish()
	s.configMu.Lock()
	s.writeConfig()
	s.configMu.Unlock()
}

// awaitEra waits until every gate states the era of the store, and that nothing differs from
// what the store has.
func (s *soak) awaitEra() {
	if s.restores == 0 {
		return // The store states no era.
	}
	want := fmt.Sprint("pimento_state_era ", s.restores+1)
	deadline := time.Now().Add(soakRecoveryTime)
	for _, g := range s.gates {
		for !s.hasMetrics(g, want, "pimento_state_disputed 0") {
			if time.Now().After(deadline) {
				s.t.Errorf("gate %s doesn't state %q without disputes within %v", g.name, want, soakRecoveryTime)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// hasMetrics reports whether a gate states metrics, each given as a line.
func (s *soak) hasMetrics(g *soakGate, lines ...string) bool {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+g.adminAddr+"/metrics", time.Second)
	if err != nil {
		return false
	}
	for _, line := range lines {
		if !strings.Contains(string(body), line+"\n") {
			return false
		}
	}
	return true
}
