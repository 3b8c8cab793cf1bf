package main

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Backend is a stand-in for one backend, as PROTOCOL.md describes it: slots, a queue, a
// limit on connections, an idle timeout, ids that are echoed, and load reports.
type Backend struct {
	ID, Service, Zone string
	Slots, Queue      int
	MaxConns          int
	HealthDelay       time.Duration
	IdleClose         time.Duration
	// Work returns how long a request takes.
	Work func() time.Duration
	// Body returns the body of the response.
	Body func(id string) []byte

	Addr string
	rec  *Record

	mu      sync.Mutex // Guards the fields below.
	slow    float64    // Factor on Work; 0 means 1.
	cut     float64    // Part of the answers that are broken off.
	running int
	waiting int
	conns   map[net.Conn]bool
	most    int // The most connections at a time.
	refused int // Connections reset beyond MaxConns.
	free    chan struct{}
}

// Start serves on a free port.
func (b *Backend) Start(rec *Record) {
	b.rec = rec
	b.conns = make(map[net.Conn]bool)
	b.free = make(chan struct{}, b.Slots)
	for range b.Slots {
		b.free <- struct{}{}
	}
	ln := listen()
	b.Addr = ln.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: b.IdleClose, ConnState: b.connState}
	go func() { _ = srv.Serve(ln) }()
}

// Publish writes the backend's entry to the store.
func (b *Backend) Publish(s *Store) {
	s.Put("servers/"+b.ID, map[string]any{
		"service": b.Service, "address": b.Addr, "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": "ready", "warmupLeft": "0ms", "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// SetSlow makes work take x times as long.
func (b *Backend) SetSlow(x float64) {
	b.mu.Lock()
	b.slow = x
	b.mu.Unlock()
}

// SetCut makes a part of the answers end within the body, with the connection.
func (b *Backend) SetCut(part float64) {
	b.mu.Lock()
	b.cut = part
	b.mu.Unlock()
}

func (b *Backend) connState(c net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[c] = true
		b.most = max(b.most, len(b.conns))
		if len(b.conns) > b.MaxConns {
			b.refused++
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

// Conns returns the number of open connections, and the most at a time.
func (b *Backend) Conns() (open, most, refused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.most, b.refused
}

func (b *Backend) load(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Set("X-Backend-Load", fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.Slots))
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(b.IdleClose.Seconds())))
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		time.Sleep(b.HealthDelay)
		b.load(h)
		h.Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	refuse := func(status int) {
		b.load(h)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("X-Expected-Instance"); {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != b.ID:
		h.Set("X-Instance-Id", b.ID)
		refuse(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	deadline := arrived.Add(time.Hour)
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		deadline = arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	b.rec.Arrived(id, b.ID)
	if !b.enter(r, deadline) {
		if r.Context().Err() == nil {
			refuse(http.StatusServiceUnavailable)
		}
		return
	}
	b.rec.Run(id, b.ID, size)
	defer b.leave()
	b.mu.Lock()
	x, cut := max(1, b.slow), rand.Float64() < b.cut
	b.mu.Unlock()
	work := time.NewTimer(time.Duration(x * float64(b.Work())))
	defer work.Stop()
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	status, body := http.StatusOK, b.Body(id)
	select {
	case <-work.C:
	case <-late.C:
		status, body = http.StatusGatewayTimeout, nil
	case <-r.Context().Done():
		return
	}
	b.load(h)
	h.Set("X-Response-Signature", sign(id, body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if cut {
		b.rec.Note("%s breaks off its answer to %s", b.ID, id)
		body = body[:len(body)/2]
	}
	_, _ = io.Copy(w, bytes.NewReader(body))
}

// enter waits for a slot. It returns false if the queue is full or the deadline passes.
func (b *Backend) enter(r *http.Request, deadline time.Time) bool {
	b.mu.Lock()
	if b.waiting >= b.Queue && b.running >= b.Slots {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	ok := false
	select {
	case <-b.free:
		ok = true
	case <-late.C:
	case <-r.Context().Done():
	}
	b.mu.Lock()
	b.waiting--
	if ok {
		b.running++
	}
	b.mu.Unlock()
	return ok
}

func (b *Backend) leave() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.free <- struct{}{}
}

// sign returns the signature of a response.
func sign(id string, body []byte) string {
	return fmt.Sprintf("%08x.%d", crc32.ChecksumIEEE(append([]byte(id+"\n"), body...)), len(body))
}
