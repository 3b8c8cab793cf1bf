package pimentogate

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentohttp"
)

// removeHopRequestHeaders removes the hop-by-hop headers of a request, including
// those that its Connection header names. Host and the header with the request's ID are
// for all recipients, whatever Connection says: without them, a target's failure would only
// be the caller's doing.
func removeHopRequestHeaders(h *fasthttp.RequestHeader, requestID string) {
	for name := range bytes.SplitSeq(h.Peek(fasthttp.HeaderConnection), []byte(",")) {
		name = bytes.TrimSpace(name)
		switch text := string(name); {
		case text == "", strings.EqualFold(text, "close"):
		case strings.EqualFold(text, fasthttp.HeaderHost), strings.EqualFold(text, requestID):
		default:
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
