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

// simulateReads simulates the reads of a number of entries, with two resources each
// that change five seconds apart, and returns their times in order. read returns
// whether a read at a time fails, and how long it waits.
func simulateReads(entries int, until time.Duration, read func(at time.Duration) (failed bool, took time.Duration)) []time.Duration {
	rng := rand.New(rand.NewPCG(1, 1))
	var reads []time.Duration
	for i := range 2 * entries {
		var p pacer
		shift := time.Duration(i%2) * 5 * time.Second
		at := time.Duration(rng.Float64() * float64(defaultStartSpread))
		for at < until {
			reads = append(reads, at)
			failed, took := read(at + shift)
			at += took + p.nextPause(failed, rng.Float64())
		}
	}
	slices.Sort(reads)
	return reads
}

// maxReadRate returns the highest number of reads within a second.
func maxReadRate(reads []time.Duration) int {
	peak := 0
	for i := range reads {
		j, _ := slices.BinarySearch(reads, reads[i]+time.Second)
		peak = max(peak, j-i)
	}
	return peak
}

// All entries together stay within 200 reads/s, a tenth of the service's 2,000 reads/s,
// when they start at once, when the service fails, and when a change completes all
// waiting reads.
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
			peak := maxReadRate(simulateReads(entries, 3*time.Minute, read))
			t.Logf("%s, %d entries: at most %d reads/s", name, entries, peak)
			if peak > 200 {
				t.Errorf("%s, %d entries: %d reads/s, the limit is 200", name, entries, peak)
			}
		}
	}
}

// startPlatform starts a fake platform, and returns a client of it.
func startPlatform(t *testing.T) (*pimentofake.Platform, *Client) {
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

// The client reads values and lists of VMs, waits for newer values, counts its reads,
// and returns an error while the service is down.
func TestClient(t *testing.T) {
	p, c := startPlatform(t)
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

// After a change to one part of a document, only the manifest and that part are read.
func TestReadsOnlyChangedParts(t *testing.T) {
	p, c := startPlatform(t)
	w := &Watcher{Client: c, Name: "config"}
	w.OnValue = func(_ pimentoregister.Revision, data []byte) error {
		_, err := pimentoregister.Assemble(data)
		return err
	}
	read := w.valueReader()
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
