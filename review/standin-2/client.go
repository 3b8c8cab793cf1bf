package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// client is one connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a connection. segment, if it isn't 0, is the largest TCP segment in bytes, as on a
// line that isn't the loopback device, and window the size of the receive buffer.
func dial(address string, segment, window int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if segment > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			}
			if window > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			}
		})
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// request returns the bytes of a request.
func request(method, host, path, id string, deadline time.Duration, body string) string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return s + "\r\n" + body
}

// answer is what a client got.
type answer struct {
	status   int
	id       string
	signed   bool
	length   int64 // As the head states it.
	body     []byte
	complete bool
	closes   bool
	err      error
}

// read reads one response, at most rate bytes a second if rate isn't 0.
func (c *client) read(method string, rate int) answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), signed: resp.Header.Get("X-Response-Signature") != "", length: resp.ContentLength, closes: resp.Close}
	began := time.Now()
	buf := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(buf)
		a.body = append(a.body, buf[:n]...)
		if err == io.EOF {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(len(a.body)) / float64(rate) * float64(time.Second)))))
		}
	}
}

// warmRequests is the number of requests that each client sends before the disruption.
const warmRequests = 3

// warmClients opens connections to a gate, on each of which some requests are served. line returns
// the request with an id. It returns a cleanup function.
func warmClients(g *gate, n, segment, window int, line func(id string) string) ([]*client, func(), error) {
	var list []*client
	hangUp := func() {
		for _, c := range list {
			_ = c.conn.Close()
		}
	}
	for i := range n {
		c, err := dial(g.callers, segment, window)
		if err != nil {
			hangUp()
			return nil, nil, err
		}
		list = append(list, c)
		for k := range warmRequests {
			_, err := c.conn.Write([]byte(line(fmt.Sprintf("warm-%d-%d", i, k))))
			got := c.read(http.MethodGet, 0)
			if err != nil || got.status != http.StatusOK || !got.complete {
				hangUp()
				return nil, nil, fmt.Errorf("request %d of client %d before the disruption: %+v, %v", k, i, got, err)
			}
		}
	}
	return list, hangUp, nil
}
