package pimentohttp

// hopHeaders are the hop-by-hop headers: they apply to a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Upgrade", "Expect",
}

// DelHopHeaders removes the hop-by-hop headers, which aren't forwarded, from a
// request or a response.
func DelHopHeaders(h interface{ Del(name string) }) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
