package pimentoregister

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Store keeps the document in force. The zero value is ready to use and has
// revision zero. It is safe for concurrent use; readers take no lock.
type Store struct {
	view atomic.Pointer[View]

	mu      sync.Mutex // Guards the fields below.
	data    []byte
	refused RefusedDocument
	parts   partCache
}

// RefusedDocument is the newest revision that was refused, and why.
type RefusedDocument struct {
	Revision Revision
	Err      error
}

var emptyView = NewView(&Document{}, 0, nil)

// View returns the view in force. It is never nil.
func (s *Store) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// Offer checks a published document and puts it in force if its revision is
// above the one in force. It reports whether the view in force has changed.
// The error is of KindStale when the revision isn't newer; a refused document
// changes nothing but what Refused returns.
func (s *Store) Offer(rev Revision, data []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.View()
	if rev <= prev.Revision {
		return false, &Error{Op: "offer", Kind: KindStale, Err: fmt.Errorf("revision %d isn't above revision %d in force", rev, prev.Revision)}
	}
	d, err := s.parts.assemble(data)
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

// Data returns the bytes in force with their revision, for passing them on.
// The caller must not change them.
func (s *Store) Data() (Revision, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.View().Revision, s.data
}

// Refused returns the newest refused document that is above the one in force,
// or the zero value.
func (s *Store) Refused() RefusedDocument {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused.Revision <= s.View().Revision {
		return RefusedDocument{}
	}
	return s.refused
}
