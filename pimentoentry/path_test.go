package pimentoentry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentocaller"
	"pimentoarch/pimentofake"
	"pimentoarch/pimentoregister"
)

// book sends a booking under a key to an entry.
func (f *cluster) book(m *member, key, body string) *fasthttp.Response {
	return f.request(m, "POST", "/bookings/book", "any", body, headerKey, key, pimentofake.ReferenceHeader, body)
}

// freshKey returns an unused key for bookings of an organisation, issued by an entry.
func (f *cluster) freshKey(m *member, org string) string {
	resp := f.request(m, "POST", keysPath+"?service=bookings&n=1", org, "")
	f.is.Equal(resp.StatusCode(), 200)
	return string(resp.Header.Peek(headerKeys))
}

// A booking must run once, whichever entries it is sent to and however often, and every
// resend must get the same response.
func TestBookingRunsOnceThroughAllEntries(t *testing.T) {
	f := newCluster(t, 4)
	for _, d := range []pimentoregister.DomainName{"west-a", "west-b", "east-a"} {
		f.start(d)
	}
	f.awaitReady()
	for n, issuer := range f.entries {
		key := f.freshKey(issuer, "any")
		body := fmt.Sprintf("desk %d", n)
		for _, m := range append(f.entries, f.entries...) {
			resp := f.book(m, key, body)
			f.is.Equal(refusalSummary(resp), "200  ")
			f.is.Equal(string(resp.Body()), string(pimentofake.ResponseBody(body, 0)))
			f.is.True(len(resp.Header.Peek(headerKeys)) > 0)
		}
		f.is.Equal(len(f.runs()[key]), 1)
	}
}

// A request waits at the entry that owns the only target, which is cold and not usable
// yet. When another entry becomes the owner, the request must be sent through it.
func TestOwnerChangesWhileWaiting(t *testing.T) {
	for _, path := range []string{"/charts/x", "/bookings/book"} {
		t.Run(path[1:7], func(t *testing.T) {
			f := newCluster(t, 1)
			m := f.start("west-a")
			f.awaitReady()
			s := m.service(pimentoregister.ServiceName(path[1:strings.LastIndex(path, "/")]))
			s.mu.Lock()
			s.table.OwnerWait = time.Hour
			s.mu.Unlock()
			done := make(chan string)
			go func() {
				if path == "/charts/x" {
					done <- refusalSummary(f.request(m, "GET", path, "any", "", headerTimeout, "15000"))
					return
				}
				done <- refusalSummary(f.request(m, "POST", path, "any", "", headerTimeout, "15000", headerKey, f.freshKey(m, "any")))
			}()
			f.await("request waits", func() bool { return s.waiting.Load() > 0 })
			f.start("west-b")
			f.is.Equal(<-done, "200  ")
		})
	}
}

// refusalSummary returns the status, reason and run of a response, separated by spaces.
func refusalSummary(resp *fasthttp.Response) string {
	return fmt.Sprintf("%d %s %s", resp.StatusCode(), resp.Header.Peek(headerReason), resp.Header.Peek(headerRun))
}

// Invalid requests must be refused with the right reason and run value.
func TestBadInput(t *testing.T) {
	f := newCluster(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	key := f.freshKey(m, "any")
	f.is.Equal(f.book(m, key, "a").StatusCode(), 200)
	last := byte('A')
	if key[31] == 'A' {
		last = 'B'
	}
	forged := key[:31] + string(last)
	cases := []struct {
		want, method, path, org, body string
		header                        []string
	}{
		{"404 service no", "GET", "/chart/x", "any", "", nil},
		{"404 path no", "GET", "/charts", "any", "", nil},
		{"403 organisation no", "GET", "/charts/x", "nobody", "", nil},
		{"400 timeout no", "GET", "/charts/x", "any", "", []string{headerTimeout, "soon"}},
		{"428 nokey no", "POST", "/bookings/book", "any", "a", nil},
		{"428 nokey no", "POST", "/bookings/%62ook", "any", "a", nil},
		{"428 nokey no", "POST", "/bookings/x/../book", "any", "a", nil},
		{"428 nokey no", "POST", "/bookings//book", "any", "a", nil},
		{"400 forged no", "POST", "/bookings/book", "any", "a", []string{headerKey, "made-up"}},
		{"400 forged no", "POST", "/bookings/book", "any", "a", []string{headerKey, forged}},
		{"400 forged no", "POST", "/bookings/book", "westerly", "a", []string{headerKey, key}},
		{"422 reused no", "POST", "/bookings/book", "any", "b", []string{headerKey, key}},
		{"502 unsent unknown", "POST", "/bookings/book", "any", "a", []string{headerKey, strings.Repeat("x", 31) + "A", headerTimeout, "300"}},
		{"404 service unknown", "POST", "/removed/book", "any", "a", []string{headerKey, key}},
		{"400 head no", "POST", keysPath + "?service=bookings&n=65", "any", "", nil},
	}
	for _, c := range cases {
		got := refusalSummary(f.request(m, c.method, c.path, c.org, c.body, c.header...))
		if got != c.want {
			t.Errorf("%s %s: %s, want %s", c.method, c.path, got, c.want)
		}
	}
	f.is.Equal(len(f.runs()), 1)
}

// exchangeBytes writes bytes to an entry and returns what the entry sends until the
// connection ends. If cut is set, it closes the sending direction after the bytes.
func exchangeBytes(t *testing.T, m *member, data string, cut bool) string {
	is := is.New(t)
	conn, err := net.Dial("tcp", m.settings.Callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(data))
	is.NoErr(err)
	if cut {
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	response, _ := io.ReadAll(conn)
	return string(response)
}

// Invalid heads and incomplete bodies must be refused, and the entry must still serve
// requests afterwards.
func TestMalformedRequestBytes(t *testing.T) {
	f := newCluster(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	long := "GET /charts/x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", maxHead) + "\r\n\r\n"
	f.is.True(strings.Contains(exchangeBytes(t, m, long, true), "Pimento-Reason: long"))
	f.is.True(strings.Contains(exchangeBytes(t, m, "nonsense\r\n\r\n", true), "Pimento-Reason: head"))
	large := fmt.Sprintf("POST /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\nContent-Length: %d\r\n\r\nx", maxBody+1)
	f.is.True(strings.Contains(exchangeBytes(t, m, large, true), "Pimento-Reason: large"))
	key := f.freshKey(m, "any")
	cut := "POST /bookings/book HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\nIdempotency-Key: " + key +
		"\r\nContent-Length: 100\r\n\r\nhalf"
	f.is.True(strings.Contains(exchangeBytes(t, m, cut, true), "Pimento-Reason: body"))
	f.is.Equal(len(f.runs()), 0)
	f.is.Equal(f.book(m, key, "whole").StatusCode(), 200)
}

// A target whose response is invalid, empty or incomplete must lead to an error or a
// refusal, never to a wrong response.
func TestBadAnswers(t *testing.T) {
	f := newCluster(t, 0)
	responses := map[string]string{
		"garbage":  "\x00\x01\x02 not http\r\n\r\n",
		"nothing":  "",
		"half":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nas long as it lasts",
		"chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"zero":     "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nwhole",
		"blank":    "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\nwhole",
		"colon":    "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nwhole",
		"folded":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Good: 1\r\n X-Odd: 1\r\n\r\nwhole",
		"linefeed": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nX-Odd: 1\r\n\r\nwhole",
		"interim":  "HTTP/1.1 103 Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	}
	for name, response := range responses {
		f.addRawTarget(pimentoregister.ServiceName(name), response)
	}
	f.publish()
	m := f.start("west-a")
	f.awaitReady()
	for name := range responses {
		body := exchangeBytes(t, m, "GET /"+name+"/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nPimento-Org: any\r\n\r\n", false)
		resp := &fasthttp.Response{}
		err := resp.Read(bufio.NewReader(strings.NewReader(body)))
		if err == nil && resp.StatusCode() < 500 {
			t.Errorf("%s: status %d, body %q", name, resp.StatusCode(), resp.Body())
		}
	}
	f.is.Equal(m.counters.panics.Get(), uint64(0))
}

// A target that closes its connection within the head of its response must lead to an
// error after any byte of it.
func TestAnswerCutInHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Boot: b\r\nContent-Length: 5\r\n\r\n"
	f := newCluster(t, 0)
	for n := range len(head) {
		f.addRawTarget(pimentoregister.ServiceName(fmt.Sprint("cut", n)), head[:n])
	}
	f.publish()
	m := f.start("west-a")
	f.awaitReady()
	for n := range len(head) {
		resp := f.request(m, "GET", fmt.Sprintf("/cut%d/x", n), "any", "")
		if resp.StatusCode() < 500 {
			t.Errorf("after %q: status %d, body %q", head[:n], resp.StatusCode(), resp.Body())
		}
	}
}

// addService adds a service with one target.
func (f *cluster) addService(name pimentoregister.ServiceName, address string) {
	s := f.doc.Services[0]
	s.Name = name
	s.Class = pimentoregister.ClassRead
	f.doc.Services = append(f.doc.Services, s)
	f.doc.VMs = append(f.doc.VMs, pimentoregister.VM{Name: pimentoregister.VMName(name), Service: name, Domain: "west-a", Address: address})
}

// addRawTarget adds a service with one target, which reads a request, writes the given
// bytes and closes the connection.
func (f *cluster) addRawTarget(name pimentoregister.ServiceName, response string) {
	ln := f.listen()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				req := &fasthttp.Request{}
				if req.Read(bufio.NewReader(conn)) == nil {
					_, _ = conn.Write([]byte(response))
				}
				_ = conn.Close()
			}()
		}
	}()
	f.addService(name, ln.Addr().String())
}

// Large responses must be streamed completely, also over a link between entries.
func TestLargeAnswers(t *testing.T) {
	f := newCluster(t, 4)
	west, east := f.start("west-a"), f.start("east-a")
	f.awaitReady()
	const size = 20 << 20
	for _, c := range []struct {
		m   *member
		org string
	}{{west, "any"}, {east, "westerly"}} {
		resp := f.request(c.m, "GET", fmt.Sprintf("/charts/pack?size=%d", size), c.org, "", pimentofake.ReferenceHeader, "r")
		f.is.Equal(resp.StatusCode(), 200)
		f.is.True(bytes.Equal(resp.Body(), pimentofake.ResponseBody("r", size)))
	}
}

// When a caller disconnects, its idempotent request must be cancelled at the target.
func TestCallerGoneCancels(t *testing.T) {
	f := newCluster(t, 2)
	m := f.start("west-a")
	f.awaitReady()
	for _, tg := range f.targets {
		tg.SetSlowdown(1e6)
	}
	conn, err := net.Dial("tcp", m.settings.Callers)
	f.is.NoErr(err)
	_, err = conn.Write([]byte("GET /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\n\r\n"))
	f.is.NoErr(err)
	f.await("request at a target", func() bool { return f.sumTargets((*pimentofake.Target).Runs) > 0 })
	f.is.NoErr(conn.Close())
	f.await("cancelled", func() bool { return f.sumTargets((*pimentofake.Target).Cancelled) > 0 })
	f.await("slot free", func() bool { return m.running.Load() == 0 })
}

// sumTargets returns the sum of a count over all targets.
func (f *cluster) sumTargets(count func(*pimentofake.Target) int64) int64 {
	var n int64
	for _, tg := range f.targets {
		n += count(tg)
	}
	return n
}

// Requests of an organisation with a home region must run only there, whichever entry
// gets them, and must be refused if no entry of a home region is reachable.
func TestHomeRegions(t *testing.T) {
	f := newCluster(t, 8)
	west, east := f.start("west-a"), f.start("east-a")
	f.awaitReady()
	for n := range 20 {
		resp := f.request(east, "GET", "/charts/x", "westerly", "", pimentofake.ReferenceHeader, fmt.Sprint(n))
		f.is.Equal(resp.StatusCode(), 200)
		key := f.freshKey(east, "westerly")
		resp = f.request(east, "POST", "/bookings/book", "westerly", "b", headerKey, key)
		f.is.Equal(resp.StatusCode(), 200)
	}
	for _, log := range f.logs {
		for _, line := range runRecords(t, log) {
			f.is.Equal(line.Region, "west")
		}
	}
	close(west.stop)
	f.is.NoErr(<-west.done)
	f.is.Equal(refusalSummary(f.request(east, "GET", "/charts/x", "westerly", "")), "421 home no")
}

// The caller library, whose calls alternate between two entries, must get keys and
// report that its requests ran. Each request must run once.
func TestCallerLibrary(t *testing.T) {
	f := newCluster(t, 4)
	f.start("west-a")
	f.start("west-b")
	f.awaitReady()
	turn := 0
	c := f.client("any", func() *member { turn++; return f.entries[turn%2] })
	for n := range 50 {
		ref := fmt.Sprint(n)
		a, err := c.Do(&pimentocaller.Request{
			Service: "bookings", Method: "POST", Path: "/book", Body: []byte(ref), NonIdempotent: true,
			Header: []pimentocaller.HeaderField{{Name: pimentofake.ReferenceHeader, Value: ref}},
		})
		f.is.NoErr(err)
		f.is.Equal(a.Run, pimentocaller.RunYes)
		f.is.Equal(string(a.Body), string(pimentofake.ResponseBody(ref, 0)))
	}
	runs := f.runs()
	f.is.Equal(len(runs), 50)
	for _, lines := range runs {
		f.is.Equal(len(lines), 1)
	}
}
