package pimentoplatform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
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
	// KindUnreachable means that no platform address answered.
	KindUnreachable Kind = iota + 1
	// KindStatus means that the service answered with a failure.
	KindStatus
	// KindInvalid means that the answer isn't as documented.
	KindInvalid
	// KindCompacted means that the changes after a revision are no longer kept,
	// so that everything must be read again.
	KindCompacted
)

// Error is the error type of this package.
type Error struct {
	// Op is the resource that was read.
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

// Revision numbers the states of one published resource.
type Revision uint64

// revisionHeader carries the revision of a value.
const revisionHeader = "Revision"

// Client reads from the platform. Its exported fields are set before the
// first call. It is safe for concurrent use.
type Client struct {
	// Addresses are the service's replicas, IP and port each.
	Addresses []string
	// WatchTimeout bounds the time of one waiting watch, beyond which the connection
	// counts as silent.
	WatchTimeout time.Duration

	http  fasthttp.Client
	next  atomic.Uint32
	calls atomic.Uint64
}

const (
	defaultWait = 40 * time.Second
	// dialTimeout bounds the time to open a connection, and the time for which
	// sent bytes stay without an acknowledgement.
	dialTimeout = time.Second
	// maxValue bounds the size in bytes of an answer.
	maxValue = 2 * pimentoregister.MaxBytes
)

// NewClient returns a client of the service's replicas, and its clean-up
// function.
func NewClient(addresses []string) (*Client, func()) {
	c := &Client{Addresses: addresses, WatchTimeout: defaultWait}
	c.http = fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxValue,
		ReadTimeout:               defaultWait,
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, err
			}
			if err := pimentohttp.SetUserTimeout(conn, dialTimeout); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return conn, nil
		},
	}
	return c, c.http.CloseIdleConnections
}

// Calls returns the number of reads so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Value reads a value with a revision above after, and waits for it. It
// returns revision 0 if there was none within the service's time.
func (c *Client) Value(name string, after Revision) (Revision, []byte, error) {
	return c.get("/values/"+name, after)
}

// CurrentValue reads a value in its present revision.
func (c *Client) CurrentValue(name string) ([]byte, error) {
	_, data, err := c.get("/values/"+name, 0)
	return data, err
}

// get reads a resource with its revision.
func (c *Client) get(path string, after Revision) (Revision, []byte, error) {
	url := path
	if after > 0 {
		url += "?after=" + strconv.FormatUint(uint64(after), 10)
	}
	reply, err := c.Get(url, c.WatchTimeout)
	if err != nil {
		return 0, nil, err
	}
	switch reply.Status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotModified:
		return 0, nil, nil
	default:
		return 0, nil, &Error{Op: path, Kind: KindStatus, Err: fmt.Errorf("status %d from %s", reply.Status, reply.Address)}
	}
	if reply.Revision == 0 {
		return 0, nil, &Error{Op: path, Kind: KindInvalid, Err: fmt.Errorf("header %s is missing or no number, from %s", revisionHeader, reply.Address)}
	}
	return reply.Revision, reply.Body, nil
}

// Response is the service's answer to one read.
type Response struct {
	// Address is the replica that answered.
	Address string
	Status  int
	// Revision is from the header, 0 if there was none.
	Revision Revision
	Body     []byte
}

// Get reads a path from the replicas in turn, one replica a call. A status of
// any kind is no error.
func (c *Client) Get(path string, timeout time.Duration) (Response, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	address := c.Addresses[int(c.next.Load())%len(c.Addresses)]
	req.SetRequestURI("http://" + address + path)
	c.calls.Add(1)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		c.next.Add(1)
		return Response{}, &Error{Op: path, Kind: KindUnreachable, Err: fmt.Errorf("%s: %w", address, err)}
	}
	reply := Response{Address: address, Status: resp.StatusCode(), Body: append([]byte(nil), resp.Body()...)}
	if reply.Status >= fasthttp.StatusBadRequest {
		c.next.Add(1)
	}
	if text := resp.Header.Peek(revisionHeader); len(text) > 0 {
		rev, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return Response{}, &Error{Op: path, Kind: KindInvalid, Err: fmt.Errorf("header %s: value %q from %s", revisionHeader, text, address)}
		}
		reply.Revision = Revision(rev)
	}
	return reply, nil
}

// vm is one VM of the published list.
type vm struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "entry" or "target"
	Address string `json:"address"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	State   string `json:"state"` // "live" or "leaving"
}

// VMList is the platform's list of VMs.
type VMList struct {
	// Revision numbers the states of the list.
	Revision Revision
	// Entries are the VMs that run an entry.
	Entries []pimentopeer.PublishedEntry
	// Leaving names the target VMs that are leaving.
	Leaving map[pimentoregister.VMName]bool
}

// VMs reads the list in a revision above after, and waits for it. It returns a
// list with revision 0 if there was none within the service's time.
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
