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
	Name: "entry-1", Incarnation: 7, Revision: 3, Leaving: true, WantFullState: true,
	HeldIssuers: []pimentokey.Incarnation{8, 9},
	Changes: []pimentopeer.Change{
		{Service: "charts", Target: "charts-1", Phase: pimentotarget.VersionedPhase{Epoch: 2, Value: pimentotarget.PhaseWarm}},
		{Fingerprint: 5, Crash: pimentoretry.Crash{Target: "charts-2", Count: 1}, Regions: []pimentoregister.RegionName{"west"}},
	},
}

// FuzzHeartbeat checks that any bytes are refused or stand for one heartbeat.
func FuzzHeartbeat(f *testing.F) {
	f.Add(marshalHeartbeat(&sampleHeartbeat))
	f.Fuzz(func(t *testing.T, data []byte) {
		hb, err := unmarshalHeartbeat(data)
		if err != nil {
			return
		}
		again, err := unmarshalHeartbeat(marshalHeartbeat(&hb))
		if err != nil || len(again.Changes) != len(hb.Changes) || again.Incarnation != hb.Incarnation {
			t.Fatalf("%+v becomes %+v, %v", hb, again, err)
		}
	})
}

func TestHeartbeatRoundTrip(t *testing.T) {
	got, err := unmarshalHeartbeat(marshalHeartbeat(&sampleHeartbeat))
	if err != nil || !reflect.DeepEqual(got, sampleHeartbeat) {
		t.Fatalf("got %+v, %v", got, err)
	}
}

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

// FuzzHandover checks that any bytes are refused or adopted without a panic,
// and that a hand-over survives its encoding.
func FuzzHandover(f *testing.F) {
	f.Add(marshalHandover(3, 4, sampleRanges()))
	f.Fuzz(func(t *testing.T, data []byte) {
		from, to, ranges, err := unmarshalHandover(data)
		if err != nil {
			return
		}
		f2, t2, again, err := unmarshalHandover(marshalHandover(from, to, ranges))
		if err != nil || f2 != from || t2 != to || len(again) != len(ranges) {
			t.Fatalf("%v %v %v becomes %v %v %v, %v", from, to, ranges, f2, t2, again, err)
		}
		l := pimentokey.NewLedger(1, pimentokey.Secret{})
		for _, r := range ranges {
			_ = l.Adopt(r)
		}
	})
}

// FuzzRequest checks that any bytes are refused or give a request.
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

// FuzzChunks checks that a body is whole only if its explicit end came.
func FuzzChunks(f *testing.F) {
	var whole bytes.Buffer
	_ = copyChunks(&whole, bytes.NewReader([]byte("some body")))
	f.Add(whole.Bytes())
	f.Add(whole.Bytes()[:8])
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &chunkReader{r: bufio.NewReader(bytes.NewReader(data))}
		body, err := io.ReadAll(c)
		if err != nil {
			return
		}
		if !c.done {
			t.Fatal("a body without an end counts as whole")
		}
		var again bytes.Buffer
		if err := copyChunks(&again, bytes.NewReader(body)); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCutChunksAreAnError(t *testing.T) {
	var whole bytes.Buffer
	body := bytes.Repeat([]byte("x"), 3*maxChunk)
	if err := copyChunks(&whole, bytes.NewReader(body)); err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < whole.Len(); cut += 1009 {
		_, err := io.ReadAll(&chunkReader{r: bytes.NewReader(whole.Bytes()[:cut])})
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: error %v", cut, err)
		}
	}
}
