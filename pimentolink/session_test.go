package pimentolink

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"github.com/panjf2000/ants/v2"
)

const (
	// readerDelay is the time after which a slowConn's reader learns of the end of its
	// connection.
	readerDelay = 400 * time.Millisecond
	// nextRead is the time for a node to wait for the next message after its reply to one.
	nextRead = 50 * time.Millisecond
)

// slowConn is a connection whose reader is late to learn of its end. As with other connections,
// Close waits for the reader.
type slowConn struct {
	net.Conn
	reading sync.Mutex
	broken  atomic.Bool // Writes fail.
}

func (c *slowConn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(b)
}

func (c *slowConn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(readerDelay)
	}
	return n, err
}

func (c *slowConn) Close() error {
	err := c.Conn.Close()
	c.reading.Lock()
	defer c.reading.Unlock()
	return err
}

// mutedConn is a connection that receives nothing once it is muted.
type mutedConn struct {
	net.Conn
	muted atomic.Bool
}

func (c *mutedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muted.Load() {
			return n, err
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(is *is.I) time.Duration {
	var u syscall.Rusage
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestEndOfSessionSpins guards against streams whose readers spin while their session is closed
// by another goroutine than its receiver.
func TestEndOfSessionSpins(t *testing.T) {
	for name, end := range map[string]func(*Node, *slowConn, *mutedConn){
		"closed here": func(n *Node, _ *slowConn, _ *mutedConn) { n.close() },
		"silent peer": func(_ *Node, _ *slowConn, peer *mutedConn) { peer.muted.Store(true) },
		"write fails": func(_ *Node, conn *slowConn, _ *mutedConn) { conn.broken.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool, err := ants.NewPool(8)
			is.NoErr(err)
			defer pool.Release()
			n := &Node{Log: log.NewNopLogger(), Workers: pool, OnSyncMessage: func(m []byte) ([]byte, error) { return m, nil }}
			here, there := net.Pipe()
			conn, peer := &slowConn{Conn: here}, &mutedConn{Conn: there}
			ended := make(chan struct{})
			go func() {
				n.serveConn(conn)
				close(ended)
			}()
			exchangeOnce(is, peer)
			time.Sleep(nextRead)
			before := processorTime(is)
			end(n, conn, peer)
			<-ended
			time.Sleep(2 * readerDelay)
			is.True(processorTime(is)-before < readerDelay/4) // A reader of the stream span.
		})
	}
}

// exchangeOnce opens a stream for sync messages to the node at the other end of a connection,
// and exchanges one.
func exchangeOnce(is *is.I, conn net.Conn) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive, cfg.LogOutput = false, io.Discard
	s, err := yamux.Client(conn, cfg)
	is.NoErr(err)
	stream, err := s.OpenStream()
	is.NoErr(err)
	_, err = stream.Write([]byte{byte(streamSync)})
	is.NoErr(err)
	is.NoErr(writeMessage(stream, []byte("message")))
	reply := make([]byte, len("\x07message"))
	_, err = io.ReadFull(stream, reply)
	is.NoErr(err)
	is.Equal(string(reply), "\x07message")
}
