package pimentolink

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"pimentoarch/pimentomemory"
)

// maxMessageBytes is the maximum length of one message.
const maxMessageBytes = 64 << 20

// errTooLong is returned for a message above maxMessageBytes or a chunk above
// maxChunkBytes.
var errTooLong = errors.New("message is too long")

// writeMessage writes a message with its length as a prefix.
func writeMessage(w io.Writer, msg []byte) error {
	buf := binary.AppendUvarint(make([]byte, 0, len(msg)+binary.MaxVarintLen64), uint64(len(msg)))
	_, err := w.Write(append(buf, msg...))
	return err
}

// readMessage reads one message that writeMessage wrote, and counts it in memory.
func readMessage(r *bufio.Reader, memory *pimentomemory.Grant) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > maxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, the limit is %d", errTooLong, size, maxMessageBytes)
	}
	return readExactly(r, int(size), memory)
}

// initialAlloc is the most memory in bytes that is allocated for a length prefix
// alone, before any data has arrived.
const initialAlloc = 64 << 10

// readExactly reads size bytes. It allocates memory as they arrive.
func readExactly(r io.Reader, size int, memory *pimentomemory.Grant) ([]byte, error) {
	var msg []byte
	for len(msg) < size {
		if len(msg) == cap(msg) {
			more := min(size-len(msg), max(initialAlloc, len(msg)))
			if !memory.Grow(more) {
				return nil, pimentomemory.ErrUsedUp
			}
			grown := make([]byte, len(msg), len(msg)+more)
			copy(grown, msg)
			msg = grown
		}
		n, err := r.Read(msg[len(msg):cap(msg)])
		msg = msg[:len(msg)+n]
		if err != nil && len(msg) < size {
			return nil, unexpectedEOF(err)
		}
	}
	return msg, nil
}

// unexpectedEOF replaces io.EOF within a message or body by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// maxChunkBytes is the maximum length of one body chunk.
const maxChunkBytes = 32 << 10

// writeChunks writes a body in chunks, each with its length as a prefix, and then
// an empty chunk as the explicit end.
func writeChunks(w io.Writer, body io.Reader) error {
	buf := make([]byte, 4+maxChunkBytes)
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

// chunkReader reads a body that writeChunks wrote. remaining is the number of
// unread bytes of the current chunk.
type chunkReader struct {
	r         io.Reader
	remaining int
	done      bool
}

// Read implements io.Reader. It returns io.EOF only after the explicit end.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.done {
		return 0, io.EOF
	}
	if c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	if err != nil {
		err = unexpectedEOF(err)
	}
	return n, err
}

// nextChunk reads the length of the next chunk. It returns io.EOF at the explicit end.
func (c *chunkReader) nextChunk() error {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return unexpectedEOF(err)
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 {
		c.done = true
		return io.EOF
	}
	if size > maxChunkBytes {
		return fmt.Errorf("%w: chunk of %d bytes, the limit is %d", errTooLong, size, maxChunkBytes)
	}
	c.remaining = int(size)
	return nil
}
