package pimentoentry

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
)

// slowListener takes acceptTime for each connection, as on a VM without processor time.
type slowListener struct {
	*net.TCPListener
	acceptTime time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.acceptTime)
	return l.TCPListener.Accept()
}

// Connections that wait to be accepted when a planned stop ends accepting are served.
func TestStopServesAcceptQueue(t *testing.T) {
	const conns = 8
	is := is.New(t)
	f := newCluster(t, 1)
	s := DefaultSettings()
	s.Region, s.Domain, s.Name = "west", "west-a", "entry-0"
	s.Platform = []string{f.address}
	s.Grace, s.Drain = 300, 5000
	addrs := pimentofake.UniqueAddresses(2)
	s.Peers, s.Admin = addrs[0], addrs[1]
	e, cleanup, err := New(s, log.NewNopLogger())
	is.NoErr(err)
	t.Cleanup(cleanup)
	callers := &slowListener{TCPListener: f.listen().(*net.TCPListener), acceptTime: 25 * time.Millisecond}
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- e.serveAll(stop, callers, f.listen()) }()
	time.Sleep(100 * time.Millisecond) // Until the entry serves.
	close(stop)
	time.Sleep(250 * time.Millisecond)
	var wg sync.WaitGroup
	var unanswered atomic.Int32
	for range conns {
		c, err := net.Dial("tcp", callers.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		wg.Go(func() {
			write(t, c, "GET /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\nPimento-Timeout: 1000\r\n\r\n")
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			if new(fasthttp.Response).Read(bufio.NewReader(c)) != nil {
				unanswered.Add(1)
			}
		})
	}
	wg.Wait()
	is.NoErr(<-done)
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of %d requests got no response", n, conns)
	}
}
