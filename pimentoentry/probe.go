package pimentoentry

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentotarget"
)

// probeTimeout bounds one probe.
const probeTimeout = time.Second

// suspect counts targets that closed idle connections as restarted.
func (e *Entry) suspect(now time.Duration, addresses []string) {
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
		e.publish(changes)
	}
}

// probe asks the load endpoints of targets that traffic tells nothing of. The
// owner of a target alone probes it, so that no two entries with the same list
// spend its budget.
func (e *Entry) probe(now time.Duration) {
	for _, s := range e.allServices() {
		s.mu.Lock()
		due := s.table.DueProbes(now)
		info := s.view
		s.mu.Unlock()
		for _, tg := range due {
			if e.workers.Submit(func() { e.probeOne(s, tg, info.ProbePath, info.BootHeader) }) != nil {
				return
			}
		}
	}
}

func (e *Entry) probeOne(s *service, tg *pimentotarget.Target, path, bootHeader string) {
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
	boot := uint64(0)
	if err == nil && bootHeader != "" {
		boot = bootMark(resp.Header.Peek(bootHeader))
	}
	_ = resp.CloseBodyStream()
	s.mu.Lock()
	s.table.ProbeDone(e.now(), tg, err == nil, boot)
	changes := s.changes()
	s.mu.Unlock()
	e.publish(changes)
}
