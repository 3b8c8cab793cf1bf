package pimentogate

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// slowListener takes a while for each connection that it accepts, as on a VM without
// processor time, and each connection takes a while until it tells its address.
type slowListener struct {
	*net.TCPListener
	acceptTime, addrTime time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.acceptTime)
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: c, addrTime: l.addrTime}, nil
}

type slowConn struct {
	*net.TCPConn
	addrTime time.Duration
}

func (c *slowConn) RemoteAddr() net.Addr {
	time.Sleep(c.addrTime)
	return c.TCPConn.RemoteAddr()
}

// stopGate begins a planned stop of a gate with a listener and returns a channel that is
// closed when the stop has ended.
func stopGate(g *Gate, ln *pimentohttp.DrainListener) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		g.shutDown(ln)
		close(done)
	}()
	return done
}

// A planned stop doesn't end while a connection that was accepted isn't served yet.
func TestStopAwaitsAcceptedConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, ln := slowGate(t, 0, time.Second)
	done := stopGate(g, ln)
	time.Sleep(balancerDelay - 100*time.Millisecond)
	c := dialConn(t, ln.Addr().String())
	_, err := fmt.Fprint(c, shortRequest)
	is.NoErr(err)
	answered := make(chan int, 1)
	go func() { answered <- readStatus(c) }()
	<-done
	select {
	case status := <-answered:
		is.Equal(status, fasthttp.StatusServiceUnavailable)
	case <-time.After(300 * time.Millisecond): // For the caller's goroutine.
		t.Error("the stop ended before an accepted request was answered")
	}
}

// slowGate returns a gate without a configuration and its slow listener.
func slowGate(t *testing.T, acceptTime, addrTime time.Duration) (*Gate, *pimentohttp.DrainListener) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tcp.Close() })
	ln := pimentohttp.NewDrainListener(&slowListener{TCPListener: tcp.(*net.TCPListener), acceptTime: acceptTime, addrTime: addrTime})
	g, _ := newConnGate(t)
	go g.acceptCallers(ln)
	return g, ln
}

// readStatus returns the status of the next response, 0 without one.
func readStatus(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	var resp fasthttp.Response
	if resp.Read(bufio.NewReader(c)) != nil {
		return 0
	}
	return resp.StatusCode()
}

// Connections that wait to be accepted when the stop ends accepting are served.
func TestStopServesAcceptQueue(t *testing.T) {
	t.Parallel()
	const conns = 8
	g, ln := slowGate(t, 25*time.Millisecond, 0)
	done := stopGate(g, ln)
	time.Sleep(balancerDelay - 50*time.Millisecond)
	var wg sync.WaitGroup
	var unanswered atomic.Int32
	for range conns {
		c := dialConn(t, ln.Addr().String())
		wg.Go(func() {
			_, _ = fmt.Fprint(c, shortRequest)
			if readStatus(c) == 0 {
				unanswered.Add(1)
			}
		})
	}
	wg.Wait()
	<-done
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d requests got no response", n, conns)
	}
}

// A connection that was opened just before a planned stop ends accepting has time to send
// its first request.
func TestStopAwaitsFirstRequest(t *testing.T) {
	t.Parallel()
	g, ln := slowGate(t, 0, 0)
	done := stopGate(g, ln)
	time.Sleep(balancerDelay - 20*time.Millisecond)
	c := dialConn(t, ln.Addr().String())
	time.Sleep(120 * time.Millisecond)
	_, _ = fmt.Fprint(c, shortRequest)
	if readStatus(c) != fasthttp.StatusServiceUnavailable {
		t.Error("the first request got no response")
	}
	<-done
}
