package pimentoroute

// Splitter distributes the requests of one route among its services in proportion to
// their weights by smooth weighted round robin: any sequence of requests is as close
// to the proportions as whole numbers allow. The zero value is ready to use. It isn't
// safe for concurrent use.
type Splitter struct {
	credit map[string]int
}

// Next returns the service of the next request, or nil if none has a positive weight.
// A single service is returned whatever its weight.
func (s *Splitter) Next(parts []SplitService) *SplitService {
	if len(parts) == 1 {
		return &parts[0]
	}
	if s.credit == nil {
		s.credit = make(map[string]int)
	}
	total := 0
	var best *SplitService
	for i := range parts {
		p := &parts[i]
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		s.credit[string(p.Service)] += p.Weight
		if best == nil || s.credit[string(p.Service)] > s.credit[string(best.Service)] {
			best = p
		}
	}
	if best != nil {
		s.credit[string(best.Service)] -= total
	}
	return best
}

// Skip advances the order by n requests, so that entries that start together don't
// send their first requests to the same service.
func (s *Splitter) Skip(parts []SplitService, n int) {
	for range n {
		s.Next(parts)
	}
}
