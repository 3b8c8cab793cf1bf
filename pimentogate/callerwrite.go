package pimentogate

import (
	"bufio"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
)

// writeResponses writes the responses in the order of the requests.
func (cc *callerConn) writeResponses() {
	w := bufio.NewWriterSize(cc.Conn, 4<<10)
	for p := range cc.pending {
		resp := <-p.done
		written, more := cc.writeResponse(w, p, resp)
		if !written {
			cc.countDropped(p.call)
		}
		cc.removeCall(p.call)
		if !more {
			break
		}
	}
	cc.stopReading(endResponse)
	// Requests read after the last response don't get one.
	cc.abandonAll(endResponse)
	for p := range cc.pending {
		releaseResponse(<-p.done)
		cc.countDropped(p.call)
		cc.removeCall(p.call)
	}
}

// releaseResponse frees a response that was written or isn't needed.
func releaseResponse(resp *response) {
	_ = resp.http.CloseBodyStream()
	fasthttp.ReleaseResponse(resp.http)
}

// writeResponse writes a response. It reports whether it was written whole, and whether
// another one may follow.
func (cc *callerConn) writeResponse(w *bufio.Writer, p *pendingResponse, resp *response) (written, more bool) {
	defer releaseResponse(resp)
	if p.call != nil && p.call.isAbandoned() {
		return false, false
	}
	closes := cc.closesAfterResponse(p, resp)
	if closes {
		resp.http.SetConnectionClose()
	}
	began := time.Now()
	_ = cc.SetWriteDeadline(began.Add(responseWriteTimeout))
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
		cc.setDropEnd(endWrite)
		if time.Since(began) >= responseWriteTimeout {
			_ = cc.Close() // The caller doesn't read.
		}
		return false, false
	}
	return true, !closes
}

// closesAfterResponse reports whether the connection is closed after a response, and makes
// it accept no more requests in that case. During a planned stop it is closed once no other
// response is outstanding.
func (cc *callerConn) closesAfterResponse(p *pendingResponse, resp *response) bool {
	if resp.closeConn || (p.call != nil && p.call.req.ConnectionClose()) {
		cc.stopReading(endResponse)
		return true
	}
	return cc.gate.stopping.Load() && cc.stopReadingIfLast()
}
