package pimentohttp

import (
	"bufio"

	"pimentoarch/pimentomemory"
)

// skipBody reads the body of a response to another request.
func (x *Exchange) skipBody(r *bufio.Reader) error {
	if !x.Memory.Grow(defaultMaxBuffered) {
		return pimentomemory.ErrUsedUp
	}
	defer x.Memory.Shrink(defaultMaxBuffered)
	return x.Resp.ReadBody(r, defaultMaxBuffered)
}

// AwaitWritten waits until nothing of the request is being written any more. It is called
// after Do has returned.
func (x *Exchange) AwaitWritten() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}
