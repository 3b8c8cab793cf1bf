package pimentokey_test

import (
	"fmt"

	"pimentoarch/pimentokey"
)

// A request under a key runs once; a resend gets the kept answer.
func Example() {
	l := pimentokey.NewLedger(1, pimentokey.Secret{2, 3})
	scope := pimentokey.Scope{Service: "bookings", Organisation: "oviedo"}
	key, _ := l.Issue(scope)
	for range 2 {
		verdict, answer := l.Begin(key, scope, 42)
		switch verdict {
		case pimentokey.DecisionDispatch:
			fmt.Println("run it")
			l.Resolve(key, pimentokey.OutcomeExecuted, &pimentokey.Response{Body: []byte("desk 4")})
		case pimentokey.DecisionReplay:
			fmt.Printf("kept answer: %s\n", answer.Body)
		}
	}
	// Output:
	// run it
	// kept answer: desk 4
}
