package pimentoentry

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Callers' connections that have sent nothing or a part of a head must not hold up a
// planned stop. They are closed unread.
func TestStopClosesUnreadConnections(t *testing.T) {
	const limit = 2 * time.Second // Far below Settings.Drain, which is 5 s here.
	for name, begin := range map[string]func(t *testing.T, c net.Conn){
		"silent":    func(*testing.T, net.Conn) {},
		"half head": func(t *testing.T, c net.Conn) { write(t, c, "GET /charts/x HTTP/1.1\r\nHost: x\r\n") },
		"half head on a kept connection": func(t *testing.T, c net.Conn) {
			write(t, c, "GET /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\n\r\n")
			readStatus(t, c)
			write(t, c, "GET /charts/x HTTP/1.1\r\nHost: x\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCluster(t, 2)
			m := f.start("west-a")
			f.awaitReady()
			f.warm("/charts/x")
			c, err := net.Dial("tcp", m.settings.Callers)
			f.is.NoErr(err)
			t.Cleanup(func() { _ = c.Close() })
			begin(t, c)
			time.Sleep(50 * time.Millisecond) // Until the entry has accepted the connection.
			began := time.Now()
			close(m.stop)
			f.is.NoErr(<-m.done)
			if took := time.Since(began); took > limit {
				t.Errorf("the stop took %v, want at most %v", took, limit)
			}
			_ = c.SetReadDeadline(time.Now().Add(limit))
			if n, err := c.Read(make([]byte, 100)); err == nil {
				t.Errorf("%d bytes were received, want the connection closed", n)
			}
		})
	}
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := fmt.Fprint(c, text); err != nil {
		t.Fatal(err)
	}
}

// readStatus reads a response without more bytes behind it and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp := new(fasthttp.Response)
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode()
}
