package pimentogate

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzCallerKey parses arbitrary Authorization headers: a key has neither blanks nor commas, is
// exactly what follows the scheme, and is never taken from two headers.
func FuzzCallerKey(f *testing.F) {
	for _, value := range []string{"Token a", "token a", "Token  a", "Token a b", "Token a,b", "Token", "Token ", "Bearer a", " Token a", "Token\ta", ""} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		var h fasthttp.RequestHeader
		h.Set(fasthttp.HeaderAuthorization, value)
		stored := string(h.Peek(fasthttp.HeaderAuthorization))
		key, ok := callerKey(&h, "Token")
		if ok {
			scheme, rest, _ := strings.Cut(stored, " ")
			if !strings.EqualFold(scheme, "Token") || string(key) != rest || rest == "" || strings.ContainsAny(rest, " \t,") {
				t.Fatalf("key from %q", stored)
			}
		}
		h.Add("authorization", "Token other")
		if _, ok := callerKey(&h, "Token"); ok {
			t.Fatalf("key from two headers, the first %q", stored)
		}
	})
}
