package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Upgrade", "Transfer-Encoding", "Expect"}

// removeHopRequestHeaders removes the headers that concern one connection, and
// those that a caller names as such.
func removeHopRequestHeaders(h *fasthttp.RequestHeader) {
	for name := range bytes.SplitSeq(h.Peek(fasthttp.HeaderConnection), []byte(",")) {
		if name = bytes.TrimSpace(name); len(name) > 0 && !bytes.EqualFold(name, []byte("close")) {
			h.DelBytes(name)
		}
	}
	h.ResetConnectionClose()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
}

// removeHopHeaders removes the headers of an answer that concern one connection.
func removeHopHeaders(h *fasthttp.ResponseHeader) {
	h.ResetConnectionClose()
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.SetNoDefaultContentType(true)
}
