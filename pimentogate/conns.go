package pimentogate

import (
	"maps"
	"slices"
	"sync"
)

// connSet is the set of open connections of callers.
type connSet struct {
	most  int        // Bound on count, set before the first call. 0 means none.
	mu    sync.Mutex // Guards the fields below.
	open  map[*callerConn]struct{}
	count int // Connections that were accepted and not removed yet.
}

// accept counts a connection that will be added, so that size includes it at once. It
// reports false if there are too many.
func (s *connSet) accept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.most > 0 && s.count >= s.most {
		return false
	}
	s.count++
	return true
}

// add adds a connection that accept has counted.
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
	s.count--
	s.mu.Unlock()
}

// all returns the open connections.
func (s *connSet) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.open))
}

// anyUnanswered reports whether a request that was read has no response yet.
func (s *connSet) anyUnanswered() bool {
	return slices.ContainsFunc(s.all(), func(cc *callerConn) bool { return cc.unanswered.Load() > 0 })
}

// size returns the number of connections, with those that are about to be added.
func (s *connSet) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}
