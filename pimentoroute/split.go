package pimentoroute

// Splitter deals the requests of one route to its parts in proportion to their
// weights, so that any run of requests is as close to the proportions as whole
// numbers allow. The zero value is ready to use. It isn't safe for concurrent use.
type Splitter struct {
	credit map[string]int
}

// Next returns the part of the next request. It returns nil if no part has a
// positive weight.
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

// Skip moves the order by a number of requests, so that entries that start
// together don't send their first requests to the same part.
func (s *Splitter) Skip(parts []SplitService, n int) {
	for range n {
		s.Next(parts)
	}
}
