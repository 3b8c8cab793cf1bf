package pimentogate

import (
	"errors"
	"net"
	"time"
)

// sendContinue tells a caller to send its body. Nothing may come before or within the responses to the
// requests before, so it waits for them. A body that comes unasked needs no answer.
func (cc *callerConn) sendContinue() error {
	for cc.unanswered.Load() > 0 {
		_ = cc.SetReadDeadline(time.Now().Add(exclusiveCheckInterval))
		var ne net.Error
		_, err := cc.r.Peek(1)
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return err
		}
	}
	if cc.isClosing() {
		return errClosing
	}
	cc.link.forget()
	_ = cc.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := cc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}
