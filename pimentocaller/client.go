package pimentocaller

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindUnreachable means that the request had no response in time, and that it can
	// be sent anew: it is idempotent, or it was not executed, for instance because
	// entries didn't respond or issued no key for it.
	KindUnreachable Kind = iota + 1
	// KindUnknown means that the request had no response in time, and that it is
	// non-idempotent and may have been executed.
	KindUnknown
	// KindTruncated means that the response was cut short. No function of this
	// package returns it at present.
	KindTruncated
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Key is the request's key, if it had one. The request can be resent with it
	// without being executed twice.
	Key string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentocaller: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	// Path is the path and query below the service, and begins with '/'.
	Path string
	Body []byte
	// Header lists additional headers.
	Header []HeaderField
	// NonIdempotent is set if the route is non-idempotent.
	NonIdempotent bool
	// Key is the key of an earlier attempt, for a resend. It is empty for a new
	// request.
	Key string
	// Timeout is the time limit of all attempts together. 0 means DefaultTimeout.
	Timeout time.Duration
}

// HeaderField is the name and value of one header.
type HeaderField struct {
	Name, Value string
}

// Run says whether a request was executed. For a refusal it is the value of the
// Pimento-Run header.
type Run string

const (
	// RunYes means that the request was executed.
	RunYes Run = "yes"
	// RunNo means that the request was not executed.
	RunNo Run = "no"
	// RunUnknown means that the request may have been executed.
	RunUnknown Run = "unknown"
)

// Response is the response to a request: the target's, or a refusal by pimentoarch.
type Response struct {
	Status int
	Body   []byte
	// Header is the head of the response.
	Header fasthttp.ResponseHeader
	// Run says whether the request was executed. It is RunYes unless pimentoarch
	// refused the request.
	Run Run
	// Reason is why pimentoarch refused the request. It is empty otherwise.
	Reason string
	// Key is the key under which the request was last sent, if any.
	Key string
	// Attempts is the number of times that the request was sent.
	Attempts int
}

// Refused reports whether pimentoarch refused the request.
func (r *Response) Refused() bool { return r.Reason != "" }

const (
	// DefaultTimeout is the time limit of a request without a timeout.
	DefaultTimeout = 10 * time.Second
	// attemptTimeout is the time limit of one attempt, so that a silent connection
	// uses up only a part of the request's time.
	attemptTimeout = 3 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 3 * time.Second
	// maxIdle is the time after which an idle connection is no longer used.
	maxIdle    = 20 * time.Second
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Client sends requests of one organisation. It is safe for concurrent use.
type Client struct {
	// Organisation is sent with each request.
	Organisation string
	// Address returns the address for the next attempt: that of an entry, or of the
	// platform's balancer in front of the entries.
	Address func() string

	http     pimentohttp.Client
	keyPool  keyPool
	attempts atomic.Uint64
}

// New returns a client and its cleanup function, which closes idle connections.
func New(organisation string, address func() string) (*Client, func()) {
	c := &Client{Organisation: organisation, Address: address}
	c.http = pimentohttp.Client{MaxIdle: maxIdle, DialTimeout: dialTimeout, Redial: true}
	return c, c.http.PruneRegularly()
}

// Attempts returns the number of times that requests were sent so far.
func (c *Client) Attempts() uint64 { return c.attempts.Load() }

// Do sends a request, and resends it until it has a final response or its time runs
// out. It then returns the last refusal, or an *Error if the request had no response
// when it was last sent, or was never sent because no key could be obtained.
func (c *Client) Do(r *Request) (*Response, error) {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	cl := &call{client: c, request: r, key: r.Key, deadline: time.Now().Add(timeout)}
	return cl.run()
}

// call is one request with its attempts. response is nil if the request had no
// response when it was last sent; err is the last error.
type call struct {
	client     *Client
	request    *Request
	key        string
	deadline   time.Time
	attempts   int
	mayHaveRun bool // An attempt may have been executed.
	response   *Response
	err        error
}

func (c *call) run() (*Response, error) {
	backoff := minBackoff
	for {
		if c.attempt() {
			return c.response, nil
		}
		if time.Until(c.deadline) <= backoff {
			return c.lastResult()
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// lastResult returns what Do returns once the time has run out: the last refusal, or an
// *Error if the request had no response when it was last sent or was never sent.
func (c *call) lastResult() (*Response, error) {
	if c.response != nil {
		return c.response, nil
	}
	kind := KindUnreachable
	if c.mayHaveRun && c.request.NonIdempotent {
		kind = KindUnknown
	}
	return nil, &Error{Op: "send", Kind: kind, Key: c.key, Err: c.err}
}

// attempt sends the request once, and reports whether the response is final. It
// obtains a key first if the request needs one.
func (c *call) attempt() bool {
	if c.request.NonIdempotent && c.key == "" {
		key, err := c.client.takeKey(c.request.Service, c.deadline)
		if err != nil {
			c.err = err
			return false
		}
		c.key = key
	}
	resp, sent, err := c.send()
	if err != nil {
		c.err = err
		c.response = nil
		c.mayHaveRun = c.mayHaveRun || sent
		return false
	}
	c.response = resp
	return c.isFinal(resp)
}

// isFinal reports whether no further attempt is needed after a response. If a refusal
// says that the request was not executed, its key is void and the next attempt takes a
// new one. It also takes a new one if no copy of the request under the key was sent to
// the key's holder, the entry that may dispatch the request. If the request may have
// been executed, the next attempt uses the same key.
func (c *call) isFinal(r *Response) bool {
	if !r.Refused() || !transientReasons[r.Reason] {
		return true
	}
	switch {
	case r.Run == RunNo:
		c.key = ""
		c.mayHaveRun = false
	case r.Reason == "unsent" && !c.mayHaveRun && c.request.Key == "":
		// No copy under this key has reached the key's holder, and none will.
		c.key = ""
	default:
		c.mayHaveRun = true
	}
	return false
}

// transientReasons lists the reasons of refusals after which a later attempt may
// succeed.
var transientReasons = map[string]bool{
	"config": true, "home": true, "nokey": true, "void": true, "issuer": true, "unsent": true, "stopping": true,
	"queue": true, "targets": true, "refused": true, "failed": true,
}

// send sends the request once. After an error, sent reports whether any byte of it may have
// reached an entry.
func (c *call) send() (response *Response, sent bool, err error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.attempts++
	c.client.attempts.Add(1)
	left := max(time.Until(c.deadline), time.Millisecond)
	address := c.client.Address()
	req.SetRequestURI("http://" + address + "/" + c.request.Service + c.request.Path)
	req.Header.SetMethod(c.request.Method)
	req.Header.Set("Pimento-Org", c.client.Organisation)
	req.Header.Set("Pimento-Timeout", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	for _, f := range c.request.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.SetBodyRaw(c.request.Body)
	body, sent, err := c.client.exchange(address, req, resp, c.attemptLimit(left))
	if err != nil {
		return nil, sent, err
	}
	return c.newResponse(resp, body), sent, nil
}

// exchange sends a request to an entry, and reads the response and its body. sent reports whether
// any byte of the request may have reached the entry. Entries state where each body ends, so one
// without a length is an error.
func (c *Client) exchange(address string, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) (body []byte, sent bool, err error) {
	limit := time.Now().Add(timeout)
	x := &pimentohttp.Exchange{Address: address, Req: req, Resp: resp, Deadline: limit, BodyDeadline: limit}
	defer x.AwaitWritten()
	if err := c.http.Do(x); err != nil {
		return nil, x.Sent(), err
	}
	var buf bytes.Buffer
	err = resp.BodyWriteTo(&buf)
	return buf.Bytes(), true, err
}

// attemptLimit returns the time limit of one attempt. The last attempt gets all the
// remaining time. An attempt with more than ten times attemptTimeout left does too, so
// that a large response isn't cut while it streams.
func (c *call) attemptLimit(left time.Duration) time.Duration {
	if left < 2*attemptTimeout || left > 10*attemptTimeout {
		return left
	}
	return attemptTimeout
}

// newResponse copies the head of an HTTP response, and adds the keys that it brings to the pool.
func (c *call) newResponse(resp *fasthttp.Response, body []byte) *Response {
	r := &Response{
		Status:   resp.StatusCode(),
		Body:     body,
		Run:      Run(resp.Header.Peek("Pimento-Run")),
		Reason:   string(resp.Header.Peek("Pimento-Reason")),
		Key:      c.key,
		Attempts: c.attempts,
	}
	resp.Header.CopyTo(&r.Header)
	if !r.Refused() {
		r.Run = RunYes
	}
	if keys := string(resp.Header.Peek("Pimento-Keys")); keys != "" {
		c.client.keyPool.add(c.request.Service, strings.Split(keys, ","), time.Now())
	}
	return r
}
