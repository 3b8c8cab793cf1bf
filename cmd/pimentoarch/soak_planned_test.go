package main

import (
	"syscall"
	"time"
)

const (
	soakCalm   = 4 * time.Second         // After the faults, before planned work begins.
	leavingEnd = 2500 * time.Millisecond // After which a leaving target gets nothing.
	outEnd     = 5 * time.Second         // After which a domain that is out gets nothing.
)

// plannedWork lets a target leave, takes a domain out, and stops and starts
// gates, while callers go on. check compares what came of it.
func (s *soak) plannedWork() {
	time.Sleep(soakCalm)
	s.calmFrom = time.Now()
	s.publish(0, s.addresses[0], "a1", "draining")
	s.store.PutJSON("op/evacuate/a2", map[string]any{})
	time.Sleep(time.Second)
	s.restart(s.gates[1], syscall.SIGTERM)
	s.configure()
	s.restart(s.gates[2], syscall.SIGTERM)
	s.awaitServed("after planned work")
}

// checkPlanned checks that a target that leaves and a domain that is out get no
// request after their time, and that no request was cut that a target had.
func (s *soak) checkPlanned(runs map[string]int) {
	for i, tg := range s.targets {
		end := s.calmFrom.Add(leavingEnd)
		if i%3 == 1 {
			end = s.calmFrom.Add(outEnd)
		}
		for _, at := range tg.Arrivals() {
			if (i == 0 || i%3 == 1) && at.After(end) {
				s.t.Errorf("target i-%d got a request %v after it began to leave", i, at.Sub(s.calmFrom))
				break
			}
		}
	}
	for id, o := range s.outcomes {
		if o.status == 0 && runs[id] > 0 && o.sent.After(s.calmFrom) {
			s.t.Errorf("request %s reached a target and was cut by planned work", id)
		}
	}
}
