package pimentokey_test

import (
	"fmt"

	"pimentoarch/pimentokey"
)

// A request under a key is executed once, and a retry gets the stored response.
func Example() {
	l := pimentokey.NewLedger(1, pimentokey.Secret{2, 3})
	scope := pimentokey.Scope{Service: "bookings", Organisation: "oviedo"}
	key, _ := l.Issue(scope)
	for range 2 {
		decision, response := l.Begin(key, scope, 42)
		switch decision {
		case pimentokey.DecisionDispatch:
			fmt.Println("dispatch")
			l.Resolve(key, pimentokey.OutcomeExecuted, &pimentokey.Response{Body: []byte("desk 4")})
		case pimentokey.DecisionReplay:
			fmt.Printf("stored response: %s\n", response.Body)
		}
	}
	// Output:
	// dispatch
	// stored response: desk 4
}
