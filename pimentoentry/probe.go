package pimentoentry

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentotarget"
)

// probeTimeout bounds the duration of one probe.
const probeTimeout = time.Second

// markRestarted treats the targets with these addresses, which closed idle connections,
// as restarted and thus cold.
func (e *Entry) markRestarted(now time.Duration, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	for _, s := range e.allServices() {
		s.mu.Lock()
		for _, tg := range s.table.Targets() {
			if slices.Contains(addresses, tg.Address) {
				s.table.SuspectRestart(now, tg)
			}
		}
		changes := s.changes()
		s.mu.Unlock()
		e.publishChanges(changes)
	}
}

// probeTargets sends requests to the probe paths of targets of which traffic gives no
// recent information. Only the owner of a target probes it, so that no two entries with
// the same list spend its probe budget.
func (e *Entry) probeTargets(now time.Duration) {
	for _, s := range e.allServices() {
		s.mu.Lock()
		due := s.table.DueProbes(now)
		info := s.info
		s.mu.Unlock()
		for _, tg := range due {
			if e.workers.Submit(func() { e.probeTarget(s, tg, info.ProbePath, info.BootHeader) }) != nil {
				return
			}
		}
	}
}

// probeTarget probes one target and records the result.
func (e *Entry) probeTarget(s *service, tg *pimentotarget.Target, path, bootHeader string) {
	e.counters.probes.Inc()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(path)
	req.Header.SetHost(tg.Address)
	req.UseHostHeader = true
	x := &pimentohttp.Exchange{Address: tg.Address, Req: req, Resp: resp, Deadline: time.Now().Add(probeTimeout)}
	err := e.client.Do(x)
	bootID := uint64(0)
	if err == nil && bootHeader != "" {
		bootID = bootHash(resp.Header.Peek(bootHeader))
	}
	if err == nil {
		e.recordPause(s, tg, resp, bootID)
	}
	_ = resp.CloseBodyStream()
	s.mu.Lock()
	s.table.ProbeDone(e.now(), tg, err == nil, bootID)
	changes := s.changes()
	s.mu.Unlock()
	e.publishChanges(changes)
}
