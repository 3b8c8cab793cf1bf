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

// book sends a booking under a key through an entry.
func (f *fleet) book(m *member, key, body string) *fasthttp.Response {
	return f.raw(m, "POST", "/bookings/book", "any", body, headerKey, key, pimentofake.ReferenceHeader, body)
}

func (f *fleet) freshKey(m *member, org string) string {
	resp := f.raw(m, "POST", keysPath+"?service=bookings&n=1", org, "")
	f.is.Equal(resp.StatusCode(), 200)
	return string(resp.Header.Peek(headerKeys))
}

// A booking runs once, wherever it is sent and however often, and each resend
// gets the same answer.
func TestBookingRunsOnceThroughAllEntries(t *testing.T) {
	f := newFleet(t, 4)
	for _, d := range []pimentoregister.DomainName{"west-a", "west-b", "east-a"} {
		f.start(d)
	}
	f.awaitReady()
	for n, issuer := range f.entries {
		key := f.freshKey(issuer, "any")
		body := fmt.Sprintf("desk %d", n)
		for _, m := range append(f.entries, f.entries...) {
			resp := f.book(m, key, body)
			f.is.Equal(refusalOf(resp), "200  ")
			f.is.Equal(string(resp.Body()), string(pimentofake.ResponseBody(body, 0)))
			f.is.True(len(resp.Header.Peek(headerKeys)) > 0)
		}
		f.is.Equal(len(f.runs()[key]), 1)
	}
}

// A request waits at an entry that has just become the owner of the only
// target, which is cold. Then another entry becomes the owner, and gets it.
func TestOwnerChangesWhileWaiting(t *testing.T) {
	for _, path := range []string{"/charts/x", "/bookings/book"} {
		t.Run(path[1:7], func(t *testing.T) {
			f := newFleet(t, 1)
			m := f.start("west-a")
			f.awaitReady()
			s := m.service(pimentoregister.ServiceName(path[1:strings.LastIndex(path, "/")]))
			s.mu.Lock()
			s.table.OwnerWait = time.Hour
			s.mu.Unlock()
			done := make(chan string)
			go func() {
				if path == "/charts/x" {
					done <- refusalOf(f.raw(m, "GET", path, "any", "", headerTimeout, "15000"))
					return
				}
				done <- refusalOf(f.raw(m, "POST", path, "any", "", headerTimeout, "15000", headerKey, f.freshKey(m, "any")))
			}()
			f.await("request waits", func() bool { return s.waiting.Load() > 0 })
			f.start("west-b")
			f.is.Equal(<-done, "200  ")
		})
	}
}

func refusalOf(resp *fasthttp.Response) string {
	return fmt.Sprintf("%d %s %s", resp.StatusCode(), resp.Header.Peek(headerReason), resp.Header.Peek(headerRun))
}

// Bad input is refused with its reason and with whether it was run.
func TestBadInput(t *testing.T) {
	f := newFleet(t, 4)
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
		got := refusalOf(f.raw(m, c.method, c.path, c.org, c.body, c.header...))
		if got != c.want {
			t.Errorf("%s %s: %s, want %s", c.method, c.path, got, c.want)
		}
	}
	f.is.Equal(len(f.runs()), 1)
}

// rawBytes writes bytes to an entry and returns what comes back until the
// connection ends. cut closes the sending side behind the bytes.
func rawBytes(t *testing.T, m *member, data string, cut bool) string {
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
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// Heads that aren't valid, and bodies that are cut short, are refused, and the
// process lives on.
func TestBadBytes(t *testing.T) {
	f := newFleet(t, 4)
	m := f.start("west-a")
	f.awaitReady()
	long := "GET /charts/x HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", maxHead) + "\r\n\r\n"
	f.is.True(strings.Contains(rawBytes(t, m, long, true), "Pimento-Reason: long"))
	f.is.True(strings.Contains(rawBytes(t, m, "nonsense\r\n\r\n", true), "Pimento-Reason: head"))
	large := fmt.Sprintf("POST /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\nContent-Length: %d\r\n\r\nx", maxBody+1)
	f.is.True(strings.Contains(rawBytes(t, m, large, true), "Pimento-Reason: large"))
	key := f.freshKey(m, "any")
	cut := "POST /bookings/book HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\nIdempotency-Key: " + key +
		"\r\nContent-Length: 100\r\n\r\nhalf"
	f.is.True(strings.Contains(rawBytes(t, m, cut, true), "Pimento-Reason: body"))
	f.is.Equal(len(f.runs()), 0)
	f.is.Equal(f.book(m, key, "whole").StatusCode(), 200)
}

// A target that answers garbage, nothing, or half an answer costs a refusal,
// never a wrong answer.
func TestBadAnswers(t *testing.T) {
	f := newFleet(t, 0)
	answers := map[string]string{
		"garbage":  "\x00\x01\x02 not http\r\n\r\n",
		"nothing":  "",
		"half":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nas long as it lasts",
		"chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
	}
	for name, answer := range answers {
		f.addRaw(pimentoregister.ServiceName(name), answer)
	}
	f.publish()
	m := f.start("west-a")
	f.awaitReady()
	for name := range answers {
		body := rawBytes(t, m, "GET /"+name+"/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nPimento-Org: any\r\n\r\n", false)
		resp := &fasthttp.Response{}
		err := resp.Read(bufio.NewReader(strings.NewReader(body)))
		if err == nil && resp.StatusCode() < 500 {
			t.Errorf("%s: status %d, body %q", name, resp.StatusCode(), resp.Body())
		}
	}
	f.is.Equal(m.counters.panics.Get(), uint64(0))
}

// addRaw adds a service with one target that reads a request, writes bytes and
// closes the connection.
func (f *fleet) addRaw(name pimentoregister.ServiceName, answer string) {
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
					_, _ = conn.Write([]byte(answer))
				}
				_ = conn.Close()
			}()
		}
	}()
	s := f.doc.Services[0]
	s.Name = name
	s.Class = pimentoregister.ClassRead
	f.doc.Services = append(f.doc.Services, s)
	f.doc.VMs = append(f.doc.VMs, pimentoregister.VM{
		Name: pimentoregister.VMName(name), Service: name, Domain: "west-a", Address: ln.Addr().String(),
	})
}

// Large answers stream whole, also over a link between entries.
func TestLargeAnswers(t *testing.T) {
	f := newFleet(t, 4)
	west, east := f.start("west-a"), f.start("east-a")
	f.awaitReady()
	const size = 20 << 20
	for _, c := range []struct {
		m   *member
		org string
	}{{west, "any"}, {east, "westerly"}} {
		resp := f.raw(c.m, "GET", fmt.Sprintf("/charts/pack?size=%d", size), c.org, "", pimentofake.ReferenceHeader, "r")
		f.is.Equal(resp.StatusCode(), 200)
		f.is.True(bytes.Equal(resp.Body(), pimentofake.ResponseBody("r", size)))
	}
}

// A caller that goes away cancels its idempotent request at the target.
func TestCallerGoneCancels(t *testing.T) {
	f := newFleet(t, 2)
	m := f.start("west-a")
	f.awaitReady()
	for _, tg := range f.targets {
		tg.SetSlowdown(1e6)
	}
	conn, err := net.Dial("tcp", m.settings.Callers)
	f.is.NoErr(err)
	_, err = conn.Write([]byte("GET /charts/x HTTP/1.1\r\nHost: x\r\nPimento-Org: any\r\n\r\n"))
	f.is.NoErr(err)
	f.await("request at a target", func() bool { return f.sum((*pimentofake.Target).Runs) > 0 })
	f.is.NoErr(conn.Close())
	f.await("cancelled", func() bool { return f.sum((*pimentofake.Target).Cancelled) > 0 })
	f.await("slot free", func() bool { return m.running.Load() == 0 })
}

func (f *fleet) sum(count func(*pimentofake.Target) int64) int64 {
	var n int64
	for _, tg := range f.targets {
		n += count(tg)
	}
	return n
}

// Requests of an organisation with a home region run there only, wherever they
// arrive, and are refused where no home entry is reached.
func TestHomeRegions(t *testing.T) {
	f := newFleet(t, 8)
	west, east := f.start("west-a"), f.start("east-a")
	f.awaitReady()
	for n := range 20 {
		resp := f.raw(east, "GET", "/charts/x", "westerly", "", pimentofake.ReferenceHeader, fmt.Sprint(n))
		f.is.Equal(resp.StatusCode(), 200)
		key := f.freshKey(east, "westerly")
		resp = f.raw(east, "POST", "/bookings/book", "westerly", "b", headerKey, key)
		f.is.Equal(resp.StatusCode(), 200)
	}
	for _, log := range f.logs {
		for _, line := range runLines(t, log) {
			f.is.Equal(line.Region, "west")
		}
	}
	close(west.stop)
	f.is.NoErr(<-west.done)
	f.is.Equal(refusalOf(f.raw(east, "GET", "/charts/x", "westerly", "")), "421 home no")
}

// Callers' own library takes keys, resends, and says what happened.
func TestCallerLibrary(t *testing.T) {
	f := newFleet(t, 4)
	f.start("west-a")
	f.start("west-b")
	f.awaitReady()
	turn := 0
	c := f.client("any", func() *member { turn++; return f.entries[turn%2] })
	for n := range 50 {
		ref := fmt.Sprint(n)
		a, err := c.Do(&pimentocaller.Request{
			Service: "bookings", Method: "POST", Path: "/book", Body: []byte(ref), Once: true,
			Header: []pimentocaller.Field{{Name: pimentofake.ReferenceHeader, Value: ref}},
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
