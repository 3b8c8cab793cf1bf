package pimentogate

import "io"

// linkReader reads from a caller's link and keeps the error of the last read, because a parser
// doesn't always say whether it lacks bytes or dislikes them.
type linkReader struct {
	r   io.Reader
	err error
}

// forget drops the error of a read that wasn't one of the request, such as a wait.
func (l *linkReader) forget() { l.err = nil }

// Read implements io.Reader.
func (l *linkReader) Read(p []byte) (n int, err error) {
	n, err = l.r.Read(p)
	l.err = err
	return n, err
}
