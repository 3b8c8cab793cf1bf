package pimentocaller_test

import (
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentocaller"
)

// The entry is simulated by a server that issues keys and responds to a booking.
func Example() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = ln.Close() }()
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("Pimento-Keys", "key-1,key-2")
			ctx.SetBodyString("booked under " + string(ctx.Request.Header.Peek("Idempotency-Key")))
		})
	}()
	c, cleanup := pimentocaller.New("oviedo", ln.Addr().String)
	defer cleanup()
	response, err := c.Do(&pimentocaller.Request{
		Service: "bookings", Method: "POST", Path: "/bookings", Body: []byte("desk 4"), NonIdempotent: true,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%s, run %s\n", response.Body, response.Run)
	// Output: booked under key-2, run yes
}
