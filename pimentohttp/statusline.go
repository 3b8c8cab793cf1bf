package pimentohttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

var errNotHTTP = errors.New("the status line isn't that of an HTTP/1 response")

// statusLineBytes is the length of the part of a status line that is checked: the protocol,
// the status and the byte after it.
const statusLineBytes = len("HTTP/1.1 200 ")

// checkStatusStart checks the first statusLineBytes of a response: the protocol, and a status
// of three digits from 100 to 599. fasthttp is too lenient here: it reads a status of 0 as 200.
func checkStatusStart(start []byte) error {
	const protocol = "HTTP/1."
	minor, status, end := start[len(protocol)], start[9:12], start[12]
	switch {
	case !bytes.HasPrefix(start, []byte(protocol)), minor < '0' || minor > '9', start[8] != ' ',
		status[0] < '1' || status[0] > '5', status[1] < '0' || status[1] > '9', status[2] < '0' || status[2] > '9',
		end != ' ' && end != '\r' && end != '\n':
		return errNotHTTP
	}
	return nil
}

// checkStatusLine checks the status line of the next response.
func checkStatusLine(r *bufio.Reader) error {
	start, err := r.Peek(statusLineBytes)
	if err != nil {
		return err
	}
	return checkStatusStart(start)
}

// ReadHead reads the head of a response that was stored or forwarded.
func ReadHead(h *fasthttp.ResponseHeader, head []byte) error {
	r := bufio.NewReaderSize(bytes.NewReader(head), len(head)+1)
	if err := checkStatusLine(r); err != nil {
		return err
	}
	return h.Read(r)
}

// CheckResponses returns a connection whose reads fail if a response begins with an invalid
// status line, or is an informational one. It is for clients that read one response after each
// request, and is used by one goroutine at a time.
func CheckResponses(conn net.Conn) net.Conn { return &checkedConn{Conn: conn} }

// checkedConn implements CheckResponses.
type checkedConn struct {
	net.Conn
	awaiting bool // The next byte that is read is the first one of a response.
	unread   []byte
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.awaiting = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.awaiting {
		start := make([]byte, statusLineBytes)
		if _, err := io.ReadFull(c.Conn, start); err != nil {
			return 0, err
		}
		if err := checkStatusStart(start); err != nil {
			return 0, err
		}
		if start[9] == '1' {
			return 0, errNotHTTP
		}
		c.awaiting, c.unread = false, start
	}
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}
