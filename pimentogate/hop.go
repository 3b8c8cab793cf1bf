package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// removeHopRequestHeaders removes the headers that concern one connection, and
// those that a caller names as such.
func removeHopRequestHeaders(h *fasthttp.RequestHeader) {
	for name := range bytes.SplitSeq(h.Peek(fasthttp.HeaderConnection), []byte(",")) {
		if name = bytes.TrimSpace(name); len(name) > 0 && !bytes.EqualFold(name, []byte("close")) {
			h.DelBytes(name)
		}
	}
	h.ResetConnectionClose()
	pimentohttp.DelHopHeaders(h)
	h.Del(fasthttp.HeaderTransferEncoding)
	h.SetNoDefaultContentType(true)
}

// removeHopResponseHeaders removes the headers of an answer that concern one connection.
func removeHopResponseHeaders(h *fasthttp.ResponseHeader) {
	h.ResetConnectionClose()
	pimentohttp.DelHopHeaders(h)
	h.Del(fasthttp.HeaderTransferEncoding)
	h.SetNoDefaultContentType(true)
}
