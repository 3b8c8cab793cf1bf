package main

import (
	"syscall"
	"time"
)

const (
	// soakStableTime is the time between the end of the faults and the start of
	// maintenance.
	soakStableTime = 4 * time.Second
	// leavingGrace is the time after which a leaving target receives no requests.
	leavingGrace = 2500 * time.Millisecond
	// domainOutGrace is the time after which a domain out of service receives no
	// requests.
	domainOutGrace = 5 * time.Second
)

// runMaintenance drains a target, takes a domain out of service, and restarts gates,
// while callers keep sending requests. checkMaintenance evaluates the outcome.
func (s *soak) runMaintenance() {
	time.Sleep(soakStableTime)
	s.maintenanceStart = time.Now()
	s.publish(0, s.addresses[0], "a1", "draining")
	s.store.PutJSON("op/evacuate/a2", map[string]any{})
	time.Sleep(time.Second)
	s.restart(s.gates[1], syscall.SIGTERM)
	s.publishConfig()
	s.restart(s.gates[2], syscall.SIGTERM)
	s.awaitServing("after planned maintenance")
}

// checkMaintenance checks that the leaving target (0) and the targets of the domain out
// of service (a2, i%3 == 1) receive no requests after their grace periods, and that
// callers got a response to each request sent since the start of maintenance that a
// target began to execute. runs has the number of executions by request id.
func (s *soak) checkMaintenance(runs map[string]int) {
	for i, tg := range s.targets {
		end := s.maintenanceStart.Add(leavingGrace)
		if i%3 == 1 {
			end = s.maintenanceStart.Add(domainOutGrace)
		}
		for _, at := range tg.Arrivals() {
			if (i == 0 || i%3 == 1) && at.After(end) {
				s.t.Errorf("target i-%d received a request %v after the start of maintenance", i, at.Sub(s.maintenanceStart))
				break
			}
		}
	}
	for id, o := range s.outcomes {
		if o.status == 0 && runs[id] > 0 && o.sent.After(s.maintenanceStart) {
			s.t.Errorf("request %s reached a target and was interrupted by planned maintenance", id)
		}
	}
}
