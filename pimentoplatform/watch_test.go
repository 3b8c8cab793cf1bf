package pimentoplatform

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentofake"
	"pimentoarch/pimentoregister"
)

// readers simulates the reads of some entries, with two resources each that
// change five seconds apart. read returns whether a read at a time fails, and
// how long it waits.
func readers(entries int, until time.Duration, read func(at time.Duration) (failed bool, took time.Duration)) []time.Duration {
	rng := rand.New(rand.NewPCG(1, 1))
	var reads []time.Duration
	for i := range 2 * entries {
		var p pacer
		shift := time.Duration(i%2) * 5 * time.Second
		at := time.Duration(rng.Float64() * float64(startSpread))
		for at < until {
			reads = append(reads, at)
			failed, took := read(at + shift)
			at += took + p.next(failed, rng.Float64())
		}
	}
	slices.Sort(reads)
	return reads
}

// busiest returns the most reads within any second.
func busiest(reads []time.Duration) int {
	most := 0
	for i := range reads {
		j, _ := slices.BinarySearch(reads, reads[i]+time.Second)
		most = max(most, j-i)
	}
	return most
}

// All entries together stay under a tenth of the service's 2,000 reads/s.
func TestReadsStayBelowTheLimit(t *testing.T) {
	const watch = 20 * time.Second
	cases := map[string]func(time.Duration) (bool, time.Duration){
		"all start at once":          func(time.Duration) (bool, time.Duration) { return false, watch },
		"start while it is down":     func(time.Duration) (bool, time.Duration) { return true, time.Millisecond },
		"down for a minute":          func(at time.Duration) (bool, time.Duration) { return at < time.Minute, watch },
		"a change every ten seconds": func(at time.Duration) (bool, time.Duration) { return false, 10*time.Second - at%(10*time.Second) },
	}
	for name, read := range cases {
		for _, entries := range []int{20, 300} {
			most := busiest(readers(entries, 3*time.Minute, read))
			t.Logf("%s, %d entries: at most %d reads/s", name, entries, most)
			if most > 200 {
				t.Errorf("%s, %d entries: %d reads/s, the limit is 200", name, entries, most)
			}
		}
	}
}

// serve starts a platform, and returns a client of it.
func serve(t *testing.T) (*pimentofake.Platform, *Client) {
	p := &pimentofake.Platform{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = fasthttp.Serve(ln, p.Handler) }()
	c, cleanup := NewClient([]string{ln.Addr().String()})
	t.Cleanup(cleanup)
	return p, c
}

// The client reads values, waits for newer ones, and reports a service that is
// down.
func TestClient(t *testing.T) {
	p, c := serve(t)
	p.Set("config", []byte("one"))
	rev, data, err := c.Value("config", 0)
	if err != nil || rev != 1 || string(data) != "one" {
		t.Fatalf("revision %d, %q, %v", rev, data, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { p.Set("config", []byte("two")) })
	rev, data, err = c.Value("config", 1)
	if err != nil || rev != 2 || string(data) != "two" {
		t.Fatalf("revision %d, %q, %v", rev, data, err)
	}
	p.SetVMs([]pimentofake.VM{
		{Name: "e", Role: "entry", Address: "10.0.0.1:1", Region: "r", Domain: "d", State: "leaving"},
		{Name: "t", Role: "target", State: "leaving"},
	})
	time.Sleep(20 * time.Millisecond)
	list, err := c.VMs(0)
	if err != nil || len(list.Entries) != 1 || !list.Entries[0].Leaving || !list.Leaving[pimentoregister.VMName("t")] {
		t.Fatalf("list %+v, %v", list, err)
	}
	p.SetDown(true)
	if _, _, err := c.Value("config", 0); err == nil {
		t.Fatal("a service that is down gives a value")
	}
	if c.Calls() != p.Calls() {
		t.Fatalf("%d calls counted, the service has %d", c.Calls(), p.Calls())
	}
}

// A change to one part of a document reads the manifest and that part only.
func TestPartsAreReadOnce(t *testing.T) {
	p, c := serve(t)
	w := &Watcher{Client: c, Name: "config"}
	w.OnValue = func(_ pimentoregister.Revision, data []byte) error {
		_, err := pimentoregister.Assemble(data)
		return err
	}
	read := w.value()
	texts := []string{
		`{"regions":[{"name":"r","domains":["d"]}],"rules":{"links":{"capacity":1}}}`,
		`{"services":[{"name":"s","class":"read","slots":1,"connections":1,"cold":1,"timeout":1}]}`,
		`{"vms":[{"name":"v","service":"s","domain":"d","address":"10.0.0.1:1"}]}`,
	}
	for _, want := range []uint64{4, 2} {
		var parts []pimentoregister.Part
		for i, text := range texts {
			name := fmt.Sprintf("part-%d", i)
			p.Set(name, []byte(text))
			sum := sha256.Sum256([]byte(text))
			parts = append(parts, pimentoregister.Part{Name: name, Sum: hex.EncodeToString(sum[:])})
		}
		manifest, err := json.Marshal(map[string]any{"parts": parts})
		if err != nil {
			t.Fatal(err)
		}
		p.Set("config", manifest)
		before := p.Calls()
		if err := read(); err != nil {
			t.Fatal(err)
		}
		if got := p.Calls() - before; got != want {
			t.Errorf("%d reads, want %d", got, want)
		}
		texts[2] = strings.Replace(texts[2], "10.0.0.1", "10.0.0.2", 1)
	}
}
