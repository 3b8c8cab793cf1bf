package pimentogate

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// badRequest is the error of a request that can't be read, with the reason to refuse
// it for.
type badRequest struct {
	reason reason
	err    error
}

// Error implements error.
func (b *badRequest) Error() string { return fmt.Sprintf("pimentogate: request: %v", b.err) }

// Unwrap returns the cause.
func (b *badRequest) Unwrap() error { return b.err }

// exceedsLimit reports whether the request was refused for its size.
func (b *badRequest) exceedsLimit() bool { return b.reason == reasonHead || b.reason == reasonLarge }

// readError converts an error of reading a request to a badRequest, given the error of the last
// read of the link. Errors due to a link that ended stay as they are. Bytes that are missing
// don't make a request wrong, whatever the parser says of the part that has arrived.
func readError(err, link error) error {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(link, &ne) && ne.Timeout():
		return &badRequest{reason: reasonSlow, err: err}
	case link != nil:
		return link
	case errors.As(err, &ne): // Of writing to the link.
		return err
	case errors.As(err, &small):
		return &badRequest{reason: reasonHead, err: err}
	}
	return &badRequest{reason: reasonInvalid, err: err}
}

// hiddenError is an error about the head of a request whose text may quote the head, and with
// it a key.
type hiddenError struct{ err error }

// Error implements error. It has the text of the cause up to the first quotation.
func (h *hiddenError) Error() string {
	cause, _, _ := strings.Cut(h.err.Error(), `"`)
	cause, _, _ = strings.Cut(cause, ": buffer size")
	return "the head can't be read: " + cause
}

// Unwrap returns the cause.
func (h *hiddenError) Unwrap() error { return h.err }

// checkHead refuses request heads above the limit, and ambiguous ones, which would
// allow request smuggling.
func checkHead(h *fasthttp.RequestHeader, limits pimentoroute.Limits) error {
	raw := h.RawHeaders()
	if len(raw) > limits.HeaderBytes {
		return &badRequest{reason: reasonHead, err: fmt.Errorf("head of %d bytes, the limit is %d", len(raw), limits.HeaderBytes)}
	}
	lengths, codings, hosts := 0, 0, 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r") || bytes.ContainsAny(value, "\r\x00") {
			return invalid("malformed header line of %d bytes", len(line)) // It may hold a key.
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return invalid("unsupported transfer coding %q", value)
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	switch {
	case lengths+codings > 1:
		return invalid("%d Content-Length and %d Transfer-Encoding headers, at most one is allowed", lengths, codings)
	case hosts != 1:
		return invalid("%d Host headers, want 1", hosts)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return &badRequest{reason: reasonInvalid, err: fmt.Errorf(format, args...)}
}
