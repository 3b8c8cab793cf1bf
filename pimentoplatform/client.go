package pimentoplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// Kind classifies an error of this package.
type Kind uint8

const (
	// KindUnreachable means that the replica didn't respond.
	KindUnreachable Kind = iota + 1
	// KindStatus means that the service responded with an error status.
	KindStatus
	// KindInvalid means that the response is invalid.
	KindInvalid
	// KindCompacted means that the changes after a revision are no longer kept, so
	// that everything must be read again.
	KindCompacted
	// KindRestored means that the response is of another era than the state that was built
	// from the ones before.
	KindRestored
	// KindTooLarge means that the response has more than maxResponseBytes.
	KindTooLarge
)

// Error is the error type of this package.
type Error struct {
	// Op is the path of the resource that was read.
	Op string
	// Kind classifies the error.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("pimentoplatform: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Revision numbers the states of a published resource.
type Revision uint64

// revisionHeader is the header with the revision of a value.
const revisionHeader = "Revision"

// Client reads from the platform's service. Its exported fields are set before the
// first call. It is safe for concurrent use.
type Client struct {
	// Addresses are the service's replicas, IP and port each.
	Addresses []string
	// EraHeader is the header with the era of the service's state, empty if it states none.
	EraHeader string
	// WatchTimeout is the time limit of each read by Value, CurrentValue and VMs,
	// watches (reads that wait) included. A connection without a response within it
	// is considered silent.
	WatchTimeout time.Duration

	http     pimentohttp.Client
	nextAddr atomic.Uint32 // Index in Addresses, modulo their number.
	calls    atomic.Uint64
}

const (
	defaultWatchTimeout = 40 * time.Second
	// dialTimeout bounds the time to open a connection, and the time for which sent
	// bytes may stay unacknowledged (the TCP user timeout).
	dialTimeout = time.Second
	// maxIdle is the time after which an idle connection is no longer used.
	maxIdle = 10 * time.Second
	// maxResponseBytes bounds the body of a response, in bytes.
	maxResponseBytes = 4 * pimentoregister.MaxBytes
)

// NewClient returns a client of the service's replicas, and a function that closes its
// idle connections.
func NewClient(addresses []string) (*Client, func()) {
	c := &Client{Addresses: addresses, WatchTimeout: defaultWatchTimeout}
	c.http = pimentohttp.Client{MaxIdle: maxIdle, DialTimeout: dialTimeout, UserTimeout: dialTimeout, Redial: true}
	return c, c.http.PruneRegularly()
}

// Calls returns the number of reads so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Value returns a value with its revision. If after isn't 0, it waits for a revision
// above it, and returns revision 0 if there was none within the service's wait time.
func (c *Client) Value(name string, after Revision) (Revision, []byte, error) {
	return c.get("/values/"+name, after)
}

// CurrentValue reads the current revision of a value, without waiting.
func (c *Client) CurrentValue(name string) ([]byte, error) {
	_, data, err := c.get("/values/"+name, 0)
	return data, err
}

// get reads a resource and its revision. If after isn't 0, it waits for a revision above
// it, and returns revision 0 if there was none.
func (c *Client) get(path string, after Revision) (Revision, []byte, error) {
	url := path
	if after > 0 {
		url += "?after=" + strconv.FormatUint(uint64(after), 10)
	}
	resp, err := c.Get(url, c.WatchTimeout)
	if err != nil {
		return 0, nil, err
	}
	switch resp.Status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotModified:
		return 0, nil, nil
	default:
		return 0, nil, &Error{Op: path, Kind: KindStatus, Err: fmt.Errorf("status %d from %s", resp.Status, resp.Address)}
	}
	if resp.Revision == 0 {
		return 0, nil, &Error{Op: path, Kind: KindInvalid, Err: fmt.Errorf("header %s is missing or 0, from %s", revisionHeader, resp.Address)}
	}
	return resp.Revision, resp.Body, nil
}

// Response is the service's response to a read.
type Response struct {
	// Address is the address of the replica.
	Address string
	// Status is the HTTP status.
	Status int
	// Revision is from the revision header, 0 without one.
	Revision Revision
	// Era is from the era header, 0 without one.
	Era  uint64
	Body []byte
}

// Get reads a path from one replica. After a failure, the next call uses the next
// replica. A response with an error status isn't an error. timeout bounds the whole read.
func (c *Client) Get(path string, timeout time.Duration) (Response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	address := c.Addresses[int(c.nextAddr.Load())%len(c.Addresses)]
	req.SetRequestURI("http://" + address + path)
	c.calls.Add(1)
	x := &pimentohttp.Exchange{Address: address, Req: req, Resp: resp, Deadline: time.Now().Add(timeout), MaxBuffered: maxResponseBytes}
	err := c.http.Do(x)
	if err == nil && resp.IsBodyStream() {
		err = fasthttp.ErrBodyTooLarge
	}
	if err != nil {
		c.nextAddr.Add(1)
		kind := KindUnreachable
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			kind = KindTooLarge
		}
		return Response{}, &Error{Op: path, Kind: kind, Err: fmt.Errorf("%s: %w", address, err)}
	}
	result := Response{Address: address, Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if result.Status >= fasthttp.StatusBadRequest {
		c.nextAddr.Add(1)
	}
	if text := resp.Header.Peek(revisionHeader); len(text) > 0 {
		rev, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return Response{}, &Error{Op: path, Kind: KindInvalid, Err: fmt.Errorf("header %s: value %q from %s isn't a revision", revisionHeader, text, address)}
		}
		result.Revision = Revision(rev)
	}
	if c.EraHeader == "" {
		return result, nil
	}
	if text := resp.Header.Peek(c.EraHeader); len(text) > 0 {
		era, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return Response{}, &Error{Op: path, Kind: KindInvalid, Err: fmt.Errorf("header %s: value %q from %s isn't an era", c.EraHeader, text, address)}
		}
		result.Era = era
	}
	return result, nil
}

// vm is a VM of the published list.
type vm struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "entry" or "target"
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	State   string `json:"state"` // "live", or "leaving" until the VM is removed.
}

// VMList is the platform's list of VMs.
type VMList struct {
	// Revision is the revision of the list.
	Revision Revision
	// Entries are the VMs that run an entry.
	Entries []pimentopeer.PublishedEntry
	// Leaving names the target VMs that are leaving.
	Leaving map[pimentoregister.VMName]bool
}

// VMs returns the list of VMs. If after isn't 0, it waits for a revision above it, and
// returns a list with revision 0 if there was none within the service's wait time.
func (c *Client) VMs(after Revision) (VMList, error) {
	rev, data, err := c.get("/vms", after)
	if err != nil || rev == 0 {
		return VMList{}, err
	}
	var vms []vm
	if err := json.Unmarshal(data, &vms); err != nil {
		return VMList{}, &Error{Op: "/vms", Kind: KindInvalid, Err: err}
	}
	list := VMList{Revision: rev, Leaving: make(map[pimentoregister.VMName]bool)}
	for _, v := range vms {
		if err := list.add(v); err != nil {
			return VMList{}, &Error{Op: "/vms", Kind: KindInvalid, Err: err}
		}
	}
	return list, nil
}

// add adds a VM to the list.
func (l *VMList) add(v vm) error {
	if v.Name == "" {
		return errors.New("a VM without a name")
	}
	leaving := v.State == "leaving"
	switch v.Role {
	case "entry":
		l.Entries = append(l.Entries, pimentopeer.PublishedEntry{
			Name:    pimentotarget.EntryName(v.Name),
			Address: v.Address,
			Region:  pimentoregister.RegionName(v.Region),
			Domain:  pimentoregister.DomainName(v.Domain),
			Leaving: leaving,
		})
	case "target":
		if leaving {
			l.Leaving[pimentoregister.VMName(v.Name)] = true
		}
	default:
		return fmt.Errorf("VM %q: role %q, want entry or target", v.Name, v.Role)
	}
	return nil
}
