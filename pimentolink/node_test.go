package pimentolink

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// startNode starts a node that responds to forwarded requests with body. It returns
// the node and the address that it listens on.
func startNode(t *testing.T, body []byte) (*Node, string) {
	is := is.New(t)
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	is.NoErr(err)
	n := &Node{
		Log: log.NewNopLogger(), Workers: pool,
		OnHeartbeat: func(hb pimentopeer.Heartbeat) pimentopeer.Heartbeat { return hb },
		OnForward: func(in *IncomingRequest) {
			_, _ = io.Copy(io.Discard, in.Body)
			resp := &fasthttp.Response{}
			resp.SetBody(body)
			_ = in.Respond(resp)
		},
		OnFetchConfig: func() (pimentoregister.Revision, []byte) { return 7, []byte("document") },
		OnHandover:    func(_, to pimentokey.Incarnation, _ []pimentokey.Range) error { return nil },
		OnKeyOutcome:  func(KeyOutcome) {},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Serve(ctx, ln)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Release()
	})
	return n, ln.Addr().String()
}

func newRequest() *OutgoingRequest {
	req := &fasthttp.Request{}
	req.SetRequestURI("/charts/x")
	req.Header.SetHost("h")
	return &OutgoingRequest{Purpose: PurposeHomeRegion, Timeout: 5 * time.Second, Req: req, Resp: &fasthttp.Response{}}
}

// TestStalledReader checks that a response whose body isn't read delays neither
// heartbeats nor other requests.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 4<<20)
	n, address := startNode(t, body)
	stalled := newRequest()
	is.NoErr(n.Forward(address, stalled)) // The body is left unread.
	heartbeats, cleanup := n.HeartbeatClient(address)
	defer cleanup()
	for range 5 {
		start := time.Now()
		_, _, err := heartbeats.Exchange(sampleHeartbeat)
		is.NoErr(err)
		is.True(time.Since(start) < time.Second)
	}
	other := newRequest()
	is.NoErr(n.Forward(address, other))
	got, err := io.ReadAll(other.Resp.BodyStream())
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
}

// TestConnectionLoss checks that reading a body fails if the session is lost during
// the response, so that it is never taken for a short body, and that the next request
// opens a new session.
func TestConnectionLoss(t *testing.T) {
	is := is.New(t)
	n, address := startNode(t, bytes.Repeat([]byte("x"), 4<<20))
	o := newRequest()
	is.NoErr(n.Forward(address, o))
	n.CloseDataSession(address)
	_, err := io.ReadAll(o.Resp.BodyStream())
	is.True(err != nil)
	is.NoErr(n.Forward(address, newRequest()))
}

// TestUnreachable checks that a refused connection is reported as KindUnreachable.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	n, _ := startNode(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	err = n.Forward(address, newRequest())
	linkErr, ok := err.(*Error)
	is.True(ok)
	is.Equal(linkErr.Kind, KindUnreachable)
}

// TestFetch checks that FetchConfig returns the peer's revision and document.
func TestFetch(t *testing.T) {
	is := is.New(t)
	n, address := startNode(t, nil)
	rev, data, err := n.FetchConfig(address)
	is.NoErr(err)
	is.Equal(rev, pimentoregister.Revision(7))
	is.Equal(string(data), "document")
}
