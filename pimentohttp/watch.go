package pimentohttp

import (
	"net"
	"sync"
	"time"
)

// ConnWatcher detects callers that close their connections while their requests are
// served. The server doesn't read from a connection during that time, so a single
// goroutine polls all of them. The zero value is ready to use.
type ConnWatcher struct {
	mu    sync.Mutex // Guards the fields below.
	conns map[*WatchedConn]struct{}
	wake  chan struct{} // Signalled when conns is no longer empty.
}

// WatchedConn is a watched connection of a caller.
type WatchedConn struct {
	conn    net.Conn
	since   time.Time
	onClose func()
}

const (
	// checkInterval is the time between two checks of a connection.
	checkInterval = 20 * time.Millisecond
	// minCheckAge is the age of a request from which its connection is checked.
	minCheckAge = 10 * time.Millisecond
)

// Add watches a connection until Remove. onClose is called once, from another
// goroutine, if the caller closes the connection.
func (w *ConnWatcher) Add(c net.Conn, onClose func()) *WatchedConn {
	item := &WatchedConn{conn: c, since: time.Now(), onClose: onClose}
	w.mu.Lock()
	w.init()
	w.conns[item] = struct{}{}
	if len(w.conns) == 1 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	return item
}

// init makes the zero value usable. It is called with w.mu held.
func (w *ConnWatcher) init() {
	if w.conns == nil {
		w.conns = make(map[*WatchedConn]struct{})
		w.wake = make(chan struct{}, 1)
	}
}

// Remove stops watching a connection.
func (w *ConnWatcher) Remove(item *WatchedConn) {
	w.mu.Lock()
	delete(w.conns, item)
	w.mu.Unlock()
}

// Run checks the connections until stop is closed. It doesn't poll while there are
// none.
func (w *ConnWatcher) Run(stop <-chan struct{}) {
	w.mu.Lock()
	w.init()
	wake := w.wake
	w.mu.Unlock()
	var due []*WatchedConn
	for {
		select {
		case <-stop:
			return
		case <-wake:
		}
		for more := true; more; {
			select {
			case <-stop:
				return
			case <-time.After(checkInterval):
			}
			due, more = w.due(time.Now(), due[:0])
			w.check(due)
		}
	}
}

// due appends the connections to check to list, and reports whether any connection
// is watched.
func (w *ConnWatcher) due(now time.Time, list []*WatchedConn) ([]*WatchedConn, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for item := range w.conns {
		if now.Sub(item.since) >= minCheckAge {
			list = append(list, item)
		}
	}
	return list, len(w.conns) > 0
}

// check calls onClose for the connections that were closed.
func (w *ConnWatcher) check(list []*WatchedConn) {
	for _, item := range list {
		if open, _ := peek(item.conn); open {
			continue
		}
		w.mu.Lock()
		_, watched := w.conns[item]
		delete(w.conns, item)
		w.mu.Unlock()
		if watched {
			item.onClose()
		}
	}
}
