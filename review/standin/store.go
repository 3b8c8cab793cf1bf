package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store, or a change of one.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"createdRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Addr string

	mu      sync.Mutex // Guards the fields below.
	rev     uint64
	items   map[string]item
	history []item
	changed chan struct{}
}

// NewStore starts a store on a free port.
func NewStore() *Store {
	s := &Store{rev: 100, items: make(map[string]item), changed: make(chan struct{})}
	ln := listen()
	s.Addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// Put writes an item.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Value: data, Revision: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.rev, Tombstone: true})
}

func (s *Store) append(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var list []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	writeJSON(w, map[string]any{"items": list, "hasMore": more, "asOf": asOf})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var events []item
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, map[string]any{"events": []item{}, "asOf": asOf})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// listen listens on a free loopback port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return ln
}

// Ports of gates are taken below the range from which the system takes those of outgoing
// connections, so that none of these takes a port before its gate listens on it.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if ln, err := net.Listen("tcp", addr); err == nil {
			_ = ln.Close()
			return addr
		}
	}
	fatal(errors.New("no port is free"))
	return ""
}

func check(err error) {
	if err != nil {
		fatal(err)
	}
}

func fatal(err error) { panic(cannotRun{fmt.Sprint(err)}) }

// cannotRun is the panic of a case that couldn't run.
type cannotRun struct{ why string }
