package pimentohttp

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultMaxIdle     = 2 * time.Second
	defaultDialTimeout = 500 * time.Millisecond
	readBufferSize     = 8 << 10 // Bytes.
	writeBufferSize    = 4 << 10 // Bytes.
)

// Client sends requests to targets over pooled connections. The zero value is
// ready to use. Its exported fields are set before the first exchange. It is safe
// for concurrent use.
type Client struct {
	// MaxIdle is the time after which an idle connection is no longer used. 0 means
	// 2 s.
	MaxIdle time.Duration
	// DialTimeout bounds the time to open a connection. 0 means 500 ms.
	DialTimeout time.Duration
	// Redial makes the client use another connection when the target has closed a
	// pooled one. Without it, that is an error of KindStale.
	Redial bool
	// UserTimeout is the TCP user timeout: a connection fails if sent bytes stay
	// unacknowledged for this long. 0 means the system's default.
	UserTimeout time.Duration
	// Dial opens a connection. Nil means that TCP is used.
	Dial func(address string, timeout time.Duration) (net.Conn, error)

	mu    sync.Mutex // Guards pools.
	pools map[string]*pool
}

// pool holds the idle connections to one target, the most recently used last.
type pool struct {
	mu      sync.Mutex // Guards the fields below. Taken after Client.mu, never before.
	idle    []*Conn
	open    int  // Idle connections and those in use.
	limit   int  // Bound on open. 0 means none.
	removed bool // No exchange uses the pool any more.
}

// Conn is a connection to a target. Only one exchange uses it at a time.
type Conn struct {
	net.Conn
	// Peer is the identity that the target has stated on the connection, "" while it has
	// stated none. The user of the connection sets it, and later ones find it.
	Peer string

	pool *pool
	// r and w are nil while the connection is idle.
	r            *bufio.Reader
	w            *bufio.Writer
	bytesWritten atomic.Int64 // Since the connection was acquired.
	writing      sync.Mutex   // Held during a Write. Guards writeErr.
	writeErr     error        // Of the first Write that failed.
	lastUsed     time.Time    // Time of the last release to the pool. Zero before it.
	// keepAlive is the time for which the target keeps the connection open while it
	// is idle, less a margin. 0 means that the last buffered response had none.
	keepAlive time.Duration
	closeOnce sync.Once
	closed    atomic.Bool
}

// destroy closes the connection and stops counting it as open. It may be called at
// any time and more than once.
func (c *Conn) destroy() {
	c.closeOnce.Do(func() {
		c.closed.Store(true)
		_ = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
}

// pool returns the pool of a target. It creates one if there is none.
func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = make(map[string]*pool)
	}
	p := c.pools[address]
	if p == nil {
		p = new(pool)
		c.pools[address] = p
	}
	return p
}

// SetLimit sets the maximum number of open connections to a target, which is this
// entry's share of the target's own limit. 0 means no limit.
func (c *Client) SetLimit(address string, limit int) {
	p := c.pool(address)
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// Remove closes the idle connections to a target and removes its pool, with its
// limit.
func (c *Client) Remove(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.removed = true
	p.mu.Unlock()
	p.closeIdle()
}

// Prune closes connections that have been idle for too long. It returns the
// addresses of targets that have closed connections before that time: these
// targets may have restarted.
func (c *Client) Prune(now time.Time) []string {
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	var stale []string
	for address, p := range pools {
		p.closeExpired(now, c.maxIdle())
		if p.closeStale() {
			stale = append(stale, address)
		}
	}
	return stale
}

// PruneRegularly prunes the client until stop is called, which also closes all idle connections.
// It is for users that don't call Prune.
func (c *Client) PruneRegularly() (stop func()) {
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(c.maxIdle())
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				c.Prune(now)
			case <-stopped:
				return
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(stopped)
		c.CloseAllIdle()
	})
}

// closeStale closes idle connections that the target has closed and reports
// whether there were any. One with unread data counts as closed.
func (p *pool) closeStale() bool {
	return p.filterIdle(func(c *Conn) bool { return isUsable(c.Conn) }) > 0
}

// closeExpired closes connections that have been idle for maxIdle, or for the time
// after which their target closes them if that is less.
func (p *pool) closeExpired(now time.Time, maxIdle time.Duration) {
	p.filterIdle(func(c *Conn) bool { return now.Sub(c.lastUsed) < c.maxIdle(maxIdle) })
}

// closeIdle closes all idle connections of the pool.
func (p *pool) closeIdle() { p.filterIdle(func(*Conn) bool { return false }) }

// filterIdle closes the idle connections for which keep returns false, and returns
// their number.
func (p *pool) filterIdle(keep func(*Conn) bool) int {
	p.mu.Lock()
	var closed []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if keep(c) {
			kept = append(kept, c)
		} else {
			closed = append(closed, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, c := range closed {
		c.destroy()
	}
	return len(closed)
}

// CloseIdleTo closes the idle connections to a target. Its limit stays.
func (c *Client) CloseIdleTo(address string) { c.pool(address).closeIdle() }

// CloseAllIdle closes all idle connections. It is called when one connection was
// silent, that is, open but without any response, since others may be silent too.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	for _, p := range pools {
		p.closeIdle()
	}
}

// Addresses returns the addresses of the targets that have a pool, in no order.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.pools))
}

// OpenConns returns the number of open connections, idle and in use.
func (c *Client) OpenConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		p.mu.Lock()
		n += p.open
		p.mu.Unlock()
	}
	return n
}

// maxIdle returns MaxIdle or its default.
func (c *Client) maxIdle() time.Duration {
	if c.MaxIdle > 0 {
		return c.MaxIdle
	}
	return defaultMaxIdle
}

// Acquire returns a connection to a target for the exclusive use of the caller,
// who must Release or Discard it. It is an idle connection or a new one; with
// newConn it is always a new one. Errors have the type *Error.
func (c *Client) Acquire(address string, newConn bool, deadline time.Time) (*Conn, error) {
	return c.acquire(address, newConn, deadline)
}

// Release returns an acquired connection to its pool. The response of its last
// exchange must have been read completely.
func (c *Conn) Release() { c.release() }

// Discard closes an acquired connection. It may be called at any time.
func (c *Conn) Discard() { c.destroy() }

// Used reports whether the connection carried an exchange before it was acquired: it was
// taken from the pool and not newly opened.
func (c *Conn) Used() bool { return !c.lastUsed.IsZero() }

// maxIdle returns the time after which the idle connection is no longer used: the
// client's maxIdle, or the target's keep-alive time if that is less.
func (c *Conn) maxIdle(maxIdle time.Duration) time.Duration {
	if c.keepAlive > 0 {
		return min(maxIdle, c.keepAlive)
	}
	return maxIdle
}

// errStale is the cause of errors of KindStale.
var errStale = errors.New("the target has closed an idle connection")

// acquire returns an idle connection, checked just now to be open, or a new one;
// with newConn always a new one. If the target has closed an idle connection that
// hasn't expired, that is an error unless Redial is set, because the target may have
// restarted.
func (c *Client) acquire(address string, newConn bool, deadline time.Time) (*Conn, error) {
	p := c.pool(address)
	for !newConn {
		idle := p.popIdle()
		if idle == nil {
			break
		}
		unexpired := time.Since(idle.lastUsed) < idle.maxIdle(c.maxIdle())
		usable := isUsable(idle.Conn)
		if unexpired && usable {
			idle.takeBuffers()
			return idle, nil
		}
		idle.destroy()
		if unexpired && !c.Redial {
			return nil, &Error{Op: "connect", Kind: KindStale, Address: address, Err: errStale}
		}
	}
	return c.dial(p, address, deadline)
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// errConnLimit is the cause of errors of KindConnLimit.
var errConnLimit = errors.New("this entry's limit of connections to the target is reached")

// dial opens a connection. It fails if the pool is at its limit and no connection
// is idle.
func (c *Client) dial(p *pool, address string, deadline time.Time) (*Conn, error) {
	if !p.reserve() {
		return nil, &Error{Op: "connect", Kind: KindConnLimit, Address: address, Err: errConnLimit}
	}
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(address, min(timeout, max(time.Until(deadline), time.Millisecond)))
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &Error{Op: "connect", Kind: KindDial, Address: address, Err: err}
	}
	if c.UserTimeout > 0 {
		if err := SetUserTimeout(nc, c.UserTimeout); err != nil {
			_ = nc.Close()
			p.mu.Lock()
			p.open--
			p.mu.Unlock()
			return nil, &Error{Op: "connect", Kind: KindDial, Address: address, Err: err}
		}
	}
	cn := &Conn{Conn: nc, pool: p}
	cn.takeBuffers()
	return cn, nil
}

// readers and writers are the buffers of connections that aren't in use. Most connections to
// targets are idle, and their buffers would be most of what an entry holds.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

// takeBuffers gives a connection buffers for an exchange.
func (c *Conn) takeBuffers() {
	c.r, c.w = readers.Get().(*bufio.Reader), writers.Get().(*bufio.Writer)
	c.r.Reset(c)
	c.w.Reset(c)
}

// giveBuffers takes the empty buffers from a connection whose exchange is complete.
func (c *Conn) giveBuffers() {
	c.r.Reset(nil)
	c.w.Reset(nil)
	readers.Put(c.r)
	writers.Put(c.w)
	c.r, c.w = nil, nil
}

// dialTCP opens a TCP connection.
func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, timeout)
}

// reserve counts a new connection. At the limit it closes the idle connection that
// has been unused for the longest time, and reports false if there is none.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		if len(p.idle) == 0 {
			return false
		}
		old := p.idle[0]
		p.idle = p.idle[1:]
		old.closeOnce.Do(func() {
			_ = old.Conn.Close()
			p.open--
		})
	}
	p.open++
	return true
}

// release returns a connection to its pool after a complete exchange.
func (c *Conn) release() {
	if c.r.Buffered() > 0 {
		// Surplus bytes must not be read as the response to the next request.
		c.destroy()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.giveBuffers()
	c.lastUsed = time.Now()
	c.bytesWritten.Store(0)
	if !c.pool.addIdle(c) {
		c.destroy()
	}
}

// addIdle adds a connection that carries no exchange. It reports false if the pool was
// removed.
func (p *pool) addIdle(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.removed {
		p.idle = append(p.idle, c)
	}
	return !p.removed
}
