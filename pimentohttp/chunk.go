package pimentohttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// chunkReader reads a chunked body and its trailer, which it drops. The decoder of fasthttp isn't
// used, because it reads trailers without the checks of headCheck.
type chunkReader struct {
	r    *bufio.Reader
	left int   // Bytes of the current chunk that weren't read.
	err  error // Of the last Read.
}

// Read implements io.Reader. It returns bytes of a single chunk, and io.EOF only after a valid
// trailer.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if c.left == 0 {
		c.left, c.err = c.nextChunk()
		if c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err == nil && c.left == 0 {
		err = c.endChunk()
	}
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads the line with the size of the next chunk, which it returns. It returns io.EOF
// after the last chunk and the trailer.
func (c *chunkReader) nextChunk() (int, error) {
	line, err := c.r.ReadSlice('\n')
	if err != nil {
		return 0, unexpectedEOF(err)
	}
	text, err := trimLine(line)
	if err != nil {
		return 0, err
	}
	digits, extension, _ := bytes.Cut(text, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, strconv.IntSize-1)
	if err != nil || !isFieldValue(extension) {
		return 0, fmt.Errorf("%w: size of a chunk in line %.40q", errNotHTTP, text)
	}
	if size > 0 {
		return int(size), nil
	}
	if err := skipTrailer(c.r); err != nil {
		return 0, unexpectedEOF(err)
	}
	return 0, io.EOF
}

// endChunk reads the end of the line after a chunk.
func (c *chunkReader) endChunk() error {
	var end [2]byte
	if _, err := io.ReadFull(c.r, end[:]); err != nil {
		return err
	}
	if string(end[:]) != "\r\n" {
		return fmt.Errorf("%w: %q at the end of a chunk", errNotHTTP, end[:])
	}
	return nil
}

// skipTrailer reads the trailer of a chunked body.
func skipTrailer(r *bufio.Reader) error {
	if err := awaitLines(r, &headCheck{inTrailer: true}); err != nil {
		return err
	}
	var h fasthttp.ResponseHeader
	return h.ReadTrailer(r)
}

// unexpectedEOF replaces io.EOF in the middle of a body.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
