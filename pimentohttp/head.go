package pimentohttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	errNotHTTP  = errors.New("the response isn't valid HTTP/1")
	errLongHead = errors.New("the head or the trailer of the response is too long")
)

// statusLineBytes is the length of the part of a status line up to the byte after the status.
const statusLineBytes = len("HTTP/1.1 200 ")

// headCheck checks the head or the trailer of a response while it arrives. The head's parser, that of
// fasthttp, is more lenient: it joins lines that begin with a blank to the line before, ends a
// head at a line feed without a carriage return, accepts blanks in names, and reads a status of 0
// as 200. Such a response could be forwarded with another meaning than its target's, or with
// another body.
type headCheck struct {
	inTrailer bool // A trailer has no status line, and says nothing about the body.
	next      int  // Where the first unchecked line begins.
	http11    bool
	status    int
	// lengths and codings are the numbers of Content-Length and Transfer-Encoding headers.
	lengths, codings int
	length           uint64
}

// check checks the lines of buf that it hasn't checked before, and reports whether the head is
// complete. buf holds the bytes of the head that have arrived so far, and may hold more than the
// head.
func (h *headCheck) check(buf []byte) (complete bool, err error) {
	if h.next == 0 && !h.inTrailer && len(buf) >= statusLineBytes {
		if err := checkStatusStart(buf); err != nil { // The line may never end.
			return false, err
		}
	}
	for {
		n := bytes.IndexByte(buf[h.next:], '\n')
		if n < 0 {
			return false, nil
		}
		line, err := trimLine(buf[h.next : h.next+n+1])
		if err != nil {
			return false, err
		}
		isStatus := h.next == 0 && !h.inTrailer
		h.next += n + 1
		switch {
		case isStatus:
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return true, h.checkFraming()
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// trimLine returns a line without the carriage return and the line feed at its end.
func trimLine(line []byte) ([]byte, error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		return nil, fmt.Errorf("%w: a carriage return or line feed alone in line %.40q", errNotHTTP, line)
	}
	return text, nil
}

// checkStatusStart checks the first statusLineBytes of a response: the protocol, and a status of
// three digits from 100 to 599.
func checkStatusStart(start []byte) error {
	const protocol = "HTTP/1."
	minor, status, end := start[len(protocol)], start[9:12], start[12]
	switch {
	case !bytes.HasPrefix(start, []byte(protocol)), minor < '0' || minor > '9', start[8] != ' ',
		status[0] < '1' || status[0] > '5', status[1] < '0' || status[1] > '9', status[2] < '0' || status[2] > '9',
		end != ' ' && end != '\r':
		return fmt.Errorf("%w: it begins with %q", errNotHTTP, start[:statusLineBytes])
	}
	return nil
}

// checkStatusLine checks the rest of a status line that checkStatusStart has checked, and sets what
// it states. The line may have no text after the status.
func (h *headCheck) checkStatusLine(line []byte) error {
	if len(line) < statusLineBytes-1 || !isFieldValue(line) {
		return fmt.Errorf("%w: status line %.40q", errNotHTTP, line)
	}
	h.http11 = bytes.HasPrefix(line, []byte("HTTP/1.1"))
	h.status = 100*int(line[9]-'0') + 10*int(line[10]-'0') + int(line[11]-'0')
	return nil
}

// checkField checks the line of a header or of a trailer's field.
func (h *headCheck) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isFieldName(name) || !isFieldValue(value) {
		return fmt.Errorf("%w: line %.40q", errNotHTTP, line)
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		h.lengths++
		var err error
		if h.length, err = strconv.ParseUint(string(value), 10, 63); err != nil {
			return fmt.Errorf("%w: Content-Length %.40q", errNotHTTP, value)
		}
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		h.codings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return fmt.Errorf("%w: Transfer-Encoding %.40q", errNotHTTP, value)
		}
	}
	return nil
}

// isFieldName reports whether a name is a token as in RFC 9110, section 5.6.2.
func isFieldName(name []byte) bool {
	notInToken := func(r rune) bool {
		isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		return !isLetter && !strings.ContainsRune("-0123456789!#$%&'*+.^_`|~", r)
	}
	return len(name) > 0 && bytes.IndexFunc(name, notInToken) < 0
}

// isFieldValue reports whether a text has no control bytes, apart from tabs.
func isFieldValue(text []byte) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return bytes.IndexFunc(text, isControl) < 0
}

// checkFraming checks that the head states at most one way in which the body ends, that its
// protocol knows that way, and that no body is stated where the status allows none.
func (h *headCheck) checkFraming() error {
	noBody := h.status < 200 || h.status == fasthttp.StatusNoContent
	switch {
	case h.inTrailer && h.lengths+h.codings > 0:
		return fmt.Errorf("%w: Content-Length or Transfer-Encoding in a trailer", errNotHTTP)
	case h.inTrailer:
		return nil
	case h.lengths+h.codings > 1:
		return fmt.Errorf("%w: %d Content-Length and %d Transfer-Encoding headers", errNotHTTP, h.lengths, h.codings)
	case h.codings > 0 && !h.http11:
		return fmt.Errorf("%w: Transfer-Encoding in another version than HTTP/1.1", errNotHTTP)
	case noBody && (h.codings > 0 || h.length > 0):
		return fmt.Errorf("%w: a body with status %d", errNotHTTP, h.status)
	case h.status == fasthttp.StatusSwitchingProtocols:
		return fmt.Errorf("%w: a change of protocol that wasn't asked for", errNotHTTP)
	}
	return nil
}

// awaitLines waits for the whole head or trailer and checks it. It leaves the lines to be read. A
// line is checked once it has arrived, so that bytes that are no response are an error even if
// nothing follows them.
func awaitLines(r *bufio.Reader, h *headCheck) error {
	for {
		buf, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if complete, err := h.check(buf); complete || err != nil {
			return err
		}
		if _, err := r.Peek(len(buf) + 1); errors.Is(err, bufio.ErrBufferFull) {
			return errLongHead
		} else if err != nil {
			return err
		}
	}
}

// readHead reads and checks the head of the next response.
func readHead(h *fasthttp.ResponseHeader, r *bufio.Reader) error {
	if err := awaitLines(r, new(headCheck)); err != nil {
		return err
	}
	return h.Read(r)
}

// ReadHead reads the head of a response that was stored or forwarded.
func ReadHead(h *fasthttp.ResponseHeader, head []byte) error {
	return readHead(h, bufio.NewReaderSize(bytes.NewReader(head), len(head)+1))
}
