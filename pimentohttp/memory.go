package pimentohttp

import (
	"bufio"
	"errors"
	"io"

	"pimentoarch/pimentomemory"
)

// errNoMemory means that a body can't be buffered because Exchange.Memory doesn't grow.
var errNoMemory = errors.New("the body doesn't fit in the memory for bodies")

// skipBody reads the body of a response to another request.
func (x *Exchange) skipBody(r *bufio.Reader) error {
	if !x.Memory.Grow(defaultMaxBuffered) {
		return errNoMemory
	}
	defer x.Memory.Shrink(defaultMaxBuffered)
	return x.Resp.ReadBody(r, defaultMaxBuffered)
}

// countedReader counts what it reads in a grant. It fails if the grant doesn't grow.
type countedReader struct {
	r      io.Reader
	memory *pimentomemory.Grant
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if !c.memory.Grow(n) {
		return n, errNoMemory
	}
	return n, err
}

// AwaitWritten waits until nothing of the request is being written any more. It is called
// after Do has returned.
func (x *Exchange) AwaitWritten() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}
