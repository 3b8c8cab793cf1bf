package pimentoregister

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Store keeps the active document. The zero value is ready to use and has revision
// zero. It is safe for concurrent use. View takes no lock.
type Store struct {
	view atomic.Pointer[View]

	mu      sync.Mutex      // Guards the fields below.
	data    []byte          // The active value as offered.
	refused RefusedDocument // The refused document with the highest revision.
	cache   partCache
}

// RefusedDocument is the newest revision that was refused, and why.
type RefusedDocument struct {
	Revision Revision
	Err      error
}

var emptyView = NewView(&Document{}, 0, nil)

// View returns the view of the active document. It is never nil.
func (s *Store) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// Offer checks a published document and activates it if its revision is above the
// active one. It reports whether the view has changed. The *Error is of KindStale if the
// revision isn't above the active one. A refused document changes only the result of
// Refused.
func (s *Store) Offer(rev Revision, data []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.View()
	if rev <= prev.Revision {
		return false, &Error{Op: "offer", Kind: KindStale, Err: fmt.Errorf("revision %d isn't above the active revision %d", rev, prev.Revision)}
	}
	d, err := s.cache.assemble(data)
	if err != nil {
		if rev >= s.refused.Revision {
			s.refused = RefusedDocument{Revision: rev, Err: err}
		}
		return false, err
	}
	s.data = append([]byte(nil), data...)
	s.view.Store(NewView(d, rev, prev))
	return true, nil
}

// Data returns the active revision and its value as it was offered, for forwarding it to
// peers. The caller must not modify the value.
func (s *Store) Data() (Revision, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.View().Revision, s.data
}

// Refused returns the newest refused document whose revision is above the active one,
// or the zero value.
func (s *Store) Refused() RefusedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused.Revision <= s.View().Revision {
		return RefusedDocument{}
	}
	return s.refused
}
