package pimentoentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentolink"
)

// keysPath is the path at which callers get idempotency keys.
const keysPath = "/.pimento/keys"

// serve serves a request and writes its response to c.resp.
func (e *Entry) serve(c *call) {
	e.counters.requests.Inc()
	e.running.Add(1)
	defer e.running.Add(-1)
	defer func() { // After recover, so that a panic keeps no body.
		if c.body != nil {
			c.body.release()
		}
	}()
	defer e.recover(c)
	start := time.Now()
	wantsKeys, f := e.handleByKind(c)
	if f != nil {
		e.writeRefusal(c, f)
	}
	if wantsKeys {
		e.addKeys(c)
	}
	e.counters.latency.UpdateDuration(start)
}

// handleByKind passes a request to the handler of its kind, and reports whether unused
// keys are added to the response: on a non-idempotent route, unless the request is
// relayed.
func (e *Entry) handleByKind(c *call) (wantsKeys bool, f *refusal) {
	if path, _, _ := bytes.Cut(c.req.Header.RequestURI(), []byte{'?'}); string(path) == keysPath {
		if string(c.req.Header.Method()) != fasthttp.MethodPost {
			return false, refuse(ReasonMethod, RunNo, "the method is POST")
		}
		return false, e.issueKeys(c)
	}
	if f := e.parseHead(c); f != nil {
		return false, f
	}
	if c.purpose == pimentolink.PurposeRelay {
		return false, e.serveRelayed(c)
	}
	if c.isNonIdempotent() {
		return true, e.serveNonIdempotent(c)
	}
	if !c.view.Allows(c.org, e.settings.Region) {
		return false, e.forwardHome(c)
	}
	return false, e.serveIdempotent(c)
}

// writeRefusal writes a refusal as the response, counts it and logs it.
func (e *Entry) writeRefusal(c *call, f *refusal) {
	f.limitToCopy(c)
	e.counters.refusals[f.reason][f.run].Inc()
	f.write(c.resp)
	_ = level.Debug(e.log).Log("msg", "request refused", "reason", f.reason, "run", f.run, "detail", f.detail)
}

// recover turns a panic into an error response, so that one request can't end the
// process.
func (e *Entry) recover(c *call) {
	r := recover()
	if r == nil {
		return
	}
	e.counters.panics.Inc()
	_ = level.Error(e.log).Log("msg", "panic while serving a request", "panic", r, "stack", string(debug.Stack()))
	refuse(ReasonFailed, RunUnknown, "an internal error").write(c.resp)
}

// serveCaller handles requests on the callers' port.
func (e *Entry) serveCaller(ctx *fasthttp.RequestCtx) {
	if !e.callerConns.begin(ctx.Conn()) {
		ctx.SetConnectionClose()
		return
	}
	callCtx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	watched := e.connWatcher.Add(ctx.Conn(), cancel)
	defer e.connWatcher.Remove(watched)
	c := &call{
		req:    &ctx.Request,
		source: ctx.RequestBodyStream(),
		memory: e.memory,
		resp:   &ctx.Response,
		ctx:    callCtx,
	}
	e.serve(c)
	if e.closing.Load() {
		ctx.SetConnectionClose()
	}
}

// refuseInvalidHead refuses a request whose head can't be read or parsed.
func (e *Entry) refuseInvalidHead(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	f := refuse(ReasonHead, RunNo, "the head of the request isn't valid HTTP")
	switch {
	case isTimeout(err):
		f = refuse(ReasonLate, RunNo, "the head of the request didn't arrive in time")
	case errors.As(err, &small):
		f = refuse(ReasonLong, RunNo, "the head of the request is too long")
	case errors.Is(err, io.ErrUnexpectedEOF):
		f = refuse(ReasonBody, RunNo, "the request was cut short")
	}
	e.counters.refusals[f.reason][f.run].Inc()
	f.write(&ctx.Response)
	ctx.SetConnectionClose()
}

// isTimeout reports whether reading a request failed because its rest didn't arrive in time.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

const (
	// maxHead bounds the head of a request in bytes.
	maxHead = 16 << 10
	// callerIdleTimeout is the time after which an idle connection is closed.
	callerIdleTimeout = 2 * time.Minute
	// callerReadTimeout bounds the time in which a request must arrive.
	callerReadTimeout = time.Minute
)

// callerServer returns the HTTP server for callers.
func (e *Entry) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      e.serveCaller,
		ErrorHandler:                 e.refuseInvalidHead,
		ConnState:                    e.callerConns.track,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReadBufferSize:               maxHead,
		MaxRequestBodySize:           1, // Larger bodies are read after the head check.
		IdleTimeout:                  callerIdleTimeout,
		ReadTimeout:                  callerReadTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       serverLogger{level.Debug(e.log)},
	}
}

// serverLogger adapts a go-kit logger to fasthttp.Logger.
type serverLogger struct {
	logger log.Logger
}

// Printf logs a message of the HTTP server.
func (l serverLogger) Printf(format string, args ...any) {
	_ = l.logger.Log("msg", "http server", "event", formatLine(format, args))
}
