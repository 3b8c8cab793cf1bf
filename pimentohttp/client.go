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
	readBuffer         = 8 << 10
	writeBuffer        = 4 << 10
)

// Client holds the connections to targets. The zero value is ready to use. Its
// exported fields are set before the first exchange.
type Client struct {
	// MaxIdle is the age from which an idle connection isn't used again.
	MaxIdle time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// Redial replaces a pooled connection that the target has closed by a new
	// one. Otherwise that is an error of KindStale.
	Redial bool
	// UserTimeout is the time without an acknowledgement of sent bytes after
	// which a connection breaks. 0 leaves it to the system.
	UserTimeout time.Duration

	mu    sync.Mutex // Guards pools.
	pools map[string]*pool
}

// pool holds the idle connections to one target, the newest last.
type pool struct {
	mu    sync.Mutex // Guards the fields below. Taken after Client.mu, never before.
	idle  []*Conn
	open  int
	limit int // 0 means none.
}

// Conn is one connection to a target. It is used by one exchange at a time.
type Conn struct {
	net.Conn
	pool    *pool
	r       *bufio.Reader
	w       *bufio.Writer
	written atomic.Int64
	usedAt  time.Time
	// keep is the time for which the target keeps the connection idle, 0 if it
	// hasn't said.
	keep   time.Duration
	closed sync.Once
	dead   atomic.Bool
}

// Write implements net.Conn and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// destroy closes the connection for good. It may be called at any time.
func (c *Conn) destroy() {
	c.closed.Do(func() {
		c.dead.Store(true)
		_ = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
}

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

// SetLimit bounds the connections to a target to this entry's share.
func (c *Client) SetLimit(address string, limit int) {
	p := c.pool(address)
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// Remove closes the idle connections to a target that is gone.
func (c *Client) Remove(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

// Prune closes the connections that have been idle for too long. It
// returns the targets that have closed younger ones, which may have restarted.
func (c *Client) Prune(now time.Time) []string {
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	var stale []string
	for address, p := range pools {
		p.closeOld(now, c.maxIdle())
		if p.closeStale() {
			stale = append(stale, address)
		}
	}
	return stale
}

// closeStale closes idle connections that the target has closed, and reports
// whether there were any.
func (p *pool) closeStale() bool {
	return p.keepIdle(func(c *Conn) bool { return quiet(c.Conn) }) > 0
}

// closeOld closes connections that have been idle for too long.
func (p *pool) closeOld(now time.Time, limit time.Duration) {
	p.keepIdle(func(c *Conn) bool { return now.Sub(c.usedAt) < c.maxIdle(limit) })
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() { p.keepIdle(func(*Conn) bool { return false }) }

// keepIdle closes the idle connections that keep reports false for, and returns
// their number.
func (p *pool) keepIdle(keep func(*Conn) bool) int {
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

// CloseIdleTo closes the idle connections to a target that stays. Its limit
// stays as well.
func (c *Client) CloseIdleTo(address string) { c.pool(address).closeIdle() }

// CloseAllIdle closes all idle connections, because one of them was silent and
// others may be.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	pools := maps.Clone(c.pools)
	c.mu.Unlock()
	for _, p := range pools {
		p.closeIdle()
	}
}

// Addresses returns the targets with a connection or a limit.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.pools))
}

// OpenConns returns the number of open connections.
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

func (c *Client) maxIdle() time.Duration {
	if c.MaxIdle > 0 {
		return c.MaxIdle
	}
	return defaultMaxIdle
}

// Acquire returns a connection to a target that nothing else uses until its
// Release or Discard: an idle one, or a new one. fresh asks for a new one.
func (c *Client) Acquire(address string, fresh bool, deadline time.Time) (*Conn, error) {
	return c.get(address, fresh, deadline)
}

// Release makes a taken connection idle. Its last exchange must have been whole.
func (c *Conn) Release() { c.put() }

// Discard closes a taken connection. It may be called at any time.
func (c *Conn) Discard() { c.destroy() }

// Used reports whether the connection has carried an exchange before.
func (c *Conn) Used() bool { return !c.usedAt.IsZero() }

// maxIdle returns the age from which an idle connection isn't used again.
func (c *Conn) maxIdle(limit time.Duration) time.Duration {
	if c.keep > 0 {
		return min(limit, c.keep)
	}
	return limit
}

// errStale is the cause of errors of KindStale.
var errStale = errors.New("the target has closed an idle connection")

// get returns an idle connection that was open a moment ago, or a new one.
// fresh asks for a new one. A young idle connection that the target has closed
// is an error, because the target may have restarted.
func (c *Client) get(address string, fresh bool, deadline time.Time) (*Conn, error) {
	p := c.pool(address)
	for !fresh {
		idle := p.take()
		if idle == nil {
			break
		}
		young := time.Since(idle.usedAt) < idle.maxIdle(c.maxIdle())
		open := quiet(idle.Conn)
		if young && open {
			return idle, nil
		}
		idle.destroy()
		if young && !c.Redial {
			return nil, &Error{Op: "connect", Kind: KindStale, Address: address, Err: errStale}
		}
	}
	return c.dial(p, address, deadline)
}

func (p *pool) take() *Conn {
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

// errBusy is the cause of errors of KindBusy.
var errBusy = errors.New("all connections of this entry's share are in use")

func (c *Client) dial(p *pool, address string, deadline time.Time) (*Conn, error) {
	if !p.reserve() {
		return nil, &Error{Op: "connect", Kind: KindConnLimit, Address: address, Err: errBusy}
	}
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	nc, err := net.DialTimeout("tcp", address, min(timeout, max(time.Until(deadline), time.Millisecond)))
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
	cn.r = bufio.NewReaderSize(nc, readBuffer)
	cn.w = bufio.NewWriterSize(cn, writeBuffer)
	return cn, nil
}

// reserve counts a new connection. Above the limit it gives up an idle one.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		if len(p.idle) == 0 {
			return false
		}
		old := p.idle[0]
		p.idle = p.idle[1:]
		old.closed.Do(func() {
			_ = old.Conn.Close()
			p.open--
		})
	}
	p.open++
	return true
}

// put makes a connection idle after a whole exchange.
func (c *Conn) put() {
	if c.r.Buffered() > 0 {
		// Bytes that no request asked for must not reach the next one.
		c.destroy()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.usedAt = time.Now()
	c.written.Store(0)
	c.pool.mu.Lock()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.mu.Unlock()
}
