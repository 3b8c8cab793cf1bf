package pimentocaller

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindUnreachable means that no entry answered in time, and the request
	// was idempotent or no key was had for it, so that it can be sent anew.
	KindUnreachable Kind = iota + 1
	// KindUnknown means that no entry answered in time, and the non-idempotent
	// request may have run.
	KindUnknown
	// KindTruncated means that the answer was cut short.
	KindTruncated
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Key is the request's key, if it had one. Resending with it is safe.
	Key string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentocaller: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request. A zero Timeout means DefaultTimeout.
type Request struct {
	Service string
	Method  string
	// Path is the path and query below the service, and begins with '/'.
	Path string
	Body []byte
	// Header lists further headers.
	Header []HeaderField
	// NonIdempotent is set if the route is non-idempotent.
	NonIdempotent bool
	// Key is the key of an earlier try, for a resend. It is empty for a new
	// request.
	Key string
	// Timeout bounds all tries together.
	Timeout time.Duration
}

// HeaderField is one header.
type HeaderField struct {
	Name, Value string
}

// Run says whether a request was run.
type Run string

const (
	// RunYes means that the request was run.
	RunYes Run = "yes"
	// RunNo means that the request was not run.
	RunNo Run = "no"
	// RunUnknown means that the request may have been run.
	RunUnknown Run = "unknown"
)

// Response is the answer to a request.
type Response struct {
	Status int
	Body   []byte
	// Header is the answer's head.
	Header fasthttp.ResponseHeader
	// Run says whether the request was run.
	Run Run
	// Reason is set if pimentoarch refused the request.
	Reason string
	// Key is the key that the request had.
	Key string
	// Attempts is the number of times that the request was sent.
	Attempts int
}

// Refused reports whether pimentoarch refused the request.
func (a *Response) Refused() bool { return a.Reason != "" }

const (
	// DefaultTimeout bounds a request that names no time.
	DefaultTimeout = 10 * time.Second
	// tryTimeout bounds one try, so that a silent connection costs part of the
	// time only.
	tryTimeout = 3 * time.Second
	minPause   = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Client sends requests of one organisation. It is safe for concurrent use.
type Client struct {
	// Organisation is sent with each request.
	Organisation string
	// Address returns the address to which the next try goes: the balancer's,
	// or that of an entry.
	Address func() string

	http  fasthttp.Client
	stock stock
	tries atomic.Uint64
}

// New returns a client, and its clean-up function.
func New(organisation string, address func() string) (*Client, func()) {
	c := &Client{Organisation: organisation, Address: address}
	c.http = fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       20 * time.Second,
		MaxConnsPerHost:           4096,
	}
	return c, c.http.CloseIdleConnections
}

// Attempts returns the number of tries so far.
func (c *Client) Attempts() uint64 { return c.tries.Load() }

// Do sends a request until it is answered. See Error for the errors.
func (c *Client) Do(r *Request) (*Response, error) {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	t := &transfer{c: c, r: r, key: r.Key, deadline: time.Now().Add(timeout)}
	return t.run()
}

// transfer is one request with its tries.
type transfer struct {
	c        *Client
	r        *Request
	key      string
	deadline time.Time
	tries    int
	doubtful bool // A try may have been run.
	last     *Response
	err      error
}

func (t *transfer) run() (*Response, error) {
	pause := minPause
	for {
		if t.once() {
			return t.last, nil
		}
		if time.Until(t.deadline) <= pause {
			return t.giveUp()
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
}

func (t *transfer) giveUp() (*Response, error) {
	if t.last != nil {
		return t.last, nil
	}
	kind := KindUnreachable
	if t.doubtful && t.r.NonIdempotent {
		kind = KindUnknown
	}
	return nil, &Error{Op: "send", Kind: kind, Key: t.key, Err: t.err}
}

// once makes one try, and reports whether the answer is final.
func (t *transfer) once() bool {
	if t.r.NonIdempotent && t.key == "" {
		key, err := t.c.takeKey(t.r.Service, t.deadline)
		if err != nil {
			t.err = err
			return false
		}
		t.key = key
	}
	answer, err := t.send()
	if err != nil {
		t.err = err
		t.last = nil
		t.doubtful = t.doubtful || sent(err)
		return false
	}
	t.last = answer
	return t.final(answer)
}

// final reports whether an answer needs no further try. After a refusal that
// says that the request was not run its key is void, and the next try takes a
// new one, as it does if no copy under the key was sent to the key's holder. A
// refusal that leaves it open is tried again with the same key.
func (t *transfer) final(a *Response) bool {
	if !a.Refused() || !transient[a.Reason] {
		return true
	}
	switch {
	case a.Run == RunNo:
		t.key = ""
		t.doubtful = false
	case a.Reason == "unsent" && !t.doubtful && t.r.Key == "":
		// No copy under this key has reached its holder, and none will.
		t.key = ""
	default:
		t.doubtful = true
	}
	return false
}

// transient lists the reasons of refusals that a later try may not meet.
var transient = map[string]bool{
	"config": true, "home": true, "nokey": true, "void": true, "issuer": true, "unsent": true, "stopping": true,
	"queue": true, "targets": true, "refused": true, "failed": true,
}

func (t *transfer) send() (*Response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	t.tries++
	t.c.tries.Add(1)
	left := max(time.Until(t.deadline), time.Millisecond)
	req.SetRequestURI("http://" + t.c.Address() + "/" + t.r.Service + t.r.Path)
	req.Header.SetMethod(t.r.Method)
	req.Header.Set("Pimento-Org", t.c.Organisation)
	req.Header.Set("Pimento-Timeout", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if t.key != "" {
		req.Header.Set("Idempotency-Key", t.key)
	}
	for _, f := range t.r.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.SetBodyRaw(t.r.Body)
	if err := t.c.http.DoTimeout(req, resp, t.tryTime(left)); err != nil {
		return nil, err
	}
	return t.answer(resp), nil
}

// tryTime bounds one try. The last one gets all the time that is left, and
// requests that stream large answers aren't cut.
func (t *transfer) tryTime(left time.Duration) time.Duration {
	if left < 2*tryTimeout || left > 10*tryTimeout {
		return left
	}
	return tryTimeout
}

// sent reports whether an error leaves it open that the request was sent.
func sent(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

func (t *transfer) answer(resp *fasthttp.Response) *Response {
	a := &Response{
		Status:   resp.StatusCode(),
		Body:     append([]byte(nil), resp.Body()...),
		Run:      Run(resp.Header.Peek("Pimento-Run")),
		Reason:   string(resp.Header.Peek("Pimento-Reason")),
		Key:      t.key,
		Attempts: t.tries,
	}
	resp.Header.CopyTo(&a.Header)
	if !a.Refused() {
		a.Run = RunYes
	}
	if keys := string(resp.Header.Peek("Pimento-Keys")); keys != "" {
		t.c.stock.add(t.r.Service, strings.Split(keys, ","), time.Now())
	}
	return a
}
