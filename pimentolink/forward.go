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

	"pimentoarch/pimentohttp"
	"pimentoarch/pimentomemory"
	"pimentoarch/pimentowire"
)

// Purpose is the reason why a request is forwarded. It limits further forwarding.
type Purpose uint32

const (
	// PurposeHomeRegion marks a request to an entry of a home region.
	PurposeHomeRegion Purpose = iota + 1
	// PurposeKeyHolder marks a request to the holder of its key.
	PurposeKeyHolder
	// PurposeColdTarget marks a request to the owner of a cold target.
	PurposeColdTarget
	// PurposeRelay marks a non-idempotent request that the holder of its key
	// dispatches through the owner of a cold target. The owner sends it to the
	// target at most once.
	PurposeRelay
)

// OutgoingRequest is a request to forward. Its exported fields are set before
// Node.Forward.
type OutgoingRequest struct {
	Purpose Purpose
	// Timeout is the remaining time of the request.
	Timeout time.Duration
	// Req holds the head, and the body unless Body is set.
	Req *fasthttp.Request
	// Body is the source of the body if it isn't nil.
	Body io.Reader
	// Resp receives the response. A body above maxBufferedBody or of unknown length
	// is left as a stream.
	Resp *fasthttp.Response

	mu        sync.Mutex
	stream    *yamux.Stream
	cancelled bool
}

// maxBufferedBody is the length in bytes up to which response bodies are read whole.
const maxBufferedBody = 64 << 10

// Forward sends the request to a peer and reads the head of the response, and the
// body unless it is left as a stream. An error of KindUnreachable means that no part
// of the request was sent.
func (n *Node) Forward(address string, o *OutgoingRequest) error {
	stream, err := n.open(address, streamForward)
	if err != nil {
		return err
	}
	if !o.setStream(stream) {
		_ = stream.Close()
		return &Error{Op: "forward", Kind: KindUnreachable, Peer: address, Err: errors.New("request was cancelled before it was sent")}
	}
	if err := o.exchange(stream, n.Memory); err != nil {
		_ = stream.Close()
		return &Error{Op: "forward", Kind: KindConnectionLost, Peer: address, Err: err}
	}
	return nil
}

// Cancel ends the exchange. The response is no longer needed.
func (o *OutgoingRequest) Cancel() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelled = true
	if o.stream != nil {
		_ = o.stream.Close()
		_ = o.stream.SetDeadline(time.Unix(1, 0))
	}
}

// setStream sets the stream that Cancel closes. It reports false if the request was
// cancelled before.
func (o *OutgoingRequest) setStream(stream *yamux.Stream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stream = stream
	return !o.cancelled
}

// responseGrace is the time beyond the request's timeout that a peer has to respond.
const responseGrace = 500 * time.Millisecond

func (o *OutgoingRequest) exchange(stream *yamux.Stream, budget *pimentomemory.Budget) error {
	_ = stream.SetDeadline(time.Now().Add(o.Timeout + responseGrace))
	if err := writeMessage(stream, marshalRequest(o)); err != nil {
		return err
	}
	body := o.Body
	if body == nil {
		body = bytes.NewReader(o.Req.Body())
	}
	if err := writeChunks(stream, body); err != nil {
		return err
	}
	r := bufio.NewReader(stream)
	memory, release := budget.NewGrant()
	defer release()
	msg, err := readMessage(r, memory)
	if err != nil {
		return unexpectedEOF(err)
	}
	return o.readResponse(stream, r, msg)
}

func (o *OutgoingRequest) readResponse(stream *yamux.Stream, r *bufio.Reader, msg []byte) error {
	size, err := unmarshalResponse(msg, o.Resp)
	if err != nil {
		return err
	}
	body := &responseBody{stream: stream, chunks: chunkReader{r: r}}
	if size < 0 || size > maxBufferedBody {
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

// bodyIdleTimeout is the time without data after which reading the body of a response
// fails.
const bodyIdleTimeout = 30 * time.Second

// responseBody reads the body of a response from its stream.
type responseBody struct {
	stream *yamux.Stream
	chunks chunkReader
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	_ = b.stream.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	return b.chunks.Read(p)
}

// Close implements io.Closer.
func (b *responseBody) Close() error { return b.stream.Close() }

// IncomingRequest is a forwarded request that a peer sent.
type IncomingRequest struct {
	Purpose Purpose
	// Deadline is the time from which the response is no longer needed.
	Deadline time.Time
	// Req holds the head only.
	Req *fasthttp.Request
	// Body is the body of the request.
	Body io.Reader
	// Cancelled is closed when the peer cancels the request or its connection fails,
	// but only after the body has been read to its end.
	Cancelled <-chan struct{}
	// Respond sends the response. It is called once.
	Respond func(*fasthttp.Response) error
}

func (n *Node) serveForward(stream *yamux.Stream, r *bufio.Reader) error {
	memory, release := n.Memory.NewGrant()
	defer release()
	msg, err := readMessage(r, memory)
	if err != nil {
		return err
	}
	in := &IncomingRequest{Req: fasthttp.AcquireRequest()}
	defer fasthttp.ReleaseRequest(in.Req)
	if err := unmarshalRequest(msg, in); err != nil {
		return err
	}
	_ = stream.SetReadDeadline(in.Deadline)
	cancelled := make(chan struct{})
	in.Cancelled = cancelled
	in.Body = &eofNotifier{chunks: chunkReader{r: r}, onEOF: sync.OnceFunc(func() {
		go awaitPeerClose(stream, r, cancelled)
	})}
	in.Respond = func(resp *fasthttp.Response) error { return writeResponse(stream, resp) }
	n.OnForward(in)
	return nil
}

// eofNotifier reads a request body and calls onEOF at its end.
type eofNotifier struct {
	chunks chunkReader
	onEOF  func()
}

// Read implements io.Reader.
func (b *eofNotifier) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEOF()
	}
	return n, err
}

// awaitPeerClose waits until the peer closes its end of the stream or the connection
// fails, and then closes the channel.
func awaitPeerClose(stream *yamux.Stream, r *bufio.Reader, closed chan<- struct{}) {
	_ = stream.SetReadDeadline(time.Time{})
	_, _ = r.ReadByte()
	close(closed)
}

// responseWriteTimeout is the time after which writing to a peer that reads nothing
// fails.
const responseWriteTimeout = 30 * time.Second

func writeResponse(stream *yamux.Stream, resp *fasthttp.Response) error {
	w := &deadlineWriter{stream: stream}
	if err := writeMessage(w, marshalResponse(resp)); err != nil {
		return err
	}
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	err := writeChunks(w, body)
	if cerr := resp.CloseBodyStream(); err == nil {
		err = cerr
	}
	return err
}

// deadlineWriter sets a new deadline before each write, responseWriteTimeout ahead.
type deadlineWriter struct {
	stream *yamux.Stream
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.stream.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	return w.stream.Write(p)
}

// message Request {
//   uint32 purpose = 1; uint64 timeout_millis = 2; bytes head = 3;
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
	in.Deadline = time.Now().Add(time.Duration(min(millis, maxTimeoutMillis)) * time.Millisecond)
	return in.Req.Header.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)+1))
}

// maxTimeoutMillis is the maximum timeout in milliseconds that is accepted from a
// peer.
const maxTimeoutMillis = 24 * 3600 * 1000

// marshalResponse encodes the head of a response and the length of its body,
// negative if unknown. It sets the Content-Length of a buffered body unless SkipBody
// is set.
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

// unmarshalResponse sets the head of resp and returns the length of the body, or -1
// if it is unknown.
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
	return int(max(size, -1)), pimentohttp.ReadHead(&resp.Header, head)
}
