package pimentogate

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentoroute"
)

const (
	// maxPipelined bounds the requests of one connection that are served at a time.
	// Further ones are read after a response was written.
	maxPipelined = 16
	// responseWriteTimeout bounds the time to write one response to a caller.
	responseWriteTimeout = 20 * time.Second
	// requestLineRoom is added to the header limit for the request line and line
	// ends.
	requestLineRoom = 4 << 10
)

// callerConn is one connection of a caller. One goroutine reads requests and
// detects that the caller has closed the connection; another writes the responses
// in order.
type callerConn struct {
	gate *Gate
	net.Conn
	callerIP   string
	link       linkReader
	r          *bufio.Reader         // Reads from link.
	limits     pimentoroute.Limits   // Those of the request that is being read.
	pending    chan *pendingResponse // In the order of the requests.
	unanswered atomic.Int32          // Requests that were read and not responded to yet.
	endedIdle  bool                  // It ended between two requests. Set by readRequests.
	mu         sync.Mutex            // Guards the fields below.
	closing    bool                  // No more requests are accepted.
	closedIdle bool                  // Only because a planned stop found the connection idle.
	// firstRequestBy is the time until which a planned stop leaves the connection open for
	// its first request. It is zero once that has begun to arrive.
	firstRequestBy time.Time
	receiving      bool               // A request has begun to arrive.
	calls          map[*call]struct{} // Requests without a response.
	idleSince      time.Time          // When the last response ended, zero before the first.
	losses         connLosses
}

// pendingResponse is the place of one response in the order of a connection.
type pendingResponse struct {
	call *call
	done chan *response // Receives one response.
}

func (g *Gate) serveConn(nc net.Conn) { g.newCallerConn(nc).serve() }

// newCallerConn returns a connection that was accepted, and adds it to the open ones.
func (g *Gate) newCallerConn(nc net.Conn) *callerConn {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		host = nc.RemoteAddr().String()
	}
	limits := g.limits()
	cc := &callerConn{
		gate: g, Conn: nc, callerIP: host,
		link:    linkReader{r: nc},
		pending: make(chan *pendingResponse, maxPipelined),
		calls:   make(map[*call]struct{}),

		firstRequestBy: time.Now().Add(firstRequestTime),
	}
	cc.r = bufio.NewReaderSize(&cc.link, limits.HeaderBytes+requestLineRoom)
	g.conns.add(cc)
	return cc
}

// serve serves requests until the connection ends.
func (cc *callerConn) serve() {
	var wg sync.WaitGroup
	wg.Go(cc.writeResponses)
	cc.readSafely()
	close(cc.pending)
	wg.Wait()
	if !cc.endedIdle || pimentohttp.Unacknowledged(cc.Conn) > 0 {
		cc.linger()
	}
	_ = cc.Close()
	cc.reportLosses()
	cc.gate.conns.remove(cc)
}

// firstRequestTime is the time that a new connection has to begin its first request during a
// planned stop.
const firstRequestTime = 300 * time.Millisecond

// readRequests reads requests until the caller closes the connection or a response
// has to close it.
func (cc *callerConn) readRequests() {
	exclusive := false
	for {
		c, err := cc.readRequest(exclusive)
		if err != nil {
			cc.endedIdle = cc.isIdleEnd(err)
			cc.handleReadError(c, err)
			cc.gate.dropQuota(c)
			c.end()
			cc.awaitResponses()
			return
		}
		if !cc.addCall(c) {
			// The response before this request closes the connection, so the
			// request counts as unread.
			cc.gate.dropQuota(c)
			c.end()
			cc.awaitResponses()
			return
		}
		if c.early != nil {
			if !cc.respondEarly(c) {
				return
			}
			continue
		}
		p := &pendingResponse{call: c, done: make(chan *response, 1)}
		cc.pending <- p
		if err := cc.gate.workers.Submit(func() { p.done <- cc.gate.serveRequest(c) }); err != nil {
			cc.gate.dropQuota(c)
			p.done <- cc.gate.refusal(c, reasonBusy, retryAfterBusy)
		}
		// The request after one that may change something must not be executed if
		// the response to that one closes the connection.
		exclusive = !c.req.Header.IsGet() && !c.req.Header.IsHead()
	}
}

// addCall registers a request, or an invalid one if c is nil. It reports false if the
// connection accepts no more.
func (cc *callerConn) addCall(c *call) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.receiving = false
	if cc.closing {
		return false
	}
	cc.unanswered.Add(1)
	if c != nil {
		cc.calls[c] = struct{}{}
	}
	return true
}

// removeCall removes a request whose response was written or dropped.
func (cc *callerConn) removeCall(c *call) {
	c.end()
	cc.mu.Lock()
	delete(cc.calls, c)
	cc.idleSince = time.Now()
	cc.mu.Unlock()
	cc.unanswered.Add(-1)
}

// stopReading makes the connection accept no more requests. Those that were read
// still get their responses.
func (cc *callerConn) stopReading(why connEnd) {
	cc.setReadEnd(why)
	cc.mu.Lock()
	cc.closing, cc.closedIdle = true, false
	cc.mu.Unlock()
	_ = cc.SetReadDeadline(time.Now())
}

// stopReadingIfLast makes the connection accept no more requests if no response but one is
// outstanding, and reports whether that is so.
func (cc *callerConn) stopReadingIfLast() bool {
	cc.mu.Lock()
	last := cc.unanswered.Load() <= 1
	cc.closing = cc.closing || last
	cc.mu.Unlock()
	if last {
		cc.setReadEnd(endStop)
		_ = cc.SetReadDeadline(time.Now())
	}
	return last
}

// stopReadingUnlessReceiving makes the connection accept no more requests, except for one
// that has begun to arrive while no response is outstanding, or the first one of a new
// connection. Requests behind an outstanding response count as unread, because that response
// closes the connection.
func (cc *callerConn) stopReadingUnlessReceiving() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	awaited := cc.receiving || time.Now().Before(cc.firstRequestBy)
	outstanding := cc.unanswered.Load() > 0
	if awaited && !outstanding {
		return
	}
	cc.closedIdle = cc.closedIdle || (!cc.closing && !outstanding)
	cc.closing = true
	if cc.losses.readEnd == endNone {
		cc.losses.readEnd = endStop
	}
	_ = cc.SetReadDeadline(time.Now())
}

// beginReceiving records that a request has begun to arrive. It reports false if the
// connection accepts no more.
func (cc *callerConn) beginReceiving() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.receiving = !cc.closing
	cc.firstRequestBy = time.Time{}
	return cc.receiving
}

func (cc *callerConn) isClosing() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closing
}

// exclusiveCheckInterval is the time between two checks whether a request that must
// run alone has ended, while another request waits behind it.
const exclusiveCheckInterval = 5 * time.Millisecond

var errClosing = errors.New("the connection closes after the outstanding responses")

// readRequest reads one complete request. Between requests it waits for at most the
// active idle timeout. If exclusive is set, the request before it must end first. After an
// error, the call is that of a request whose head was read, or nil.
func (cc *callerConn) readRequest(exclusive bool) (*call, error) {
	if err := cc.awaitFirstByte(exclusive); err != nil {
		return nil, err
	}
	if !cc.beginReceiving() && !cc.resume() {
		return nil, errClosing
	}
	limits := cc.takeLimits()
	_ = cc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req := new(fasthttp.Request)
	if err := req.Header.Read(cc.r); err != nil {
		return nil, readError(&hiddenError{err}, cc.link.err)
	}
	if err := useOriginForm(&req.Header); err != nil {
		return nil, err // Such a target may hold a password, and isn't logged.
	}
	c := newCall(req, &cc.gate.dialect, cc.callerIP, time.Now())
	if err := checkHead(&req.Header, limits); err != nil {
		return c, err
	}
	if c.early = cc.gate.refuseByHead(c); c.early != nil {
		return c, nil
	}
	c.memory, c.releaseMemory = cc.gate.memory.NewGrant()
	err := cc.readBody(c, limits.BodyBytes)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		err = &badRequest{reason: reasonLarge, err: err}
	case err != nil && !errors.Is(err, pimentomemory.ErrUsedUp):
		err = readError(err, cc.link.err)
	}
	return c, err
}

// awaitFirstByte waits for the first byte of the next request, and for the end of
// the previous one if that one is exclusive.
func (cc *callerConn) awaitFirstByte(exclusive bool) error {
	began := time.Now()
	limit := cc.gate.limits().IdleTimeout // The caller may not know a shorter one yet.
	skipped := false
	for {
		_ = cc.SetReadDeadline(time.Now().Add(idleCheckInterval))
		if cc.isClosing() {
			if cc.resume() {
				return nil
			}
			return errClosing
		}
		first, err := cc.r.Peek(1)
		busy := cc.unanswered.Load() > 0
		var ne net.Error
		switch {
		case err == nil && !skipped && first[0] == '\r':
			cc.skipEmptyLine()
			skipped = true
		case err == nil && exclusive && busy:
			time.Sleep(exclusiveCheckInterval)
		case err == nil:
			return nil
		case !errors.As(err, &ne) || !ne.Timeout():
			return err
		case !busy && cc.idleTime(began) > max(limit, cc.gate.limits().IdleTimeout):
			return errIdle
		}
	}
}

// skipEmptyLine skips a line end that some callers send after a body. It is no part of a request
// (RFC 9112, 2.2).
func (cc *callerConn) skipEmptyLine() {
	const lineEnd = "\r\n"
	if line, _ := cc.r.Peek(len(lineEnd)); string(line) == lineEnd {
		_, _ = cc.r.Discard(len(lineEnd))
	}
}

// idleTime returns the time since a point in time or since the end of the last response, if
// that was later.
func (cc *callerConn) idleTime(since time.Time) time.Duration {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return min(time.Since(since), time.Since(cc.idleSince))
}

// idleCheckInterval is the longest time between two checks whether an idle
// connection is to be closed.
const idleCheckInterval = 5 * time.Second

var errIdle = errors.New("the connection exceeded the idle timeout")

// handleReadError ends the connection's requests according to the read error. c is the call
// whose body couldn't be read, or nil.
func (cc *callerConn) handleReadError(c *call, err error) {
	var bad *badRequest
	switch {
	case errors.As(err, &bad) && !cc.isClosing():
		cc.setReadEnd(endInvalid)
		cc.refuseInvalid(c, bad)
	case errors.Is(err, pimentomemory.ErrUsedUp):
		cc.refuseUnread(c)
	case errors.Is(err, errIdle), errors.Is(err, errClosing), cc.isClosing():
		cc.setReadEnd(endIdle)
		// Outstanding responses are still written.
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		cc.abandonAll(endCaller)
	default:
		cc.abandonAll(endFailed)
		_ = level.Debug(cc.gate.log).Log("msg", "caller connection failed", "from", cc.callerIP, "err", err)
	}
}

// closeCheckInterval is the longest time between two checks whether all responses of a
// connection that accepts no more requests were written.
const closeCheckInterval = 100 * time.Millisecond

// awaitResponses drops what the caller still sends until the outstanding responses are
// written, and abandons them if the caller closes the connection.
func (cc *callerConn) awaitResponses() {
	for cc.unanswered.Load() > 0 {
		_ = cc.SetReadDeadline(time.Now().Add(closeCheckInterval))
		err := cc.discard(cc.r)
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			cc.abandonAll(endCaller)
			return
		}
	}
}

// abandonAll abandons all calls of the connection and accepts no more.
func (cc *callerConn) abandonAll(why connEnd) {
	cc.setReadEnd(why)
	cc.setDropEnd(why)
	cc.mu.Lock()
	cc.closing, cc.closedIdle = true, false
	calls := slices.Collect(maps.Keys(cc.calls))
	cc.mu.Unlock()
	for _, c := range calls {
		c.abandon()
	}
}
