package pimentolink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
	"pimentoarch/pimentoretry"
	"pimentoarch/pimentotarget"
)

var sampleHeartbeat = pimentopeer.Heartbeat{
	Name: "entry-1", Incarnation: 7, Revision: 3, Stopping: true, WantFullState: true,
	HeldIssuers: []pimentokey.Incarnation{8, 9},
	Changes: []pimentopeer.Change{
		{Service: "charts", Target: "charts-1", Phase: pimentotarget.VersionedPhase{Epoch: 2, Value: pimentotarget.PhaseWarm}},
		{Fingerprint: 5, Crash: pimentoretry.Crash{Target: "charts-2", Count: 1}, Regions: []pimentoregister.RegionName{"west"}},
	},
}

// FuzzHeartbeat checks that any input is refused or decodes to a heartbeat that
// survives encoding.
func FuzzHeartbeat(f *testing.F) {
	f.Add(marshalHeartbeat(&sampleHeartbeat))
	f.Fuzz(func(t *testing.T, data []byte) {
		hb, err := unmarshalHeartbeat(data)
		if err != nil {
			return
		}
		decoded, err := unmarshalHeartbeat(marshalHeartbeat(&hb))
		if err != nil || len(decoded.Changes) != len(hb.Changes) || decoded.Incarnation != hb.Incarnation {
			t.Fatalf("%+v becomes %+v, %v", hb, decoded, err)
		}
	})
}

// TestHeartbeatRoundTrip checks that a heartbeat with every field set survives encoding
// and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	got, err := unmarshalHeartbeat(marshalHeartbeat(&sampleHeartbeat))
	if err != nil || !reflect.DeepEqual(got, sampleHeartbeat) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

// sampleRanges returns one key range. The records of its executed keys were evicted
// by the memory limit; the dispatches of its other keys still run.
func sampleRanges() []pimentokey.Range {
	l := pimentokey.NewLedger(4, pimentokey.Secret{1, 2})
	l.MaxBytes = 400
	scope := pimentokey.Scope{Service: "s", Organisation: "o"}
	for n := range 6 {
		k, _ := l.Issue(scope)
		l.Begin(k, scope, pimentokey.Fingerprint(n))
		if n%2 == 0 {
			l.Resolve(k, pimentokey.OutcomeExecuted, &pimentokey.Response{Status: 200, Header: []byte("h"), Body: []byte("b")})
		}
	}
	l.Stop()
	return l.Export(1 << 20)
}

// FuzzHandover checks that any input is refused or adopted without a panic, and that
// a decoded handover survives encoding.
func FuzzHandover(f *testing.F) {
	f.Add(marshalHandover(3, 4, sampleRanges()))
	f.Fuzz(func(t *testing.T, data []byte) {
		from, to, ranges, err := unmarshalHandover(data)
		if err != nil {
			return
		}
		from2, to2, ranges2, err := unmarshalHandover(marshalHandover(from, to, ranges))
		if err != nil || from2 != from || to2 != to || len(ranges2) != len(ranges) {
			t.Fatalf("%v %v %v becomes %v %v %v, %v", from, to, ranges, from2, to2, ranges2, err)
		}
		l := pimentokey.NewLedger(1, pimentokey.Secret{})
		for _, r := range ranges {
			_ = l.Adopt(r)
		}
	})
}

// FuzzRequest checks that any input is refused or decodes to a request, without a
// panic.
func FuzzRequest(f *testing.F) {
	req := &fasthttp.Request{}
	req.SetRequestURI("/charts/x")
	req.Header.SetHost("h")
	f.Add(marshalRequest(&OutgoingRequest{Purpose: PurposeKeyHolder, Req: req}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		in := &IncomingRequest{Req: &fasthttp.Request{}}
		_ = unmarshalRequest(data, in)
	})
}

// FuzzChunks checks that a body is read without an error only if its explicit end
// has been read.
func FuzzChunks(f *testing.F) {
	var whole bytes.Buffer
	_ = writeChunks(&whole, bytes.NewReader([]byte("some body")))
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:8])
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &chunkReader{r: bufio.NewReader(bytes.NewReader(data))}
		body, err := io.ReadAll(c)
		if err != nil {
			return
		}
		if !c.done {
			t.Fatal("a body without its explicit end was read without an error")
		}
		var encoded bytes.Buffer
		if err := writeChunks(&encoded, bytes.NewReader(body)); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCutChunksAreAnError checks that reading a body that is cut at any point fails with
// io.ErrUnexpectedEOF.
func TestCutChunksAreAnError(t *testing.T) {
	var whole bytes.Buffer
	body := bytes.Repeat([]byte("x"), 3*maxChunkBytes)
	if err := writeChunks(&whole, bytes.NewReader(body)); err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < whole.Len(); cut += 1009 {
		_, err := io.ReadAll(&chunkReader{r: bytes.NewReader(whole.Bytes()[:cut])})
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: error %v", cut, err)
		}
	}
}
