package pimentogate

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// asteriskForm is the request target that names the server itself.
const asteriskForm = "*"

// useOriginForm converts a request target in absolute form to the origin form. The authority in it
// replaces the Host header (RFC 9112, 3.2.2). Routes apply to http and https alike, since whoever
// ends TLS in front of an entry decides on the scheme.
func useOriginForm(h *fasthttp.RequestHeader) error {
	target := h.RequestURI()
	if bytes.HasPrefix(target, []byte("/")) || string(target) == asteriskForm {
		return nil
	}
	scheme, rest, _ := bytes.Cut(target, []byte("://"))
	if !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return invalid("request target of %d bytes in an unsupported form", len(target))
	}
	authority, origin := rest, []byte(nil)
	if i := bytes.IndexAny(rest, "/?#"); i >= 0 {
		authority, origin = rest[:i], rest[i:]
	}
	if len(authority) == 0 || authority[0] == ':' || bytes.ContainsRune(authority, '@') || bytes.HasPrefix(origin, []byte("#")) {
		return invalid("request target with an invalid authority of %d bytes", len(authority))
	}
	switch {
	case len(origin) == 0 && h.IsOptions():
		origin = []byte(asteriskForm)
	case !bytes.HasPrefix(origin, []byte("/")):
		origin = append([]byte("/"), origin...)
	}
	h.SetHostBytes(authority)
	h.SetRequestURIBytes(origin)
	return nil
}
