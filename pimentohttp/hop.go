package pimentohttp

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Upgrade", "Expect",
}

// DelHopHeaders removes the headers that concern one connection and aren't
// passed on, from a request or an answer.
func DelHopHeaders(h interface{ Del(name string) }) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
