package pimentohttp

// Framing is how a response states where its body ends.
type Framing uint8

const (
	// FramingNone means that there was no response, or one without a body.
	FramingNone Framing = iota
	// FramingLength means that the response has a Content-Length.
	FramingLength
	// FramingChunked means that the body is chunked.
	FramingChunked
	// FramingClose means that the body extends to the close of the connection. The end
	// of the stream doesn't tell whether the target has sent all of it: a kernel closes
	// the connections of a process that was killed in the same way.
	FramingClose
)

// String returns the framing's name in logs.
func (f Framing) String() string { return [...]string{"none", "length", "chunked", "close"}[f] }

// framingOf returns the framing that a parsed length stands for: a negative one is -1 for
// chunks and less for the close of the connection.
func framingOf(length int) Framing {
	switch {
	case length >= 0:
		return FramingLength
	case length == -1:
		return FramingChunked
	}
	return FramingClose
}
