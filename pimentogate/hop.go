package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// removeHopRequestHeaders removes the hop-by-hop headers of a request, including
// those that its Connection header names.
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

// removeHopResponseHeaders removes the hop-by-hop headers of a response.
func removeHopResponseHeaders(h *fasthttp.ResponseHeader) {
	h.ResetConnectionClose()
	pimentohttp.DelHopHeaders(h)
	h.Del(fasthttp.HeaderTransferEncoding)
	h.SetNoDefaultContentType(true)
}
