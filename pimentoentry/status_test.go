package pimentoentry

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
)

// A stored response with an invalid status isn't sent as a success.
func TestStoredHeadWithInvalidStatus(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"000", "00", "0200", "099", "2x0", "600", "999", ""} {
		stored := &pimentokey.Response{Header: []byte("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n")}
		r := replayResponse(new(fasthttp.Response), stored)
		is.True(r != nil)
		is.Equal(r.reason, ReasonForgotten)
	}
}
