package pimentohttp

// Sent reports whether any byte of the request may have reached the target.
func (x *Exchange) Sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

// Cancel closes the connection, which cancels the request at the target. It may be
// called at any time; after the end of the exchange it has no effect.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.conn != nil {
		x.conn.destroy()
	}
}

// CancelUnanswered does the same as Cancel, unless part of the response has arrived. It reports
// whether the exchange is cancelled.
func (x *Exchange) CancelUnanswered() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.responding {
		return x.cancelled
	}
	x.cancelled = true
	if x.conn != nil {
		x.conn.destroy()
	}
	return true
}

// attach makes cn the connection that Cancel closes. It reports false if the
// exchange is already cancelled.
func (x *Exchange) attach(cn *Conn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.earlier = cn, cn.bytesWritten.Load()
	return !x.cancelled
}

// detach makes later calls of Cancel leave the connection open. It reports false if the
// exchange is already cancelled.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return !x.cancelled
}
