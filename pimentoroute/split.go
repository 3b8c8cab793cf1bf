package pimentoroute

// Splitter distributes the requests of one route among its services in proportion to
// their weights by smooth weighted round robin: any sequence of requests is close to
// the proportions, see TestSplitIsEven for the limit. The zero value is ready to use.
// It isn't safe for concurrent use.
type Splitter struct {
	currentWeights map[string]int // By service.
}

// Next returns the service of the next request, or nil if none has a positive weight.
// A single service is returned whatever its weight.
func (s *Splitter) Next(services []SplitService) *SplitService {
	if len(services) == 1 {
		return &services[0]
	}
	if s.currentWeights == nil {
		s.currentWeights = make(map[string]int)
	}
	total := 0
	var best *SplitService
	for i := range services {
		service := &services[i]
		if service.Weight <= 0 {
			continue
		}
		total += service.Weight
		s.currentWeights[string(service.Service)] += service.Weight
		if best == nil || s.currentWeights[string(service.Service)] > s.currentWeights[string(best.Service)] {
			best = service
		}
	}
	if best != nil {
		s.currentWeights[string(best.Service)] -= total
	}
	return best
}

// Skip advances the sequence by n requests, so that entries that start together don't
// send their first requests to the same service.
func (s *Splitter) Skip(services []SplitService, n int) {
	for range n {
		s.Next(services)
	}
}
