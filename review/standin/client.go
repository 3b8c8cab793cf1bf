package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID, Method, Host, Path string
	Body                   []byte
	Deadline               time.Duration
}

// Answer is what a client got. Status 0 means no complete answer.
type Answer struct {
	Status     int
	RetryAfter time.Duration
	Close      bool
	Err        error
	Body       []byte
	Header     http.Header
}

// Conn is a client's connection to an entry.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial opens a connection, within one second.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, r: bufio.NewReader(c)}, nil
}

// Write sends a request.
func (c *Conn) Send(q *Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds())
	if q.Method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	_, err := c.Conn.Write(b.Bytes())
	return err
}

// Receive reads the answer to a request.
func (c *Conn) Receive(q *Request) Answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: resp.StatusCode, Close: resp.Close, Body: body, Header: resp.Header}
	var seconds float64
	if _, err := fmt.Sscan(resp.Header.Get("Retry-After"), &seconds); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// Do sends a request and reads its answer within its deadline.
func (c *Conn) Do(q *Request) Answer {
	_ = c.SetDeadline(time.Now().Add(q.Deadline))
	if err := c.Send(q); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(q)
}
