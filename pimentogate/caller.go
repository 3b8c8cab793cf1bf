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

	"pimentoarch/pimentoroute"
)

const (
	// maxPipelined bounds the requests of one connection that are served at a
	// time. Further ones are read when an answer has left.
	maxPipelined = 16
	// answerWrite bounds the time to write one answer to a caller.
	answerWrite = 20 * time.Second
	// headRoom is what a request line and the ends of lines may add to the
	// limit for headers.
	headRoom = 4 << 10
)

// defaultLimits are in force until there is a configuration.
var defaultLimits = pimentoroute.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     1 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// callerConn is one connection of a caller. One goroutine reads requests and
// notices when the caller closes; another writes the answers in order.
type callerConn struct {
	gate *Gate
	net.Conn
	from    string
	r       *bufio.Reader
	pending chan *pendingAnswer // In the order of the requests.
	waiting atomic.Int32        // Requests that were read and not answered yet.
	mu      sync.Mutex          // Guards closing.
	closing bool                // No more requests are taken.
	calls   map[*call]struct{}  // Requests that aren't answered.
}

// pendingAnswer is the place of one answer in the order.
type pendingAnswer struct {
	call *call
	done chan *answer // Takes one answer.
}

func (g *Gate) serveConn(nc net.Conn) {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		host = nc.RemoteAddr().String()
	}
	limits := g.limits()
	cc := &callerConn{
		gate: g, Conn: nc, from: host,
		r:       bufio.NewReaderSize(nc, limits.HeaderBytes+headRoom),
		pending: make(chan *pendingAnswer, maxPipelined),
		calls:   make(map[*call]struct{}),
	}
	g.conns.add(cc)
	var wg sync.WaitGroup
	wg.Go(cc.writeAnswers)
	cc.readRequests()
	close(cc.pending)
	wg.Wait()
	cc.linger()
	_ = nc.Close()
	g.conns.remove(cc)
}

// lingerTime bounds the time for which a closed connection is still read.
const lingerTime = 500 * time.Millisecond

// linger ends the sending side and reads what the caller still sends, because
// closing a connection with unread bytes resets it, which may cost the caller
// the last answer.
func (cc *callerConn) linger() {
	tcp, ok := cc.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = cc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, cc.Conn)
}

// limits returns the limits in force.
func (g *Gate) limits() pimentoroute.Limits {
	if t := g.table.Load(); t != nil && t.Config != nil {
		return t.Config.Limits
	}
	return defaultLimits
}

// readRequests reads until the caller closes or an answer has to end the
// connection.
func (cc *callerConn) readRequests() {
	alone := false
	for {
		req, received, err := cc.readRequest(alone)
		if err != nil {
			cc.ended(err)
			return
		}
		c := newCall(req, &cc.gate.dialect, cc.from, received)
		if !cc.enter(c) {
			// The answer before it closes the connection, so it counts as unread.
			return
		}
		p := &pendingAnswer{call: c, done: make(chan *answer, 1)}
		cc.pending <- p
		if err := cc.gate.workers.Submit(func() { p.done <- cc.gate.serve(c) }); err != nil {
			p.done <- cc.gate.refusal(c, reasonBusy, comeBackSoon)
		}
		// What follows a request that can't be repeated must not run if its
		// answer closes the connection.
		alone = !req.Header.IsGet() && !req.Header.IsHead()
	}
}

// enter notes a request, and reports false if the connection takes no more.
func (cc *callerConn) enter(c *call) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closing {
		return false
	}
	cc.waiting.Add(1)
	if c != nil {
		cc.calls[c] = struct{}{}
	}
	return true
}

// leave notes that a request was answered or dropped.
func (cc *callerConn) leave(c *call) {
	cc.mu.Lock()
	delete(cc.calls, c)
	cc.mu.Unlock()
	cc.waiting.Add(-1)
}

// close lets the connection take no more requests. Those that were read are
// answered.
func (cc *callerConn) close() {
	cc.mu.Lock()
	cc.closing = true
	cc.mu.Unlock()
	_ = cc.SetReadDeadline(time.Now())
}

func (cc *callerConn) isClosing() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closing
}

// aloneWait is the time between two looks at whether a request that must run
// alone has ended, while another one waits behind it.
const aloneWait = 5 * time.Millisecond

var errClosing = errors.New("the connection ends after the answers that are due")

// readRequest reads one request whole. Between requests it waits for the idle
// timeout in force.
func (cc *callerConn) readRequest(alone bool) (*fasthttp.Request, time.Time, error) {
	if err := cc.awaitFirstByte(alone); err != nil {
		return nil, time.Time{}, err
	}
	limits := cc.gate.limits()
	_ = cc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req := new(fasthttp.Request)
	if err := req.Header.Read(cc.r); err != nil {
		return nil, time.Time{}, headError(err)
	}
	received := time.Now()
	if err := checkHead(&req.Header, limits); err != nil {
		return nil, received, err
	}
	if req.MayContinue() {
		if _, err := cc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, received, err
		}
	}
	_ = cc.SetReadDeadline(time.Now().Add(bodyTime))
	if err := req.ContinueReadBody(cc.r, limits.BodyBytes, false); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return nil, received, &badRequest{status: fasthttp.StatusRequestEntityTooLarge, err: err}
		}
		return nil, received, err
	}
	return req, received, nil
}

// bodyTime bounds the time in which a caller sends a body.
const bodyTime = 30 * time.Second

// awaitFirstByte waits for the next request, and for the end of one that runs
// alone.
func (cc *callerConn) awaitFirstByte(alone bool) error {
	idleSince := time.Now()
	for {
		_ = cc.SetReadDeadline(time.Now().Add(idleLook))
		if cc.isClosing() {
			return errClosing
		}
		_, err := cc.r.Peek(1)
		busy := cc.waiting.Load() > 0
		var ne net.Error
		switch {
		case err == nil && alone && busy:
			time.Sleep(aloneWait)
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

// idleLook is the longest time between two looks at whether an idle connection
// is to be closed.
const idleLook = 5 * time.Second

var errIdle = errors.New("the connection was idle for too long")

// ended deals with the end of the requests of a connection.
func (cc *callerConn) ended(err error) {
	var bad *badRequest
	switch {
	case errors.As(err, &bad):
		cc.refuseBad(bad)
	case errors.Is(err, errIdle), errors.Is(err, errClosing):
		// Answers that are due still leave.
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		cc.abandonAll()
	default:
		cc.abandonAll()
		_ = level.Debug(cc.gate.log).Log("msg", "caller's connection broke", "from", cc.from, "err", err)
	}
}

// refuseBad answers what isn't a valid request, and closes the connection.
func (cc *callerConn) refuseBad(bad *badRequest) {
	resp := fasthttp.AcquireResponse()
	resp.SetStatusCode(bad.status)
	cc.gate.metrics.refused(reasonInvalid)
	cc.gate.note(level.WarnValue(), "msg", "request refused", "reason", reasonInvalid, "from", cc.from, "status", bad.status, "err", bad.err)
	p := &pendingAnswer{done: make(chan *answer, 1)}
	p.done <- &answer{resp: resp, why: reasonInvalid, closes: true}
	if cc.enter(nil) {
		cc.pending <- p
	}
}

// abandonAll ends all requests of a caller that has gone.
func (cc *callerConn) abandonAll() {
	cc.mu.Lock()
	cc.closing = true
	calls := slices.Collect(maps.Keys(cc.calls))
	cc.mu.Unlock()
	for _, c := range calls {
		c.abandon()
	}
}

// writeAnswers writes the answers in the order of the requests.
func (cc *callerConn) writeAnswers() {
	w := bufio.NewWriterSize(cc.Conn, 4<<10)
	for p := range cc.pending {
		a := <-p.done
		more := cc.writeAnswer(w, p, a)
		cc.leave(p.call)
		if !more {
			break
		}
	}
	cc.close()
	// What was read behind the last answer isn't answered any more.
	cc.abandonAll()
	for p := range cc.pending {
		discard(<-p.done)
		cc.leave(p.call)
	}
}

// discard frees an answer that nobody waits for.
func discard(a *answer) {
	_ = a.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(a.resp)
}

// writeAnswer reports whether another answer may follow.
func (cc *callerConn) writeAnswer(w *bufio.Writer, p *pendingAnswer, a *answer) bool {
	defer discard(a)
	if p.call != nil && p.call.hasLeft() {
		return false
	}
	closes := cc.closesAfter(p, a)
	if closes {
		cc.close()
		a.resp.SetConnectionClose()
	}
	_ = cc.SetWriteDeadline(time.Now().Add(answerWrite))
	err := a.resp.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		id := ""
		if p.call != nil {
			id = p.call.id
		}
		cc.gate.metrics.count(`pimento_answers_cut_total`)
		cc.gate.note(level.WarnValue(), "msg", "answer cut", "id", id, "from", cc.from, "err", err)
		_ = cc.Close()
		return false
	}
	return !closes
}

// closesAfter reports whether the connection ends after an answer. A planned
// stop ends it when nothing else waits on it.
func (cc *callerConn) closesAfter(p *pendingAnswer, a *answer) bool {
	if a.closes {
		return true
	}
	if p.call != nil && p.call.req.ConnectionClose() {
		return true
	}
	return cc.gate.stopping.Load() && cc.waiting.Load() <= 1
}
