package pimentohttp

import (
	"net"
	"sync"
	"time"
)

// ConnWatcher finds callers that have closed their connections while their requests
// are served. The server reads nothing from a connection meanwhile, so one
// goroutine looks at all of them in turn.
type ConnWatcher struct {
	mu      sync.Mutex // Guards the fields below.
	waiting map[*WatchedConn]struct{}
	wake    chan struct{} // Takes a token when waiting is no longer empty.
}

// WatchedConn is one caller's connection.
type WatchedConn struct {
	conn  net.Conn
	since time.Time
	gone  func()
}

const (
	// watchInterval is the time between two looks at a connection.
	watchInterval = 20 * time.Millisecond
	// watchAge is the age from which a request's caller is looked at.
	watchAge = 10 * time.Millisecond
)

// Add watches a connection until Remove. gone is called once, from another
// goroutine, if the caller closes it.
func (w *ConnWatcher) Add(c net.Conn, gone func()) *WatchedConn {
	item := &WatchedConn{conn: c, since: time.Now(), gone: gone}
	w.mu.Lock()
	w.init()
	w.waiting[item] = struct{}{}
	if len(w.waiting) == 1 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	return item
}

// init is called with w.mu held.
func (w *ConnWatcher) init() {
	if w.waiting == nil {
		w.waiting = make(map[*WatchedConn]struct{})
		w.wake = make(chan struct{}, 1)
	}
}

// Remove ends the watch over a connection.
func (w *ConnWatcher) Remove(item *WatchedConn) {
	w.mu.Lock()
	delete(w.waiting, item)
	w.mu.Unlock()
}

// Run looks at the connections until stop is closed. It sleeps while there are
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
			case <-time.After(watchInterval):
			}
			due, more = w.due(time.Now(), due[:0])
			w.look(due)
		}
	}
}

// due appends the connections to look at, and reports whether any are watched.
func (w *ConnWatcher) due(now time.Time, list []*WatchedConn) ([]*WatchedConn, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for item := range w.waiting {
		if now.Sub(item.since) >= watchAge {
			list = append(list, item)
		}
	}
	return list, len(w.waiting) > 0
}

func (w *ConnWatcher) look(list []*WatchedConn) {
	for _, item := range list {
		if open, _ := peek(item.conn); open {
			continue
		}
		w.mu.Lock()
		_, still := w.waiting[item]
		delete(w.waiting, item)
		w.mu.Unlock()
		if still {
			item.gone()
		}
	}
}
