package pimentohttp

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const (
	earlyBody = "an early answer"
	// longUpload is more than the kernel buffers of a connection, so that the upload is still
	// being written when the answer comes.
	longUpload = 16 << 20
	// earlyExchanges is the number of exchanges of each case. Which call gets the error of a
	// reset connection, a read or a write, differs between them.
	earlyExchanges = 40
)

// earlyFramings are the heads of an answer with earlyBody, and the rest of it, by framing.
var earlyFramings = map[string]struct{ head, rest string }{
	"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n", earlyBody},
	"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "f\r\n" + earlyBody + "\r\n0\r\n\r\n"},
	"close":   {"HTTP/1.1 200 OK\r\n\r\n", earlyBody},
	"refusal": {"HTTP/1.1 503 Busy\r\nContent-Length: 15\r\n\r\n", earlyBody},
}

// startEarlyTarget starts a server that reads the head of each request, writes an answer, and
// ends the connection.
func startEarlyTarget(t *testing.T, answer string, end func(*net.TCPConn)) string {
	t.Helper()
	return serveConns(t, func(conn net.Conn) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(conn)) != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn))
	})
}

// resetConn resets a connection once what was written to it has arrived.
func resetConn(c *net.TCPConn) {
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeInOrder ends the answer in order and goes on to read the upload.
func closeInOrder(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// closeThenReset ends the answer in order, and resets the connection later, as a kernel does when
// more of the upload arrives after a close.
func closeThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(5 * time.Millisecond)
	resetConn(c)
}

// uploadTo sends a long upload and returns the body of the answer.
func uploadTo(c *Client, address string) (string, error) {
	x := newExchange(address)
	x.Req.SetBodyRaw(upload)
	x.MaxBuffered = 1 << 20
	err := c.Do(x)
	x.AwaitWritten()
	return string(x.Resp.Body()), err
}

var upload = make([]byte, longUpload)

// A target answers an upload early, and resets the connection within the body while the upload
// is still being written. That is no complete answer, in any framing.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for name, f := range earlyFramings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var c Client
			address := startEarlyTarget(t, f.head+f.rest[:len(f.rest)-4], resetConn)
			for range earlyExchanges {
				body, err := uploadTo(&c, address)
				if err == nil {
					t.Fatalf("accepted with body %q", body)
				}
				is.Equal(kindOf(err), KindIncomplete)
			}
			is.Equal(c.OpenConns(), 0)
		})
	}
}

// A whole answer that comes before the end of an upload is accepted, however the connection
// ends after it.
func TestWholeEarlyAnswer(t *testing.T) {
	ends := map[string]func(*net.TCPConn){"reads on": closeInOrder, "closes": closeThenReset, "resets": resetConn}
	for framing, f := range earlyFramings {
		for name, end := range ends {
			if framing == "close" && name == "resets" {
				continue // Isn't whole, see TestEarlyAnswerThatIsReset.
			}
			t.Run(framing+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := Client{Redial: true}
				address := startEarlyTarget(t, f.head+f.rest, end)
				for range earlyExchanges {
					body, err := uploadTo(&c, address)
					is.NoErr(err)
					is.Equal(body, earlyBody)
				}
				c.CloseAllIdle()
				is.Equal(c.OpenConns(), 0)
			})
		}
	}
}

// A reset within an answer to a request that was written before is no end of it either.
func TestAnswerThatIsReset(t *testing.T) {
	for name, f := range earlyFramings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := startTarget(t, func(c net.Conn) bool {
				_, _ = io.WriteString(c, f.head+f.rest[:len(f.rest)-4])
				resetConn(c.(*net.TCPConn))
				return false
			})
			for range earlyExchanges {
				x := newExchange(address)
				x.MaxBuffered = 1 << 20
				err := new(Client).Do(x)
				is.Equal(kindOf(err), KindIncomplete)
			}
		})
	}
}
