package pimentolink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// maxMessage bounds the length in bytes of one message.
const maxMessage = 64 << 20

// errTooLong is returned for messages above maxMessage.
var errTooLong = errors.New("message is too long")

// writeMessage writes a message behind its length.
func writeMessage(w io.Writer, msg []byte) error {
	buf := binary.AppendUvarint(make([]byte, 0, len(msg)+binary.MaxVarintLen64), uint64(len(msg)))
	_, err := w.Write(append(buf, msg...))
	return err
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessage {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errTooLong, size, maxMessage)
	}
	return readExactly(r, int(size))
}

// firstAlloc bounds the memory that a length alone can claim.
const firstAlloc = 64 << 10

// readExactly reads size bytes, and takes memory as they arrive.
func readExactly(r io.Reader, size int) ([]byte, error) {
	msg := make([]byte, 0, min(size, firstAlloc))
	for len(msg) < size {
		if len(msg) == cap(msg) {
			grown := make([]byte, len(msg), min(size, 2*cap(msg)))
			copy(grown, msg)
			msg = grown
		}
		n, err := r.Read(msg[len(msg):cap(msg)])
		msg = msg[:len(msg)+n]
		if err != nil && len(msg) < size {
			return nil, noEOF(err)
		}
	}
	return msg, nil
}

// noEOF turns an end in the middle of something into an error.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// maxChunk bounds the length in bytes of one body chunk.
const maxChunk = 32 << 10

// copyChunks writes a body in chunks, each behind its length, and the end.
func copyChunks(w io.Writer, body io.Reader) error {
	buf := make([]byte, 4+maxChunk)
	for {
		n, err := body.Read(buf[4:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, werr := w.Write(buf[:4+n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	clear(buf[:4])
	_, err := w.Write(buf[:4])
	return err
}

// chunkReader reads a body that copyChunks wrote.
type chunkReader struct {
	r    io.Reader
	left int
	done bool
}

// Read implements io.Reader. It returns io.EOF after the explicit end only.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		err = noEOF(err)
	}
	return n, err
}

func (c *chunkReader) next() error {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return noEOF(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 {
		c.done = true
		return io.EOF
	}
	if size > maxChunk {
		return fmt.Errorf("%w: chunk of %d bytes, the limit is %d", errTooLong, size, maxChunk)
	}
	c.left = int(size)
	return nil
}
