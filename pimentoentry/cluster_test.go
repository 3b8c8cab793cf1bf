package pimentoentry

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentocaller"
	"pimentoarch/pimentofake"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentotarget"
)

// cluster is a platform, targets and entries that run in the test's process.
type cluster struct {
	t        testing.TB
	is       *is.I
	platform *pimentofake.Platform
	address  string // Of the platform.
	doc      pimentoregister.Document
	targets  []*pimentofake.Target
	logs     []*pimentofake.LogBuffer
	entries  []*member
	vms      []pimentofake.VM
}

// member is one entry of a cluster.
type member struct {
	*Entry
	stop chan struct{}
	done chan error
}

// runRecords returns the requests that a target has run, from its log.
func runRecords(t testing.TB, log *pimentofake.LogBuffer) []pimentofake.RunRecord {
	var list []pimentofake.RunRecord
	dec := json.NewDecoder(strings.NewReader(log.String()))
	for {
		var line pimentofake.RunRecord
		if err := dec.Decode(&line); err == io.EOF {
			return list
		} else if err != nil {
			t.Fatal(err)
		}
		list = append(list, line)
	}
}

// newCluster starts a platform and the targets of a register with two regions, "west"
// and "east", of two failure domains each. It starts no entries.
func newCluster(t testing.TB, perService int) *cluster {
	f := &cluster{t: t, is: is.New(t), platform: &pimentofake.Platform{}}
	f.doc = pimentoregister.Document{
		Regions: []pimentoregister.Region{
			{Name: "west", Domains: []pimentoregister.DomainName{"west-a", "west-b"}},
			{Name: "east", Domains: []pimentoregister.DomainName{"east-a", "east-b"}},
		},
		Organisations: []pimentoregister.Organisation{
			{Name: "any"},
			{Name: "westerly", HomeRegions: []pimentoregister.RegionName{"west"}},
		},
		Rules: pimentoregister.Rules{
			OnceRoutes: []pimentoregister.Route{{Service: "bookings", Method: "POST", PathPrefix: "/book"}},
			Links:      pimentoregister.Links{CapacityMbps: 1000},
		},
	}
	for name, class := range map[pimentoregister.ServiceName]pimentoregister.Class{"charts": "read", "bookings": "once"} {
		f.doc.Services = append(f.doc.Services, pimentoregister.Service{
			Name: name, Class: class, Slots: 3, MaxConnections: 260, ColdLimit: 3, Warmup: 0, Timeout: 5000,
			RefusalStatuses: []int{503}, BootHeader: pimentofake.BootHeader,
		})
		for i := range perService {
			f.addTarget(name, i)
		}
	}
	f.publish()
	f.address = f.serve(f.platform.Handler)
	return f
}

// addTarget starts target i of a service, in a failure domain chosen by i.
func (f *cluster) addTarget(service pimentoregister.ServiceName, i int) {
	domains := []pimentoregister.DomainName{"west-a", "east-a", "west-b", "east-b"}
	domain := domains[i%len(domains)]
	log := new(pimentofake.LogBuffer)
	tg := &pimentofake.Target{
		Name: fmt.Sprintf("%s-%d", service, i), Domain: string(domain), Region: string(domain[:4]),
		Slots: 3, QueueLimit: 50, ColdLimit: 50, WorkTime: time.Millisecond, Log: log,
	}
	ln := f.listen()
	go func() { _ = tg.Serve(ln) }()
	f.targets = append(f.targets, tg)
	f.logs = append(f.logs, log)
	f.doc.VMs = append(f.doc.VMs, pimentoregister.VM{
		Name: pimentoregister.VMName(tg.Name), Service: service, Domain: domain, Address: ln.Addr().String(),
	})
}

// listen returns a listener on a free local port, which is closed after the test.
func (f *cluster) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// serve serves h on a free local port and returns the address.
func (f *cluster) serve(h fasthttp.RequestHandler) string {
	ln := f.listen()
	server := &fasthttp.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

// publish publishes the register as the platform's configuration.
func (f *cluster) publish() {
	data, err := json.Marshal(f.doc)
	f.is.NoErr(err)
	f.platform.Set("config", data)
}

// start starts an entry in a failure domain and adds it to the list of VMs.
func (f *cluster) start(domain pimentoregister.DomainName) *member {
	name := fmt.Sprintf("entry-%d", len(f.entries))
	s := DefaultSettings()
	s.Region, s.Domain = pimentoregister.RegionName(domain[:4]), domain
	s.Platform = []string{f.address}
	s.Grace, s.Drain, s.MaxListLag = 100, 5000, 100
	ports := pimentofake.UniqueAddresses(3)
	s.Callers, s.Peers, s.Admin = ports[0], ports[1], ports[2]
	s.Name = pimentotarget.EntryName(name)
	lines := new(pimentofake.LogBuffer)
	e, cleanup, err := New(s, log.NewLogfmtLogger(lines))
	f.is.NoErr(err)
	e.startSpread = time.Millisecond
	m := &member{Entry: e, stop: make(chan struct{}), done: make(chan error, 1)}
	go func() {
		err := e.Run(m.stop)
		if err != nil {
			f.t.Errorf("entry %s ended: %v", s.Name, err)
		}
		m.done <- err
		cleanup()
	}()
	f.t.Cleanup(e.cancel)
	f.t.Cleanup(func() {
		if f.t.Failed() {
			body, _ := json.MarshalIndent(e.Status(), "        ", " ")
			f.t.Logf("%s:\n%s\n%s", name, lines, body)
		}
	})
	f.entries = append(f.entries, m)
	f.vms = append(f.vms, pimentofake.VM{
		Name: name, Role: "entry", Address: s.Peers, Region: string(s.Region), Domain: string(domain), State: "live",
	})
	f.platform.SetVMs(f.vms)
	return m
}

// await waits up to 20 s until ok reports true, and fails the test otherwise.
func (f *cluster) await(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timeout: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// awaitReady waits until all entries are ready and reach each other.
func (f *cluster) awaitReady() {
	f.t.Helper()
	for _, m := range f.entries {
		f.await("entry ready", func() bool {
			st := m.Status()
			reachable := 0
			for _, p := range st.Peers {
				if p.Reachable {
					reachable++
				}
			}
			return st.Ready && reachable >= len(f.entries)-1
		})
	}
}

// client returns a caller that sends each attempt to the entry that at returns.
func (f *cluster) client(org string, at func() *member) *pimentocaller.Client {
	c, cleanup := pimentocaller.New(org, func() string { return at().settings.Callers })
	f.t.Cleanup(cleanup)
	return c
}

// runs returns the runs of requests with a key, by key.
func (f *cluster) runs() map[string][]pimentofake.RunRecord {
	byKey := make(map[string][]pimentofake.RunRecord)
	for _, log := range f.logs {
		for _, line := range runRecords(f.t, log) {
			if line.Key != "" {
				byKey[line.Key] = append(byKey[line.Key], line)
			}
		}
	}
	return byKey
}

// request sends one request to an entry, without a caller's retries, and returns the
// response. header lists names and values in turn.
func (f *cluster) request(m *member, method, path, org, body string, header ...string) *fasthttp.Response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := &fasthttp.Response{}
	req.SetRequestURI("http://" + m.settings.Callers + path)
	req.Header.SetMethod(method)
	req.Header.Set(headerOrg, org)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	req.SetBodyString(body)
	f.is.NoErr(fasthttp.DoTimeout(req, resp, 10*time.Second))
	return resp
}
