package pimentogate

import (
	"maps"
	"slices"
	"sync"
)

// connSet is the set of open connections of callers.
type connSet struct {
	mu   sync.Mutex // Guards open.
	open map[*callerConn]struct{}
}

func (s *connSet) add(cc *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*callerConn]struct{})
	}
	s.open[cc] = struct{}{}
}

func (s *connSet) remove(cc *callerConn) {
	s.mu.Lock()
	delete(s.open, cc)
	s.mu.Unlock()
}

// all returns the open connections.
func (s *connSet) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

func (s *connSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
