package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: a key-value store with one revision
// counter, ranges and watches.
type store struct {
	address string

	mu       sync.Mutex // Guards the fields below.
	revision uint64
	era      uint64
	away     bool // It answers nobody.
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // Closed and replaced with each change.
}

// storeItem is an item, or its removal.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"` // Base64.
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"createdRev,omitempty"`
	Lease     int    `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageItems is the number of items on one page.
const pageItems = 500

// startStore starts a store on a free port. It returns a cleanup function.
func startStore() (*store, func(), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &store{address: ln.Addr().String(), items: make(map[string]storeItem), revision: 100, era: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.unlessAway(s.serveKey))
	mux.HandleFunc("GET /api/kv-range", s.unlessAway(s.serveRange))
	mux.HandleFunc("GET /api/kv-watch", s.unlessAway(s.serveWatch))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	return s, func() { _ = server.Close() }, nil
}

// put writes an item. It does nothing while the store is away.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.revision++
	it := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Tombstone: true})
}

// append adds a change to the history and wakes the watches. It is called with mu held.
func (s *store) append(it storeItem) {
	s.history = append(s.history, it)
	s.wake()
}

// unlessAway returns a handler that closes the connection without an answer while the store is
// away.
func (s *store) unlessAway(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		handle(w, r)
	}
}

// copyOf is a copy of the store's state.
type copyOf struct {
	revision uint64
	items    map[string]storeItem
	history  []storeItem
}

// copy returns a copy of the state.
func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copyOf{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// leave makes the store answer nobody, and cuts the watches that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store answer again from a copy, in the next era.
func (s *store) comeBack(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.history = c.revision, c.items, c.history
	s.era++
	s.away = false
}

// isAway reports whether the store answers nobody.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// wake wakes the watches. It is called with mu held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		s.reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.reply(w, http.StatusOK, it)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var list []storeItem
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	s.reply(w, http.StatusOK, map[string]any{"items": append([]storeItem{}, list[:min(len(list), pageItems)]...), "hasMore": more, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mu.Unlock()
			s.reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []storeItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}
