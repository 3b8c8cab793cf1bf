package pimentolink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/easyproto"
	"github.com/hashicorp/yamux"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentowire"
)

// Purpose says why a request is forwarded. It bounds further forwarding.
type Purpose uint32

const (
	// PurposeHomeRegion requests go to an entry of a home region.
	PurposeHomeRegion Purpose = iota + 1
	// PurposeKeyHolder requests go to the holder of their key.
	PurposeKeyHolder
	// PurposeColdTarget requests go to the owner of a cold target.
	PurposeColdTarget
	// PurposeRelay requests are non-idempotent ones that the holder of their
	// key dispatches through the owner of a cold target. The owner sends each
	// of them once at the most.
	PurposeRelay
)

// OutgoingRequest is a request to forward. Its exported fields are set before Do.
type OutgoingRequest struct {
	Purpose Purpose
	// Timeout is the time left.
	Timeout time.Duration
	// Req has the head, and the body unless Body is set.
	Req *fasthttp.Request
	// Body is read for the body if it isn't nil.
	Body io.Reader
	// Resp takes the answer. A large body is left as a stream.
	Resp *fasthttp.Response

	mu     sync.Mutex
	stream *yamux.Stream
	gone   bool
}

// maxBuffered is the body length in bytes up to which answers are read whole.
const maxBuffered = 64 << 10

// Forward forwards the request to a peer and reads the head of the answer.
func (n *Node) Forward(address string, o *OutgoingRequest) error {
	stream, err := n.open(address, streamForward)
	if err != nil {
		return err
	}
	if !o.attach(stream) {
		_ = stream.Close()
		return &Error{Op: "forward", Kind: KindUnreachable, Peer: address, Err: errors.New("cancelled")}
	}
	if err := o.exchange(stream); err != nil {
		_ = stream.Close()
		return &Error{Op: "forward", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	return nil
}

// Cancel ends the exchange, because its answer is no longer wanted.
func (o *OutgoingRequest) Cancel() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = true
	if o.stream != nil {
		_ = o.stream.Close()
		_ = o.stream.SetDeadline(time.Unix(1, 0))
	}
}

func (o *OutgoingRequest) attach(stream *yamux.Stream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stream = stream
	return !o.gone
}

// answerGrace is the time beyond the request's own that a peer has to answer.
const answerGrace = 500 * time.Millisecond

func (o *OutgoingRequest) exchange(stream *yamux.Stream) error {
	_ = stream.SetDeadline(time.Now().Add(o.Timeout + answerGrace))
	if err := writeMessage(stream, marshalRequest(o)); err != nil {
		return err
	}
	body := o.Body
	if body == nil {
		body = bytes.NewReader(o.Req.Body())
	}
	if err := copyChunks(stream, body); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	msg, err := readMessage(r)
	if err != nil {
		return noEOF(err)
	}
	return o.readAnswer(stream, r, msg)
}

func (o *OutgoingRequest) readAnswer(stream *yamux.Stream, r *bufio.Reader, msg []byte) error {
	size, err := unmarshalResponse(msg, o.Resp)
	if err != nil {
		return err
	}
	body := &answerBody{stream: stream, chunks: chunkReader{r: r}}
	if size < 0 || size > maxBuffered {
		o.Resp.SetBodyStream(body, size)
		return nil
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if len(data) != size && !o.Resp.SkipBody {
		return io.ErrUnexpectedEOF
	}
	o.Resp.SwapBody(data)
	return body.Close()
}

// idleTimeout is the time without a byte after which a streamed body is broken.
const idleTimeout = 30 * time.Second

// answerBody is the body of an answer while it streams.
type answerBody struct {
	stream *yamux.Stream
	chunks chunkReader
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	_ = b.stream.SetReadDeadline(time.Now().Add(idleTimeout))
	return b.chunks.Read(p)
}

// Close implements io.Closer.
func (b *answerBody) Close() error { return b.stream.Close() }

// IncomingRequest is a forwarded request.
type IncomingRequest struct {
	Purpose Purpose
	// Deadline is when the answer is no longer wanted.
	Deadline time.Time
	// Req has the head. The body is read from Body.
	Req *fasthttp.Request
	// Body is the body of the request.
	Body io.Reader
	// Cancelled is closed when the peer no longer wants the answer. It is watched
	// once the body has been read.
	Cancelled <-chan struct{}
	// Respond is called once.
	Respond func(*fasthttp.Response) error
}

func (n *Node) serveForward(stream *yamux.Stream, r *bufio.Reader) error {
	msg, err := readMessage(r)
	if err != nil {
		return err
	}
	in := &IncomingRequest{Req: fasthttp.AcquireRequest()}
	defer fasthttp.ReleaseRequest(in.Req)
	if err := unmarshalRequest(msg, in); err != nil {
		return err
	}
	_ = stream.SetReadDeadline(in.Deadline)
	gone := make(chan struct{})
	in.Cancelled = gone
	in.Body = &watchedBody{chunks: chunkReader{r: r}, watch: sync.OnceFunc(func() {
		go watchClose(stream, r, gone)
	})}
	in.Respond = func(resp *fasthttp.Response) error { return sendAnswer(stream, resp) }
	n.OnForward(in)
	return nil
}

// watchedBody calls watch at its end.
type watchedBody struct {
	chunks chunkReader
	watch  func()
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.watch()
	}
	return n, err
}

// watchClose waits until the peer closes its end.
func watchClose(stream *yamux.Stream, r *bufio.Reader, gone chan<- struct{}) {
	_ = stream.SetReadDeadline(time.Time{})
	_, _ = r.ReadByte()
	close(gone)
}

// stallTimeout is the time after which a peer that reads nothing is given up.
const stallTimeout = 30 * time.Second

func sendAnswer(stream *yamux.Stream, resp *fasthttp.Response) error {
	w := &stallWriter{stream: stream}
	if err := writeMessage(w, marshalResponse(resp)); err != nil {
		return err
	}
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	err := copyChunks(w, body)
	if cerr := resp.CloseBodyStream(); err == nil {
		err = cerr
	}
	return err
}

// stallWriter gives each write its own deadline.
type stallWriter struct {
	stream *yamux.Stream
}

// Write implements io.Writer.
func (w *stallWriter) Write(p []byte) (int, error) {
	_ = w.stream.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.stream.Write(p)
}

// message Request {
//   uint32 purpose = 1; uint64 millis = 2; bytes head = 3;
// }
// message Response { sint64 size = 1; bytes head = 2; }

func marshalRequest(o *OutgoingRequest) []byte {
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendUint32(1, uint32(o.Purpose))
	mm.AppendUint64(2, uint64(max(o.Timeout.Milliseconds(), 0)))
	mm.AppendBytes(3, o.Req.Header.Header())
	return m.Marshal(nil)
}

func unmarshalRequest(src []byte, in *IncomingRequest) error {
	var millis uint64
	var head []byte
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		var ok bool
		switch fc.FieldNum {
		case 1:
			var v uint32
			v, ok = fc.Uint32()
			in.Purpose = Purpose(v)
		case 2:
			millis, ok = fc.Uint64()
		case 3:
			head, ok = fc.Bytes()
		default:
			ok = true
		}
		return ok
	})
	if err != nil {
		return err
	}
	in.Deadline = time.Now().Add(time.Duration(min(millis, maxMillis)) * time.Millisecond)
	return in.Req.Header.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)+1))
}

// maxMillis bounds the time in milliseconds that a peer may name.
const maxMillis = 24 * 3600 * 1000

func marshalResponse(resp *fasthttp.Response) []byte {
	size := resp.Header.ContentLength()
	if resp.BodyStream() == nil {
		size = len(resp.Body())
		if !resp.SkipBody {
			resp.Header.SetContentLength(size)
		}
	}
	m := marshalers.Get()
	defer marshalers.Put(m)
	mm := m.MessageMarshaler()
	mm.AppendSint64(1, int64(size))
	mm.AppendBytes(2, resp.Header.Header())
	return m.Marshal(nil)
}

// unmarshalResponse sets the head of resp and returns the length of the body,
// or -1 if the peer didn't know it.
func unmarshalResponse(src []byte, resp *fasthttp.Response) (int, error) {
	var size int64
	var head []byte
	err := pimentowire.EachField(src, func(fc *easyproto.FieldContext) bool {
		var ok bool
		switch fc.FieldNum {
		case 1:
			size, ok = fc.Sint64()
		case 2:
			head, ok = fc.Bytes()
		default:
			ok = true
		}
		return ok
	})
	if err != nil {
		return 0, err
	}
	return int(max(size, -1)), resp.Header.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)+1))
}
