package pimentoregister

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCheckGolden compares the errors for each document under testdata with its golden
// file.
func TestCheckGolden(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("testdata/*.json")
	is.NoErr(err)
	is.True(len(files) > 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		_, err = Parse(data)
		got := "no errors\n"
		var regErr *Error
		if errors.As(err, &regErr) {
			got = ""
			for _, v := range regErr.Violations {
				got += v.String() + "\n"
			}
			if got == "" {
				got = regErr.Error() + "\n"
			}
		}
		golden := strings.TrimSuffix(file, ".json") + ".golden"
		if *update {
			is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
		}
		want, err := os.ReadFile(golden)
		is.NoErr(err)
		if got != string(want) {
			t.Errorf("%s:\n%swant:\n%s", file, got, want)
		}
	}
}

// TestSizeLimit checks that a value of more than MaxBytes is refused.
func TestSizeLimit(t *testing.T) {
	_, err := Decode(bytes.Repeat([]byte(" "), MaxBytes+1))
	var regErr *Error
	if !errors.As(err, &regErr) || regErr.Kind != KindSize {
		t.Fatalf("error %v", err)
	}
}

// sampleDocument returns a document with n VMs, 13 in each service.
func sampleDocument(n int) *Document {
	d := &Document{
		Regions:       []Region{{Name: "r", Domains: []DomainName{"a", "b"}}},
		Organisations: []Organisation{{Name: "o"}},
		Rules:         Rules{Links: Links{CapacityMbps: 1}},
	}
	for i := range n {
		service := ServiceName(fmt.Sprintf("service-%03d", i/13))
		if i%13 == 0 {
			d.Services = append(d.Services, Service{Name: service, Class: ClassRead, Slots: 3, MaxConnections: 260, ColdLimit: 1, Timeout: 1000})
		}
		d.VMs = append(d.VMs, VM{
			Name: VMName(fmt.Sprintf("vm-%05d", i)), Service: service, Domain: "a",
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16&255, i>>8&255, i&255),
		})
	}
	return d
}

func encode(t testing.TB, d *Document) []byte {
	data, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRevisionsNeverRevert checks that the active revision is the highest valid one that
// was offered, in whatever order and however often documents are offered, and that an
// invalid document doesn't change it.
func TestRevisionsNeverRevert(t *testing.T) {
	valid, invalid := encode(t, sampleDocument(2)), []byte(`{"regions":[]}`)
	rapid.Check(t, func(t *rapid.T) {
		var s Store
		isInvalid := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, "invalid")
		var highest Revision
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				rev := Revision(rapid.IntRange(0, 11).Draw(t, "revision"))
				data := valid
				if isInvalid[rev] {
					data = invalid
				}
				changed, err := s.Offer(rev, data)
				if want := !isInvalid[rev] && rev > highest; changed != want || (err == nil) != want {
					t.Fatalf("revision %d over %d: changed %t, %v", rev, highest, changed, err)
				}
				if changed {
					highest = rev
				}
			},
			"": func(t *rapid.T) {
				if got := s.View().Revision; got != highest {
					t.Fatalf("active revision %d, want %d", got, highest)
				}
				if r := s.Refused(); r.Err != nil && r.Revision <= highest {
					t.Fatalf("revision %d is reported as refused, below the active revision %d", r.Revision, highest)
				}
			},
		})
	})
}

// TestViewReuse checks that a change to one VM keeps the views of other services.
func TestViewReuse(t *testing.T) {
	is := is.New(t)
	d := sampleDocument(39)
	before := NewView(d, 1, nil)
	d.VMs[0].Address = "10.9.9.9:1"
	after := NewView(d, 2, before)
	is.True(before.Service("service-000") != after.Service("service-000"))
	is.Equal(before.Service("service-001"), after.Service("service-001"))
	is.True(before.Service("service-001") == after.Service("service-001"))
}

// splitDocument splits a document into n parts and returns their manifest and values.
func splitDocument(t testing.TB, d *Document, n int) ([]Part, [][]byte) {
	var parts []Part
	var values [][]byte
	for i := range n {
		part := &Document{VMs: d.VMs[len(d.VMs)*i/n : len(d.VMs)*(i+1)/n]}
		if i == 0 {
			part.Regions, part.Services, part.Organisations, part.Rules = d.Regions, d.Services, d.Organisations, d.Rules
		}
		data := encode(t, part)
		sum := sha256.Sum256(data)
		parts = append(parts, Part{Name: fmt.Sprintf("part-%d", i), Sum: hex.EncodeToString(sum[:])})
		values = append(values, data)
	}
	return parts, values
}

// TestParts checks that joined parts give the whole document, that a part with another
// checksum is refused, and that truncated parts are refused at any length.
func TestParts(t *testing.T) {
	is := is.New(t)
	d := sampleDocument(100)
	parts, values := splitDocument(t, d, 3)
	data, err := Join(parts, values)
	is.NoErr(err)
	whole, err := Assemble(data)
	is.NoErr(err)
	is.Equal(len(whole.VMs), 100)
	manifestData, err := json.Marshal(manifest{Parts: parts})
	is.NoErr(err)
	is.Equal(ParseManifest(manifestData), parts)
	values[1] = values[2]
	_, err = Join(parts, values)
	is.True(err != nil)
	for size := range data {
		if _, err := Assemble(data[:size]); err == nil {
			t.Fatalf("parts truncated to %d of %d bytes are accepted", size, len(data))
		}
	}
}

// FuzzParse checks that any value is either refused or activated without a panic.
func FuzzParse(f *testing.F) {
	f.Add(encode(f, sampleDocument(3)))
	f.Add([]byte(`{"regions":[{}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s Store
		_, _ = s.Offer(1, data)
		ParseManifest(data)
	})
}

// BenchmarkOffer measures activating a document that differs from the active one in one
// VM, by the document's size.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{70, 700, 2800, 7000, 28_000} {
		docs := make([][]byte, 2)
		for i := range docs {
			d := sampleDocument(n)
			d.VMs[0].Address = fmt.Sprintf("10.99.9.9:%d", i+1)
			parts, values := splitDocument(b, d, 1+n/5000)
			data, err := Join(parts, values)
			if err != nil {
				b.Fatal(err)
			}
			docs[i] = data
		}
		b.Run(fmt.Sprintf("kb=%d", len(docs[0])>>10), func(b *testing.B) {
			var s Store
			rev := Revision(0)
			before := heapAlloc()
			for b.Loop() {
				rev++
				if _, err := s.Offer(rev, docs[rev%2]); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapAlloc()-before), "heap-bytes")
			runtime.KeepAlive(&s)
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
