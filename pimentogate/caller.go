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

// defaultLimits apply until there is a configuration.
var defaultLimits = pimentoroute.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// callerConn is one connection of a caller. One goroutine reads requests and
// detects that the caller has closed the connection; another writes the responses
// in order.
type callerConn struct {
	gate *Gate
	net.Conn
	callerIP   string
	r          *bufio.Reader
	pending    chan *pendingResponse // In the order of the requests.
	unanswered atomic.Int32          // Requests that were read and not responded to yet.
	mu         sync.Mutex            // Guards the fields below.
	closing    bool                  // No more requests are accepted.
	receiving  bool                  // A request has begun to arrive.
	calls      map[*call]struct{}    // Requests without a response.
}

// pendingResponse is the place of one response in the order of a connection.
type pendingResponse struct {
	call *call
	done chan *response // Receives one response.
}

func (g *Gate) serveConn(nc net.Conn) {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		host = nc.RemoteAddr().String()
	}
	limits := g.limits()
	cc := &callerConn{
		gate: g, Conn: nc, callerIP: host,
		r:       bufio.NewReaderSize(nc, limits.HeaderBytes+requestLineRoom),
		pending: make(chan *pendingResponse, maxPipelined),
		calls:   make(map[*call]struct{}),
	}
	g.conns.add(cc)
	var wg sync.WaitGroup
	wg.Go(cc.writeResponses)
	cc.readRequests()
	close(cc.pending)
	wg.Wait()
	cc.linger()
	_ = nc.Close()
	g.conns.remove(cc)
}

// lingerTime bounds the time for which a half-closed connection is still read.
const lingerTime = 500 * time.Millisecond

// linger closes the sending side and reads what the caller still sends, because
// closing a connection with unread bytes resets it, and the caller may lose the
// last response.
func (cc *callerConn) linger() {
	tcp, ok := cc.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = cc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, cc.Conn)
}

// limits returns the active limits.
func (g *Gate) limits() pimentoroute.Limits {
	if t := g.table.Load(); t != nil && t.Config != nil {
		return t.Config.Limits
	}
	return defaultLimits
}

// readRequests reads requests until the caller closes the connection or a response
// has to close it.
func (cc *callerConn) readRequests() {
	exclusive := false
	for {
		c, err := cc.readRequest(exclusive)
		if err != nil {
			cc.handleReadError(c, err)
			c.end()
			cc.awaitResponses()
			return
		}
		if !cc.addCall(c) {
			// The response before this request closes the connection, so the
			// request counts as unread.
			c.end()
			cc.awaitResponses()
			return
		}
		p := &pendingResponse{call: c, done: make(chan *response, 1)}
		cc.pending <- p
		if err := cc.gate.workers.Submit(func() { p.done <- cc.gate.serveRequest(c) }); err != nil {
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
	cc.mu.Unlock()
	cc.unanswered.Add(-1)
}

// stopReading makes the connection accept no more requests. Those that were read
// still get their responses.
func (cc *callerConn) stopReading() {
	cc.mu.Lock()
	cc.closing = true
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
		_ = cc.SetReadDeadline(time.Now())
	}
	return last
}

// stopReadingUnlessReceiving makes the connection accept no more requests, except for one
// that has begun to arrive while no response is outstanding. Requests behind an outstanding
// response count as unread, because that response closes the connection.
func (cc *callerConn) stopReadingUnlessReceiving() {
	cc.mu.Lock()
	stops := !cc.receiving || cc.unanswered.Load() > 0
	cc.closing = cc.closing || stops
	cc.mu.Unlock()
	if stops {
		_ = cc.SetReadDeadline(time.Now())
	}
}

// beginReceiving records that a request has begun to arrive. It reports false if the
// connection accepts no more.
func (cc *callerConn) beginReceiving() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.receiving = !cc.closing
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
	if !cc.beginReceiving() {
		return nil, errClosing
	}
	limits := cc.gate.limits()
	_ = cc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req := new(fasthttp.Request)
	if err := req.Header.Read(cc.r); err != nil {
		return nil, headError(err)
	}
	c := newCall(req, &cc.gate.dialect, cc.callerIP, time.Now())
	if err := checkHead(&req.Header, limits); err != nil {
		return c, err
	}
	c.memory, c.releaseMemory = cc.gate.memory.NewGrant()
	err := cc.readBody(c, limits.BodyBytes)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		err = &badRequest{status: fasthttp.StatusRequestEntityTooLarge, err: err}
	}
	return c, err
}

// awaitFirstByte waits for the first byte of the next request, and for the end of
// the previous one if that one is exclusive.
func (cc *callerConn) awaitFirstByte(exclusive bool) error {
	idleSince := time.Now()
	for {
		_ = cc.SetReadDeadline(time.Now().Add(idleCheckInterval))
		if cc.isClosing() {
			return errClosing
		}
		_, err := cc.r.Peek(1)
		busy := cc.unanswered.Load() > 0
		var ne net.Error
		switch {
		case err == nil && exclusive && busy:
			time.Sleep(exclusiveCheckInterval)
		case err == nil:
			return nil
		case !errors.As(err, &ne) || !ne.Timeout():
			return err
		case busy:
			idleSince = time.Now()
		case time.Since(idleSince) > cc.gate.limits().IdleTimeout:
			return errIdle
		}
	}
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
	case errors.As(err, &bad):
		cc.refuseInvalid(bad)
	case errors.Is(err, pimentomemory.ErrUsedUp):
		cc.refuseUnread(c)
	case errors.Is(err, errIdle), errors.Is(err, errClosing), cc.isClosing():
		// Outstanding responses are still written.
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		cc.abandonAll()
	default:
		cc.abandonAll()
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
		_, err := cc.r.WriteTo(io.Discard)
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			cc.abandonAll()
			return
		}
	}
}

// refuseInvalid responds to an invalid request, and closes the connection.
func (cc *callerConn) refuseInvalid(bad *badRequest) {
	resp := fasthttp.AcquireResponse()
	resp.SetStatusCode(bad.status)
	cc.gate.metrics.countRefusal(reasonInvalid)
	cc.gate.logLine(level.WarnValue(), "msg", "request refused", "reason", reasonInvalid, "from", cc.callerIP, "status", bad.status, "err", bad.err)
	p := &pendingResponse{done: make(chan *response, 1)}
	p.done <- &response{http: resp, reason: reasonInvalid, closeConn: true}
	if cc.addCall(nil) {
		cc.pending <- p
	}
}

// abandonAll abandons all calls of the connection and accepts no more.
func (cc *callerConn) abandonAll() {
	cc.mu.Lock()
	cc.closing = true
	calls := slices.Collect(maps.Keys(cc.calls))
	cc.mu.Unlock()
	for _, c := range calls {
		c.abandon()
	}
}

// writeResponses writes the responses in the order of the requests.
func (cc *callerConn) writeResponses() {
	w := bufio.NewWriterSize(cc.Conn, 4<<10)
	for p := range cc.pending {
		resp := <-p.done
		more := cc.writeResponse(w, p, resp)
		cc.removeCall(p.call)
		if !more {
			break
		}
	}
	cc.stopReading()
	// Requests read after the last response don't get one.
	cc.abandonAll()
	for p := range cc.pending {
		releaseResponse(<-p.done)
		cc.removeCall(p.call)
	}
}

// releaseResponse frees a response that was written or isn't needed.
func releaseResponse(resp *response) {
	_ = resp.http.CloseBodyStream()
	fasthttp.ReleaseResponse(resp.http)
}

// writeResponse writes a response, and reports whether another one may follow.
func (cc *callerConn) writeResponse(w *bufio.Writer, p *pendingResponse, resp *response) bool {
	defer releaseResponse(resp)
	if p.call != nil && p.call.isAbandoned() {
		return false
	}
	closes := cc.closesAfterResponse(p, resp)
	if closes {
		resp.http.SetConnectionClose()
	}
	_ = cc.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	err := resp.http.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		id := ""
		if p.call != nil {
			id = p.call.id
		}
		cc.gate.metrics.count(`pimento_answers_cut_total`)
		cc.gate.logLine(level.WarnValue(), "msg", "response write failed", "id", id, "from", cc.callerIP, "err", err)
		_ = cc.Close()
		return false
	}
	return !closes
}

// closesAfterResponse reports whether the connection is closed after a response, and makes
// it accept no more requests in that case. During a planned stop it is closed once no other
// response is outstanding.
func (cc *callerConn) closesAfterResponse(p *pendingResponse, resp *response) bool {
	if resp.closeConn || (p.call != nil && p.call.req.ConnectionClose()) {
		cc.stopReading()
		return true
	}
	return cc.gate.stopping.Load() && cc.stopReadingIfLast()
}
