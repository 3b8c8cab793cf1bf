package pimentomemory

import (
	"errors"
	"io"
)

// ErrUsedUp means that a budget is used up.
var ErrUsedUp = errors.New("the memory for bodies and messages is used up")

// NewReader returns a reader that adds to the grant what it reads from r. It fails with
// ErrUsedUp if the grant doesn't grow.
func (g *Grant) NewReader(r io.Reader) io.Reader { return &reader{r: r, grant: g} }

// reader is what NewReader returns.
type reader struct {
	r     io.Reader
	grant *Grant
}

// Read implements io.Reader.
func (c *reader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if !c.grant.Grow(n) {
		return n, ErrUsedUp
	}
	return n, err
}
